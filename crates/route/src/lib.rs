//! Request routing, limits, overload control, retries and quarantine, as pure decisions.
//!
//! - [`router`]: [`Router`](router::Router), the state machine that turns events into actions.
//! - [`request`]: [`RequestSpec`](request::RequestSpec), the properties of a request that routing
//!   depends on, and its fingerprints.
//! - [`load`]: estimates of each group's load and speed from delayed reports and local events.
//! - [`choose`]: the choice of a group by prefix affinity, and two baseline policies.
//! - [`hot`]: detection of hot prefixes, which are split into shards.
//! - [`limits`] and [`share`]: workspace limits that hold over all processes, by exchanged usage.
//! - [`queue`] and [`shed`]: the bounded queue and load shedding.
//! - [`retry`]: the retry budget.
//! - [`quarantine`] and [`trial`]: requests that crash the groups that run them.
//! - [`prompt_parts`] and [`part_evidence`]: parts of prompts that crash the servers that begin to answer them.
//! - [`crash_row`] and [`save_schedule`]: the row of the store in which crashes outlast all processes.
//! - [`trace`]: replay of recorded traces.
//!
//! This crate reads no clock and draws no random numbers: callers pass the time and a number drawn
//! from their own generator, so the same events always give the same actions.
//!
//! ```
//! use route::prelude::*;
//!
//! let mut router = Router::new("node-1".into(), RouteSettings::default());
//! let spec = RequestSpec::new(7, "harbour", "tide", "v3", b"When is slack water?");
//! let actions = router.decide(RouteEvent::Submit(spec), Duration::ZERO, 0);
//! // No group is known yet, so the request is refused at once with a time to retry after.
//! assert!(matches!(&actions[..], [RouteAction::Refuse { refusal, .. }]
//!     if refusal.reason == RefusalReason::NoGroup && refusal.retry_after.is_some()));
//! ```

pub mod bucket;
pub mod choose;
pub mod crash_row;
pub mod hot;
pub mod limits;
pub mod load;
pub mod part_evidence;
pub mod prompt_parts;
pub mod quarantine;
pub mod queue;
pub mod request;
pub mod retry;
pub mod router;
pub mod save_schedule;
pub mod share;
pub mod shed;
pub mod trace;
pub mod trial;

/// The types that most users of this crate import.
pub mod prelude {
    pub use std::time::Duration;

    pub use crate::choose::Policy;
    pub use crate::limits::LimitExceeded;
    pub use crate::limits::WorkspaceLimits;
    pub use crate::quarantine::CrashHistory;
    pub use crate::quarantine::Quarantine;
    pub use crate::quarantine::Verdict;
    pub use crate::request::Fingerprint;
    pub use crate::request::Priority;
    pub use crate::request::Refusal;
    pub use crate::request::RefusalReason;
    pub use crate::request::RequestSpec;
    pub use crate::router::Failure;
    pub use crate::router::RouteAction;
    pub use crate::router::RouteEvent;
    pub use crate::router::RouteSettings;
    pub use crate::router::Router;
    pub use crate::share::UsageReport;
    pub use crate::trial::TrialDecision;
}
