//! When a process follows the store itself.
//!
//! A process follows the store while it is a hub, and while no hub has sent it fresh rows. Otherwise it gets
//! its rows from a hub, so that the load on the store grows with the number of failure domains instead of the
//! number of processes.
//!
//! Invariant: following the store shows nothing by itself; only its answers make rows current
//! ([`RowCache::mark_current`]).

use base::prelude::*;

use crate::cache::RowCache;

/// How long a new process waits for rows from a hub before it follows the store itself, unless it
/// finds out sooner that no hub has fresh rows.
const FIRST_HUB_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Age of the rows above which a process that is no hub follows the store itself, besides the time between two
/// calls to a hub.
const STALE_AFTER: Duration = Duration::from_millis(900);
/// Age of the rows that hubs send below which a process leaves the store to them, besides that time.
const FED_BELOW: Duration = Duration::from_millis(600);

/// What a process knows when it decides on its source.
#[data]
pub struct Situation {
    /// Whether it is a hub.
    pub is_hub: bool,
    /// Time between two calls to a hub.
    pub interval: Duration,
    /// Whether it has asked all hubs, and none had fresh rows.
    pub all_hubs_tried: bool,
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
pub struct StoreFollower {
    is_following: bool,
    /// Whether it began as a hub.
    is_hub: bool,
    /// Whether it has read all rows of the store, and receives every change.
    is_synced: bool,
}

impl StoreFollower {
    /// Returns what to do, and records that it is done.
    pub fn check(&mut self, cx: &Situation, cache: &RowCache, now: Mono) -> StoreAction {
        let age = cache.age(now);
        // After a restart of the whole fleet no hub has rows, so waiting for one gains nothing.
        let has_waited = now > FIRST_HUB_TIMEOUT || (cx.all_hubs_tried && age.is_none());
        let is_stale = age.is_none_or(|age| age > STALE_AFTER + cx.interval) && has_waited;
        let age_by_hubs = cache.age_by_processes(now);
        let is_fed_by_hub = age_by_hubs.is_some_and(|age| age < FED_BELOW + cx.interval);
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
                *self = StoreFollower { is_following: true, is_hub, is_synced: false };
            }
            StoreAction::Leave => *self = StoreFollower::default(),
            StoreAction::Keep => {}
        }
    }

    /// Records that the process has read all rows of the store, and receives every change from now on.
    pub fn synced(&mut self) {
        self.is_synced = true;
    }

    /// Records that the process may miss changes from now on.
    pub fn interrupted(&mut self) {
        self.is_synced = false;
    }
}
