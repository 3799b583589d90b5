//! How far a stop of the process has got.

use std::sync::OnceLock;

use base::prelude::*;
use tokio_util::sync::CancellationToken;

/// Time that a process needs to end once its time for open requests is up.
const END_MARGIN: Duration = Duration::from_millis(300);
/// The part of the stop timeout that the margin may take.
const MAX_MARGIN_FRACTION: f64 = 1.0 / 16.0;
/// The part of the margin in which requests that are still in progress are answered.
const ANSWER_FRACTION: f64 = 0.5;

/// How far a stop of the process has got.
#[derive(Debug)]
pub(super) struct StopState {
    /// Time from the request to stop until responses in flight are aborted.
    finish_time: Duration,
    /// Time that a process with requests in progress takes to tell their callers of its end.
    answer_time: Duration,
    requested_at: OnceLock<Mono>,
    closed: CancellationToken,
    time_is_up: CancellationToken,
}

impl StopState {
    /// Returns the state of a process that has `timeout` to stop.
    pub(super) fn new(timeout: Duration) -> Self {
        let margin = END_MARGIN.min(timeout.mul_f64(MAX_MARGIN_FRACTION));
        StopState {
            finish_time: timeout - margin,
            answer_time: margin.mul_f64(ANSWER_FRACTION),
            requested_at: OnceLock::new(),
            closed: CancellationToken::new(),
            time_is_up: CancellationToken::new(),
        }
    }

    /// Records that the process was asked to stop.
    pub(super) fn requested(&self, now: Mono) {
        // Only the first request counts.
        let _ = self.requested_at.set(now);
    }

    /// Returns the time since the process was asked to stop, if it was.
    pub(super) fn elapsed(&self, now: Mono) -> Option<Duration> {
        self.requested_at.get().map(|at| now.saturating_sub(*at))
    }

    /// Records that the process accepts no new connections any more.
    pub(super) fn listener_closed(&self) {
        self.closed.cancel();
    }

    /// Returns until when responses may finish, if the process was asked to stop.
    fn finish_by(&self) -> Option<Mono> {
        self.requested_at.get().map(|at| *at + self.finish_time)
    }

    /// Returns how long responses may still finish; nothing unless the process was asked to stop.
    pub(super) fn time_left(&self, now: Mono) -> Duration {
        self.finish_by().map_or(Duration::ZERO, |end| end.saturating_sub(now))
    }

    /// Returns whether a request that arrives now and may take until `deadline` gets its whole response.
    ///
    /// Until the listener has closed, callers may not know of the stop, and requests are served if they
    /// can be.
    pub(super) fn can_finish(&self, deadline: Mono) -> bool {
        !self.closed.is_cancelled() || self.finish_by().is_none_or(|end| deadline <= end)
    }

    /// Resolves when the process has closed its listener, if a request that may take until `deadline`
    /// can't finish; else never.
    pub(super) async fn closed_too_early(&self, deadline: Mono) {
        self.closed.cancelled().await;
        if self.can_finish(deadline) {
            std::future::pending().await
        }
    }

    /// Ends the requests that are still in progress, and their responses.
    pub(super) fn time_is_up(&self) {
        self.time_is_up.cancel();
    }

    /// Returns how long the process waits from then on until their callers have been told.
    pub(super) fn answer_time(&self) -> Duration {
        self.answer_time
    }

    /// Resolves when requests that are still in progress must end.
    pub(super) async fn out_of_time(&self) {
        self.time_is_up.cancelled().await;
    }
}
