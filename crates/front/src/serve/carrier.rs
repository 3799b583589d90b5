//! What carries an attempt to a backend server: a connection of this process, or another process.

use base::prelude::*;
use http::StatusCode;
use pass::prelude::*;
use web::prelude::*;

use super::ActiveRequest;
use super::ServerId;
use super::hand_over::HandOver;
use super::reservation::Reservation;
use super::server_end;
use super::silence::Silence;
use super::silence::Stage;

/// What carries an attempt.
pub(crate) enum Carrier {
    /// This process sends it to an endpoint.
    Server(Box<Reservation>),
    /// Another process serves the request.
    Process(HandOver),
}

impl Carrier {
    /// Returns the backend server, if this process has chosen it.
    pub(crate) fn server(&self) -> Option<&ServerId> {
        match self {
            Carrier::Server(reservation) => Some(&reservation.endpoint().server),
            Carrier::Process(_) => None,
        }
    }

    /// Returns the name of the server or the process, for the log.
    pub(crate) fn name(&self) -> &str {
        match self {
            Carrier::Server(reservation) => &reservation.endpoint().server,
            Carrier::Process(hand_over) => hand_over.name(),
        }
    }

    /// Returns the time since the attempt began.
    pub(crate) fn age(&self, now: Mono) -> Duration {
        match self {
            Carrier::Server(reservation) => reservation.age(),
            Carrier::Process(hand_over) => now.saturating_sub(hand_over.started_at),
        }
    }

    /// Returns the forecast of the time to the response or, for a stream, to its first event; zero if
    /// another process makes it.
    pub(crate) fn expected_time(&self) -> Duration {
        match self {
            Carrier::Server(reservation) => reservation.expected_time(),
            Carrier::Process(_) => Duration::ZERO,
        }
    }

    /// Returns the time to the first event of a stream, once it has come.
    pub(crate) fn first_event_time(&self) -> Option<Duration> {
        match self {
            Carrier::Server(reservation) => reservation.first_event_time(),
            Carrier::Process(hand_over) => hand_over.first_event_time,
        }
    }

    /// Records that the first event of a stream has come.
    pub(crate) fn record_first_event(&mut self, now: Mono) {
        let age = self.age(now);
        match self {
            Carrier::Server(reservation) => reservation.record_first_event(),
            Carrier::Process(hand_over) => hand_over.first_event_time = Some(age),
        }
    }

    /// Records that the prompt has been prefilled.
    pub(crate) fn record_prefill(&mut self) {
        if let Carrier::Server(reservation) = self {
            reservation.record_prefill();
        }
    }

    /// Records that an event has come.
    pub(crate) fn record_progress(&mut self) {
        if let Carrier::Server(reservation) = self {
            reservation.record_progress();
        }
    }

    /// Records a complete response.
    pub(crate) fn record_response(&self, status: StatusCode) {
        if let Carrier::Server(reservation) = self {
            reservation.record_response(status);
        }
    }

    /// Records the outcome of a failed attempt.
    pub(crate) fn record_failure(&self, outcome: AttemptOutcome) {
        match self {
            Carrier::Server(reservation) => reservation.record_failure(outcome),
            Carrier::Process(_) if outcome == AttemptOutcome::NotTried => {}
            Carrier::Process(hand_over) => hand_over.record_failure(),
        }
    }

    /// Returns why the server counts as silent for an attempt that has got nothing for the time
    /// `silent_for`, if it does; `usual` is the longest time that it usually takes.
    pub(super) fn silence(
        &self,
        stage: Stage,
        silent_for: Duration,
        usual: Duration,
    ) -> Option<Silence> {
        let reservation = match self {
            Carrier::Server(reservation) => reservation,
            // The other process notices the silence of its server first, and makes another attempt.
            Carrier::Process(_) => return (silent_for >= usual * 2).then_some(Silence::Late),
        };
        if reservation.is_cut_off(silent_for) {
            return Some(Silence::CutOff);
        }
        let is_late = silent_for >= usual;
        if (is_late || stage != Stage::Head) && reservation.is_stalled() {
            return Some(Silence::Stalled);
        }
        match is_late && !reservation.is_current() {
            true => Some(Silence::Gone),
            false => is_late.then_some(Silence::Late),
        }
    }

    /// Finds out whether the backend server ended, after its connection did, which is evidence against the request.
    pub(crate) async fn check_end(&self, active: &ActiveRequest) {
        if let Carrier::Server(reservation) = self {
            server_end::check(active, reservation).await;
        }
    }

    /// Prepares for a response whose end `delimiter` tells, and which was outstanding at the time `outstanding_at` since the start
    /// of the VM.
    pub(super) fn watch_life(&mut self, delimiter: Delimiter, outstanding_at: Duration) {
        if let Carrier::Server(reservation) = self
            && !delimiter.proves_whole()
        {
            reservation.watch_life(outstanding_at);
        }
    }

    /// Returns whether a response is whole of which only its connection tells the end, once that has ended in order. If it
    /// isn't, the end of the server is looked for.
    ///
    /// Another process says where its responses end, so one that doesn't has ended within this response.
    pub(crate) async fn is_whole(&self, active: &ActiveRequest) -> bool {
        let Carrier::Server(reservation) = self else { return false };
        let lives_on = reservation.lives_on().await;
        if !lives_on {
            server_end::check(active, reservation).await;
        }
        lives_on
    }
}
