//! Routing, limits, overload control, retries and quarantine, as pure decisions.
//!
//! - [`router`]: [`Router`](router::Router), which turns events into actions and holds the rest.
//! - [`need`]: [`Need`](need::Need), what one request asks of routing, and its fingerprints.
//! - [`load`]: estimates of each group's queue and speed from lagging reports and own sends.
//! - [`choose`]: the choice of a group by prefix affinity, with two baselines.
//! - [`hot`]: hot prefixes, split into versions.
//! - [`limits`] and [`share`]: limits of workspaces, kept over all processes by exchanged usage.
//! - [`queue`] and [`shed`]: the bounded queue and overload control.
//! - [`retry`]: the retry budget.
//! - [`poison`] and [`trial`]: requests that crash the groups that run them.
//! - [`trace`]: replay of recorded traces.
//!
//! Nothing here reads a clock or draws a random number: callers pass the time and a number drawn
//! from their own generator, so the same events give the same actions.
//!
//! ```
//! use route::prelude::*;
//!
//! let mut router = Router::new("node-1".into(), RouteSettings::default());
//! let need = Need::new(7, "harbour", "tide", "v3", b"When is slack water?");
//! let actions = router.decide(RouteEvent::Ask(need), Duration::ZERO, 0);
//! // No group is known yet, so the request is refused at once with a time to come back.
//! assert!(matches!(&actions[..], [RouteAction::Refuse { refusal, .. }]
//!     if refusal.reason == RefusalReason::NoGroup && refusal.retry_after.is_some()));
//! ```

pub mod bucket;
pub mod choose;
pub mod hot;
pub mod limits;
pub mod load;
pub mod need;
pub mod poison;
pub mod queue;
pub mod retry;
pub mod router;
pub mod share;
pub mod shed;
pub mod trace;
pub mod trial;

/// The common types of this crate.
pub mod prelude {
    pub use std::time::Duration;

    pub use crate::choose::Policy;
    pub use crate::limits::Denial;
    pub use crate::limits::WorkspaceLimits;
    pub use crate::need::Fingerprint;
    pub use crate::need::Need;
    pub use crate::need::Priority;
    pub use crate::need::Refusal;
    pub use crate::need::RefusalReason;
    pub use crate::poison::PoisonFact;
    pub use crate::poison::Quarantine;
    pub use crate::poison::Verdict;
    pub use crate::router::Failure;
    pub use crate::router::RouteAction;
    pub use crate::router::RouteEvent;
    pub use crate::router::RouteSettings;
    pub use crate::router::Router;
    pub use crate::share::UsageFact;
    pub use crate::trial::Grant;
}
