//! Pass-through serving: requests go to a backend server and answers come back byte by byte.
//!
//! - [`declared`]: what operators declare: routes, services, workspaces, limits.
//! - [`routes`]: the table that finds a request's route and workspace.
//! - [`dialect`]: the names of the headers that callers and backend servers use.
//! - [`ask`]: what a request says of itself.
//! - [`places`]: who may get a request, and how loaded they are.
//! - [`dispatch`]: who gets a place, who waits, and who is refused.
//! - [`budget`]: the share of a fleet-wide retry budget.
//! - [`verdict`]: what an attempt's answer means, and what may follow.
//! - [`events`]: cuts a stream into whole events.

pub mod ask;
pub mod budget;
pub mod declared;
pub mod dialect;
pub mod dispatch;
pub mod events;
pub mod places;
pub mod routes;
pub mod verdict;

/// The common types of this crate.
pub mod prelude {
    pub use crate::ask::Ask;
    pub use crate::ask::Prompt;
    pub use crate::budget::RetryBudget;
    pub use crate::declared::Declared;
    pub use crate::declared::Limits;
    pub use crate::declared::Repeat;
    pub use crate::declared::Route;
    pub use crate::declared::ServiceSpec;
    pub use crate::declared::Workspace;
    pub use crate::dialect::Dialect;
    pub use crate::dispatch::Decision;
    pub use crate::dispatch::Dispatch;
    pub use crate::events::Events;
    pub use crate::places::Place;
    pub use crate::places::Places;
    pub use crate::routes::RouteTable;
    pub use crate::verdict::Verdict;
}
