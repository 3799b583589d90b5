//! Pass-through serving: requests go to a backend server and answers come back byte by byte.
//!
//! - [`config`]: what operators declare: routes, services, workspaces, limits.
//! - [`routes`]: the table that finds a request's route and workspace.
//! - [`header_names`]: the names of the headers that callers and backend servers use.
//! - [`request`]: what a request says of itself.
//! - [`endpoints`]: who may get a request, and how loaded they are.
//! - [`dispatch`]: who gets a place, who waits, and who is refused.
//! - [`budget`]: the share of a fleet-wide retry budget.
//! - [`outcome`]: what an attempt's answer means, and what may follow.
//! - [`events`]: cuts a stream into whole events.

pub mod budget;
pub mod config;
pub mod dispatch;
pub mod endpoints;
pub mod events;
pub mod header_names;
pub mod outcome;
pub mod request;
pub mod routes;

/// The common types of this crate.
pub mod prelude {
    pub use crate::budget::RetryBudget;
    pub use crate::config::ExecutionPolicy;
    pub use crate::config::Limits;
    pub use crate::config::Route;
    pub use crate::config::RoutingConfig;
    pub use crate::config::ServiceSpec;
    pub use crate::config::Workspace;
    pub use crate::dispatch::Decision;
    pub use crate::dispatch::DispatchQueue;
    pub use crate::endpoints::Endpoint;
    pub use crate::endpoints::EndpointPool;
    pub use crate::events::EventSplitter;
    pub use crate::header_names::HeaderNames;
    pub use crate::outcome::AttemptOutcome;
    pub use crate::request::GenerationRequest;
    pub use crate::request::RequestMetadata;
    pub use crate::routes::RouteTable;
}
