//! When a process follows the store itself.
//!
//! A process follows the store while it is a hub, and while no hub has sent it fresh rows. Otherwise it gets
//! its rows from a hub, so that the load on the store grows with the number of failure domains instead of the
//! number of processes.

use base::prelude::*;

use crate::cache::RowCache;
use crate::cache::RowSource;

/// How long a new process waits for rows from a hub before it follows the store itself, unless it
/// finds out sooner that no hub has fresh rows.
const FIRST_HUB_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Age of the rows above which a process that is no hub follows the store itself.
const STALE_AFTER: Duration = Duration::from_millis(700);

/// What a process knows when it decides on its source.
#[data]
pub struct Situation {
    /// Whether it is a hub.
    pub is_hub: bool,
    /// Time between two calls to a hub.
    pub interval: Duration,
    /// Whether it has asked all hubs, and none had fresh rows.
    pub all_hubs_tried: bool,
    /// When a hub last sent fresh rows.
    pub fresh_rows_at: Option<Mono>,
}

/// What a process does about following the store.
#[key]
pub enum StoreAction {
    /// Begins to follow it.
    Follow,
    /// Begins anew, as a hub, which tries again more often.
    FollowAsHub,
    /// Leaves it.
    Leave,
    /// Goes on as it is.
    Keep,
}

/// Where a process's rows come from.
#[data]
#[derive(Default)]
pub struct Source {
    is_following: bool,
    /// Whether it began as a hub.
    is_hub: bool,
    /// Whether it has read all rows of the store, and receives every change.
    is_synced: bool,
}

impl Source {
    /// Returns what to do, and records that it is done.
    pub fn check(&mut self, cx: &Situation, cache: &mut RowCache, now: Mono) -> StoreAction {
        if self.is_synced {
            cache.mark_current(now, RowSource::Store);
        }
        let age = cache.age(now);
        let bound = STALE_AFTER + cx.interval * 2;
        // After a restart of the whole fleet no hub has rows, so waiting for one gains nothing.
        let has_waited = now > FIRST_HUB_TIMEOUT || (cx.all_hubs_tried && age.is_none());
        let is_stale = age.is_none_or(|age| age > bound) && has_waited;
        let fed = STALE_AFTER / 2 + cx.interval;
        let is_fed_by_hub = cx.fresh_rows_at.is_some_and(|at| now <= at + fed);
        let action = match self.is_following {
            false if cx.is_hub || is_stale => StoreAction::Follow,
            true if !cx.is_hub && is_fed_by_hub => StoreAction::Leave,
            true if cx.is_hub && !self.is_hub && !self.is_synced => StoreAction::FollowAsHub,
            _ => StoreAction::Keep,
        };
        self.record(action, cx.is_hub);
        action
    }

    fn record(&mut self, action: StoreAction, is_hub: bool) {
        match action {
            StoreAction::Follow | StoreAction::FollowAsHub => {
                *self = Source { is_following: true, is_hub, is_synced: false };
            }
            StoreAction::Leave => *self = Source::default(),
            StoreAction::Keep => {}
        }
    }

    /// Records that the process has read all rows of the store, and receives every change from now on.
    pub fn synced(&mut self, cache: &mut RowCache, now: Mono) {
        self.is_synced = true;
        cache.mark_current(now, RowSource::Store);
    }

    /// Records that the process may miss changes from now on.
    pub fn interrupted(&mut self) {
        self.is_synced = false;
    }
}
