//! Keeps the row of crashes in the store, so that they outlast all processes.
//!
//! Hubs know the crashes that all processes have seen, so one of them writes the row for all;
//! [`route::save_schedule`] decides which and when. A write is conditional, so that none undoes another one: what it
//! finds instead is merged, and the next write has both. A row that can't be read is replaced.

use std::sync::Arc;

use base::prelude::*;
use kv::prelude::*;
use route::crash_row::CrashRow;
use route::crash_row::RowState;
use route::save_schedule::SaveSchedule;
use rows::prelude::*;

use super::State;
use super::hubs;
use crate::crash_reports;
use crate::crash_reports::ChangeNumber;
use crate::decision_log;
use crate::decision_log::Record;

/// Time between two looks at the row while nothing changes.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Shortest time between two looks, and the time between two while the row lacks crashes.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a process knows of the row since its last look.
#[derive(Default)]
struct Keeper {
    schedule: SaveSchedule,
    /// The last change of the crashes known here, and the revision of the row, at which both were the same.
    same_at: Option<(ChangeNumber, u64)>,
}

/// Writes the row whenever it is this process's turn, until the service stops.
pub(super) async fn keep(state: Arc<State>) {
    let mut keeper = Keeper::default();
    loop {
        if !keeper.schedule.is_waiting() {
            let changed = state.shared.crash_reports_changed.notified();
            // Whether it changed or the time is over, the next round decides.
            let _ = tokio::time::timeout(CHECK_PERIOD, changed).await;
        }
        if let Some(wanted) = keeper.due_row(&state) {
            keeper.schedule.written(state.cx.now());
            write(&state, &wanted).await;
        }
        state.cx.timer().after(MIN_CHECK_INTERVAL).tick().await;
    }
}

impl Keeper {
    /// Returns the row that this process has to write now, if it has to.
    fn due_row(&mut self, state: &State) -> Option<CrashRow> {
        let hubs = hubs(state);
        let local = state.shared.local.lock();
        if !local.is_hub {
            return None;
        }
        let row = local.row_cache.get(&key(state));
        let at = (local.crash_reports.last_change(), row.map_or(0, |row| row.mod_revision));
        if self.same_at == Some(at) {
            return None;
        }
        let held = row.and_then(|row| CrashRow::try_from(&*row.value).ok()).unwrap_or_default();
        let wanted = local.crash_reports.row();
        let row_state = held.state(&wanted);
        self.same_at = (row_state == RowState::Current).then_some(at);
        let before = hubs.iter().filter(|address| **address < state.settings.peers).count();
        self.schedule.is_due(row_state, before, state.cx.now()).then_some(wanted)
    }
}

fn key(state: &State) -> Box<str> {
    format!("{}{}", state.integration.keys.own, crash_reports::ROW_KEY).into()
}

async fn write(state: &State, wanted: &CrashRow) {
    let key = key(state);
    let expected = {
        let local = state.shared.local.lock();
        local.row_cache.get(&key).map_or(0, |row| row.mod_revision)
    };
    let value: Arc<[u8]> = wanted.encode().into();
    match state.integration.store.compare_and_swap(&key, expected, value.clone()).await {
        Ok(CasResult::Done { mod_revision }) => {
            let requests = wanted.len();
            decision_log::write(&Record::CrashRow { state: "written", requests, refused: 0 });
            apply(state, key, Versioned { value, mod_revision });
        }
        Ok(CasResult::Conflict { current: Some(current) }) => apply(state, key, current),
        // The deletion is on its way here.
        Ok(CasResult::Conflict { current: None }) => {}
        Err(error) => log::warn!("could not write the row of crashes: {error}"),
    }
}

fn apply(state: &State, key: Box<str>, value: Versioned) {
    let revision = value.mod_revision;
    let change = RowChange { key, value: Some(value), revision };
    state.writer(RowSource::Store).apply(change, state.cx.now());
}
