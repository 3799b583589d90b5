//! When a process writes the row of crashes, so that the fleet writes it once and not once a process.
//!
//! Every hub sees the same row and knows the same crashes. The first of them writes; each of the others waits until those
//! before it have had their time, and by then finds the crashes in the row if one of them has written it. Crashes are
//! written soon; what only has to leave the row can wait.

use base::prelude::*;

use crate::crash_row::RowState;

/// How long crashes are gathered before they are written: several processes see the same one, and many a request that ran
/// beside it is answered elsewhere within this time.
const GATHER_TIME: Duration = Duration::from_millis(100);
/// How much longer each process waits than the one before it.
const TIME_PER_RANK: Duration = Duration::from_millis(400);
/// How long a row may hold crashes that needn't be there any more.
const SURPLUS_TIME: Duration = Duration::from_secs(5);
/// Shortest time between two writes of a process.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// What a process remembers to decide when it writes the row.
#[data]
#[derive(Default)]
pub struct SaveSchedule {
    /// Since when the row lacks crashes.
    lacks_since: Option<Mono>,
    /// Since when the row isn't what it should be.
    differs_since: Option<Mono>,
    written_at: Option<Mono>,
}

impl SaveSchedule {
    /// Returns whether the process is to write the row, which is in `state`; `rank` is the number of processes that come
    /// before it.
    pub fn is_due(&mut self, state: RowState, rank: usize, now: Mono) -> bool {
        note(&mut self.lacks_since, state == RowState::LacksCrashes, now);
        note(&mut self.differs_since, state != RowState::Current, now);
        if self.written_at.is_some_and(|at| now < at + MIN_WRITE_INTERVAL) {
            return false;
        }
        let turn = TIME_PER_RANK.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        let has_passed =
            |since: Option<Mono>, time: Duration| since.is_some_and(|at| now >= at + time + turn);
        has_passed(self.lacks_since, GATHER_TIME) || has_passed(self.differs_since, SURPLUS_TIME)
    }

    /// Returns whether the row lacks crashes, so that the process looks again soon.
    pub fn is_waiting(&self) -> bool {
        self.lacks_since.is_some()
    }

    /// Records that the process writes the row.
    pub fn written(&mut self, now: Mono) {
        self.written_at = Some(now);
    }
}

/// Notes since when something holds, if it `holds` now.
fn note(since: &mut Option<Mono>, holds: bool, now: Mono) {
    *since = holds.then(|| since.unwrap_or(now));
}
