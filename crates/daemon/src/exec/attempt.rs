//! Measurements of the attempt in progress.

use base::prelude::*;
use tokio::time::Instant;

use crate::route::AttemptOutcome;
use crate::route::AttemptReport;

/// The attempt in progress and its measurements.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) group: GroupId,
    pub(super) sent: Instant,
    pub(super) first: Option<Instant>,
    pub(super) last: Instant,
    pub(super) pieces: u32,
}

impl Attempt {
    pub(super) fn begin(id: AttemptId, group: GroupId) -> Self {
        let now = Instant::now();
        Attempt { id, group, sent: now, first: None, last: now, pieces: 0 }
    }

    pub(super) fn record_piece(&mut self) {
        self.last = Instant::now();
        self.first.get_or_insert(self.last);
        self.pieces += 1;
    }

    pub(super) fn report(
        &self,
        request: RequestId,
        fingerprint: u64,
        outcome: AttemptOutcome,
    ) -> AttemptReport {
        AttemptReport {
            request,
            fingerprint,
            group: self.group.clone(),
            outcome,
            first_token: self.first.map(|first| first - self.sent),
            pieces: self.pieces,
            streaming: self.first.map_or(Duration::ZERO, |first| self.last - first),
        }
    }
}
