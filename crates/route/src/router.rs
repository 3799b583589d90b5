//! The state of routing at one process, and its decisions.
//!
//! The relay tells what happens to its requests as [`RouteEvent`]s and carries out the
//! [`RouteAction`]s that come back. A request is asked for once per attempt, and ends with
//! `Finished`, `GaveUp` or a `Refuse` action.
//!
//! Each attempt passes these steps, and the first that refuses ends it at once: quarantine,
//! deadline, overload and limits (first attempt) or retry budget (later ones), trial permission
//! for suspects, choice of a group, queue.
//!
//! Invariants: a request is sent only to a routable group that holds its version and is not
//! excluded; a suspect only as granted; nothing is sent that can't end by its deadline.

mod dispatch;
mod event;
mod handle;
mod settings;
mod trial;

use std::collections::BTreeMap;

use base::prelude::*;
use group::view::GroupTable;

use crate::hot::HotKeys;
use crate::limits::LimitTable;
use crate::load::LoadTracker;
use crate::quarantine::Quarantine;
use crate::queue::Queue;
use crate::request::RequestSpec;
use crate::retry::RetryBudget;
use crate::share::LimitShares;
use crate::trial::Trials;

pub use event::Failure;
pub use event::RouteAction;
pub use event::RouteEvent;
pub use settings::RouteSettings;

/// Time for which a group that failed here gets nothing, unless its generation rises.
pub const LOCAL_FAILURE_HOLDOFF: Duration = Duration::from_secs(2);
/// Time for which a group that refused a request gets only what no other group can take.
pub const REFUSAL_HOLDOFF: Duration = Duration::from_millis(500);
/// Time after a group went down during which requests that would have gone to it need permission.
pub const TRIAL_WINDOW: Duration = Duration::from_secs(10);

/// Where a request stands.
#[data]
enum Stage {
    /// Waits in the queue.
    Queued,
    /// Waits for the coordinator's answer, or to ask again.
    AwaitingTrial {
        /// When to ask again; `None` while an answer is awaited.
        again_at: Option<Mono>,
        /// The backoff that is still to be kept.
        wait: Duration,
    },
    /// Was sent to a group.
    Sent(Attempt),
    /// An attempt failed, and the relay has not asked again yet.
    BetweenAttempts,
}

/// An attempt in progress.
#[data]
struct Attempt {
    group: GroupId,
    generation: Generation,
    sent_at: Mono,
    last_token_at: Option<Mono>,
    tokens: u32,
    holds_permit: bool,
}

#[data]
struct RequestEntry {
    spec: RequestSpec,
    stage: Stage,
    holds_permit: bool,
}

/// A group that went down, as noticed here.
#[data]
struct FailedGroup {
    generation: Generation,
    at: Mono,
    view: Option<group::view::GroupView>,
}

/// Routing at one process.
#[derive(Clone, Debug)]
pub struct Router {
    node: NodeId,
    settings: RouteSettings,
    clock: HlcClock,
    table: GroupTable,
    loads: LoadTracker,
    hot: HotKeys,
    failed_groups: BTreeMap<GroupId, FailedGroup>,
    paused_until: BTreeMap<GroupId, Mono>,
    limits: LimitTable,
    shares: LimitShares,
    queue: Queue,
    retries: RetryBudget,
    quarantine: Quarantine,
    trials: Trials,
    requests: BTreeMap<RequestId, RequestEntry>,
}

impl Router {
    /// Starts without groups, limits and peers.
    pub fn new(node: NodeId, settings: RouteSettings) -> Self {
        Router {
            shares: LimitShares::new(node.clone(), settings.boot),
            node,
            clock: HlcClock::default(),
            table: GroupTable::default(),
            loads: LoadTracker::default(),
            hot: HotKeys::default(),
            failed_groups: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            limits: LimitTable::default(),
            queue: Queue::new(settings.queue_capacity),
            retries: RetryBudget::new(settings.retry_fraction),
            quarantine: Quarantine::default(),
            trials: Trials::default(),
            requests: BTreeMap::new(),
            settings,
        }
    }

    /// Returns what is known of requests that crash groups.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the number of requests that wait in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that are known, in whatever stage.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the wall-clock milliseconds at `now`.
    pub fn wall_millis(&self, now: Mono) -> u64 {
        self.settings.wall_millis_at_start + now.as_millis() as u64
    }

    fn stamp(&mut self, now: Mono) -> Hlc {
        let millis = self.wall_millis(now);
        self.clock.tick(millis)
    }
}
