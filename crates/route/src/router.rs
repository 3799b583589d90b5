//! The routing state of one process, and its decisions.
//!
//! The caller, the relay, reports what happens to its requests as [`RouteEvent`]s and executes the
//! [`RouteAction`]s that are returned. A request is submitted once per attempt. It ends with a
//! `Finished` or `Abandoned` event or a `Refuse` action.
//!
//! Each attempt passes these checks in order, and the first that fails refuses it: quarantine; on a
//! first attempt, deadline, overload and limits; on a later one, the retry budget; the trial permit
//! of a suspect; the choice of a group; the queue.
//!
//! Invariants: a request is sent only to a routable group that serves its version and is not
//! excluded; a suspect is sent only as its trial permit allows; nothing is sent that can't finish
//! by its deadline.

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

/// Time for which a group that this process saw fail or stop serving gets no requests, unless its
/// generation rises.
pub const LOCAL_FAILURE_HOLDOFF: Duration = Duration::from_secs(2);
/// Time for which a group that refused a request gets only requests that no other group can take.
pub const REFUSAL_HOLDOFF: Duration = Duration::from_millis(500);
/// Time after the failure of a group during which requests of which it was the first choice need a
/// trial permit.
pub const TRIAL_WINDOW: Duration = Duration::from_secs(10);

/// The stage of a request.
#[data]
enum Stage {
    /// The request is in the queue.
    Queued,
    /// The request waits for the coordinator's answer, or to request a trial permit again.
    AwaitingTrial {
        /// When to request a permit again; `None` while an answer is awaited.
        again_at: Option<Mono>,
        /// The backoff before the attempt.
        wait: Duration,
    },
    /// The request was sent to a group.
    Sent(Attempt),
    /// The last attempt failed and the request has not been submitted again, or the request is
    /// being routed.
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
    /// Whether a trial permit has to be released when the attempt ends.
    holds_permit: bool,
}

/// A request that has not ended.
#[data]
struct RequestEntry {
    spec: RequestSpec,
    stage: Stage,
    /// Whether a trial permit was requested, which has to be released.
    holds_permit: bool,
}

/// A group that this process saw fail or stop serving.
#[data]
struct FailedGroup {
    generation: Generation,
    failed_at: Mono,
    /// The last known entry of the group table.
    view: Option<group::view::GroupView>,
}

/// The routing state of one process; see the [module](self).
#[derive(Clone, Debug)]
pub struct Router {
    node: NodeId,
    settings: RouteSettings,
    clock: HlcClock,
    table: GroupTable,
    loads: LoadTracker,
    hot: HotKeys,
    failed_groups: BTreeMap<GroupId, FailedGroup>,
    /// Until when each group that refused a request is avoided.
    avoid_until: BTreeMap<GroupId, Mono>,
    limits: LimitTable,
    shares: LimitShares,
    queue: Queue,
    retries: RetryBudget,
    quarantine: Quarantine,
    trials: Trials,
    requests: BTreeMap<RequestId, RequestEntry>,
}

impl Router {
    /// Creates the state without groups, limits and peers.
    pub fn new(node: NodeId, settings: RouteSettings) -> Self {
        Router {
            shares: LimitShares::new(node.clone(), settings.boot),
            node,
            clock: HlcClock::default(),
            table: GroupTable::default(),
            loads: LoadTracker::default(),
            hot: HotKeys::default(),
            failed_groups: BTreeMap::new(),
            avoid_until: BTreeMap::new(),
            limits: LimitTable::default(),
            queue: Queue::new(settings.queue_capacity),
            retries: RetryBudget::new(settings.retry_fraction),
            quarantine: Quarantine::default(),
            trials: Trials::default(),
            requests: BTreeMap::new(),
            settings,
        }
    }

    /// Returns the crash histories of requests.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that have not ended, in any stage.
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the wall-clock time at `now`, in milliseconds since 1970.
    pub fn wall_millis(&self, now: Mono) -> u64 {
        self.settings.wall_millis_at_start + now.as_millis() as u64
    }

    fn stamp(&mut self, now: Mono) -> Hlc {
        let millis = self.wall_millis(now);
        self.clock.tick(millis)
    }
}
