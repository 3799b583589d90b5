//! Pass-through serving: a request is forwarded to a backend server, and the response is passed
//! back byte by byte.
//!
//! - [`config`]: the configuration by operators: routes, services, workspaces, limits.
//! - [`admission`]: how capacity is divided among priorities.
//! - [`fair_share`]: how capacity is divided among workspaces.
//! - [`routes`]: the table that finds the route and workspace of a request.
//! - [`header_names`]: the names of the headers that callers and backend servers use.
//! - [`request`]: the metadata in the headers of a request.
//! - [`fleet_size`]: the number of processes among which rates are divided.
//! - `flows`: the flows of requests, as this process sees them and as the others report them.
//! - [`load`]: the load of an endpoint.
//! - `endpoint`: one endpoint, and how long it is expected to take to respond.
//! - [`endpoints`]: the endpoints that can receive requests, and their load.
//! - [`arrivals`]: what other processes are expected to have sent since their loads were reported.
//! - [`availability`]: when an endpoint may get a request again.
//! - [`evacuation`]: which servers may get new requests while operators evacuate failure domains.
//! - [`server_notice`]: what a backend server says of itself in the headers of a response.
//! - [`server_limit`]: the request rates that backend servers name.
//! - [`warm_up`]: servers in warm-up, and the rate that they take.
//! - [`dispatch`]: which requests are sent, queued or refused.
//! - [`budget`]: this process's part of a fleet-wide retry budget.
//! - [`retry_ledger`]: the grants of retries that a hub gives out of that budget.
//! - [`paths`]: which backend servers this process can connect to.
//! - [`helpers`]: the other processes that take requests over from this one.
//! - [`outcome`]: the outcome of an attempt, and whether it may be retried.
//! - [`engine_time`]: a model of the time that a replica group takes to the first event.
//! - [`fixed_time`]: the part of that time that doesn't depend on load.
//! - [`events`]: splits a stream into complete events.
//! - [`resumption`]: whether a response goes on with a stream that has broken off.

pub mod admission;
pub mod arrivals;
pub mod availability;
pub mod budget;
pub mod config;
pub mod dispatch;
mod endpoint;
pub mod endpoints;
pub mod engine_time;
pub mod evacuation;
pub mod events;
pub mod fair_share;
pub mod fixed_time;
pub mod fleet_size;
mod flows;
pub mod header_names;
pub mod helpers;
pub mod load;
pub mod outcome;
pub mod paths;
pub mod request;
pub mod resumption;
pub mod retry_ledger;
pub mod routes;
pub mod server_limit;
pub mod server_notice;
pub mod warm_up;

/// The common types of this crate.
pub mod prelude {
    pub use crate::budget::RetryBudget;
    pub use crate::budget::RetrySource;
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
    pub use crate::load::Load;
    pub use crate::outcome::AttemptOutcome;
    pub use crate::outcome::ConnectionUse;
    pub use crate::outcome::SentAttempt;
    pub use crate::paths::Reach;
    pub use crate::request::GenerationRequest;
    pub use crate::request::RequestMetadata;
    pub use crate::resumption::StreamHead;
    pub use crate::resumption::StreamPosition;
    pub use crate::retry_ledger::RetryGrant;
    pub use crate::retry_ledger::RetryLedger;
    pub use crate::retry_ledger::RetryReport;
    pub use crate::routes::RouteTable;
}
