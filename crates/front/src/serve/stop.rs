//! How far a stop of the process has got.

use std::sync::OnceLock;

use base::prelude::*;
use tokio_util::sync::CancellationToken;

/// How far a stop of the process has got.
#[derive(Debug, Default)]
pub(super) struct StopState {
    requested_at: OnceLock<Mono>,
    time_is_up: CancellationToken,
}

impl StopState {
    /// Records that the process was asked to stop.
    pub(super) fn requested(&self, now: Mono) {
        // Only the first request counts.
        let _ = self.requested_at.set(now);
    }

    /// Returns the time since the process was asked to stop, if it was.
    pub(super) fn elapsed(&self, now: Mono) -> Option<Duration> {
        self.requested_at.get().map(|at| now.saturating_sub(*at))
    }

    /// Ends the responses that are still in flight.
    pub(super) fn time_is_up(&self) {
        self.time_is_up.cancel();
    }

    /// Resolves when responses that are still in flight must end.
    pub(super) async fn out_of_time(&self) {
        self.time_is_up.cancelled().await;
    }
}
