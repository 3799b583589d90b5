//! Formation of replica groups on engines that join, open, close and leave groups on command.
//!
//! The engines are the source of truth for membership: each reports the group, epoch, rank and
//! phase that it is in. At any time one elected process, the owner, issues the orders that change
//! groups. All decisions are made in this crate, without I/O, from the reports of the backend
//! servers.
//!
//! - [`server`]: the report of a backend server.
//! - [`spec`]: the models to be served, and the performance figures of their engines.
//! - [`observed_groups`]: the groups reconstructed from the reports, and which of them take
//!   requests.
//! - [`server_table`]: the reports of all servers, and the groups that they show, kept up to date.
//! - [`utility`]: the marginal utility of one more group of a model.
//! - [`compose`]: which groups to form from the free servers of a fabric domain.
//! - [`demand`]: the share of each model in the work that callers request.
//! - [`load_limiter`]: a rate limit on loads from the weight store.
//! - [`owner`]: the owner's state and its orders.

pub mod compose;
pub mod demand;
pub mod load_limiter;
pub mod observed_groups;
pub mod owner;
pub mod server;
pub mod server_table;
pub mod spec;
pub mod utility;

/// The common types of this crate.
pub mod prelude {
    pub use crate::observed_groups::Group;
    pub use crate::observed_groups::ObservedGroups;
    pub use crate::owner::Command;
    pub use crate::owner::Order;
    pub use crate::owner::OrderId;
    pub use crate::owner::Owner;
    pub use crate::owner::Reply;
    pub use crate::owner::Sight;
    pub use crate::server::InstanceId;
    pub use crate::server::Membership;
    pub use crate::server::Phase;
    pub use crate::server::Server;
    pub use crate::server::ServerId;
    pub use crate::server::ServerState;
    pub use crate::server_table::MissingServer;
    pub use crate::server_table::ServerTable;
    pub use crate::spec::EngineSpec;
    pub use crate::spec::ModelSpec;
}
