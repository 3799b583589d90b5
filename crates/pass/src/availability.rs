//! When an endpoint may get a request again.
//!
//! An endpoint gets no requests for a while after it reported itself full or failed a request; these
//! back-offs double while it goes on, and end with its role. A server may also ask for a pause, which
//! holds for the instance of the server, whatever its role: this process keeps it also if the report
//! of the server lapses meanwhile. After its end one request finds out whether the server takes them
//! again, before others follow.

use std::collections::HashMap;

use base::prelude::*;
use form::prelude::*;

/// How long an endpoint that reported itself full gets no requests. Doubles with each report up to
/// the maximum, since an endpoint that has ceased to serve reports the same.
const INITIAL_FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum time that an endpoint that reported itself full gets no requests.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(1_000);
/// How long an endpoint gets no requests after it failed one. Doubles with each failure up to the
/// maximum.
const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum time that an endpoint gets no requests after failures.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(4);
/// Exponent from which on a back-off is certainly above its maximum.
const MAX_DOUBLINGS: u32 = 8;
/// How long the first request after a pause keeps others back, unless it gets an answer sooner.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Rows of ended pauses beyond this number are dropped.
const MAX_ENDED_ROWS: usize = 1_024;

/// The back-offs of an endpoint.
#[data]
#[derive(Default)]
pub struct Backoffs {
    full_until: Mono,
    /// How often it reported itself full since it last made progress.
    consecutive_fulls: u32,
    failed_until: Mono,
    consecutive_failures: u32,
}

impl Backoffs {
    /// Returns when the back-offs end.
    pub fn until(&self) -> Mono {
        self.full_until.max(self.failed_until)
    }

    /// Records that the endpoint refused a request for lack of capacity.
    pub fn reported_full(&mut self, now: Mono) {
        let pause = INITIAL_FULL_BACKOFF * 2_u32.pow(self.consecutive_fulls.min(MAX_DOUBLINGS));
        self.consecutive_fulls += 1;
        self.full_until = now + pause.min(MAX_FULL_BACKOFF);
    }

    /// Records that the endpoint failed a request.
    pub fn request_failed(&mut self, now: Mono) {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let pause = INITIAL_FAILURE_BACKOFF * 2_u32.pow(doublings);
        self.consecutive_failures += 1;
        self.failed_until = now + pause.min(MAX_FAILURE_BACKOFF);
    }

    /// Forgets the failures: they weren't those of the endpoint.
    pub fn failures_explained(&mut self) {
        self.failed_until = Mono::ZERO;
        self.consecutive_failures = 0;
    }

    /// Records that the endpoint sent something for a request.
    pub fn made_progress(&mut self) {
        self.consecutive_fulls = 0;
    }

    /// Records a complete response.
    pub fn request_succeeded(&mut self) {
        self.consecutive_fulls = 0;
        self.consecutive_failures = 0;
    }
}

/// The pause of one server instance.
#[derive(Debug)]
struct Pause {
    started_at_ms: u64,
    until: Mono,
    /// When the first request since its end was sent.
    trial_at: Option<Mono>,
}

/// The pauses that servers have asked for.
#[derive(Debug, Default)]
pub struct Pauses(HashMap<ServerId, Pause>);

impl Pauses {
    /// Records that a server instance wants no requests for `pause`; an earlier pause isn't shortened.
    pub fn record(&mut self, server: &str, started_at_ms: u64, pause: Duration, now: Mono) {
        if self.0.len() >= MAX_ENDED_ROWS {
            self.0.retain(|_, pause| now < pause.until);
        }
        let until = (now + pause).max(self.until(server, started_at_ms));
        self.0.insert(server.into(), Pause { started_at_ms, until, trial_at: None });
    }

    /// Returns when the pause of a server instance ends; a time that has passed if there is none.
    pub fn until(&self, server: &str, started_at_ms: u64) -> Mono {
        self.of(server, started_at_ms).map_or(Mono::ZERO, |pause| pause.until)
    }

    /// Returns whether a server instance may get a request: it has no pause, or the pause has ended and no
    /// other request is finding out whether the server takes them again.
    pub fn allow(&self, server: &str, started_at_ms: u64, now: Mono) -> bool {
        self.of(server, started_at_ms).is_none_or(|pause| {
            now >= pause.until && pause.trial_at.is_none_or(|at| now >= at + TRIAL_TIME)
        })
    }

    /// Records that a request is sent to a server.
    pub fn request_sent(&mut self, server: &str, now: Mono) {
        if let Some(pause) = self.0.get_mut(server).filter(|pause| now >= pause.until) {
            pause.trial_at = Some(now);
        }
    }

    /// Records that a server has answered a request that it runs. Before the first request since the end of
    /// its pause, that says nothing.
    pub fn answered(&mut self, server: &str) {
        if self.0.get(server).is_some_and(|pause| pause.trial_at.is_some()) {
            self.0.remove(server);
        }
    }

    fn of(&self, server: &str, started_at_ms: u64) -> Option<&Pause> {
        self.0.get(server).filter(|pause| pause.started_at_ms == started_at_ms)
    }
}
