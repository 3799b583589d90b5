//! Formation of replica groups on engines that join, open, close and leave groups by order.
//!
//! These engines keep the truth about membership themselves: each reports the group, epoch, rank
//! and phase that it is in. One process at a time, the owner, orders changes. All is decided here
//! without I/O, from what the backend servers report.
//!
//! - [`server`]: what a backend server says of itself.
//! - [`spec`]: the models that are to be served, and the engines' figures.
//! - [`observed_groups`]: the groups that the reports add up to, and which of them take requests.
//! - [`compose`]: which groups to form in a fabric domain from the servers that are free.
//! - [`load_limiter`]: a bound on loads from the weight store.
//! - [`owner`]: the owner's state and its orders.

pub mod compose;
pub mod load_limiter;
pub mod observed_groups;
pub mod owner;
pub mod server;
pub mod spec;

/// The common types of this crate.
pub mod prelude {
    pub use crate::observed_groups::Group;
    pub use crate::observed_groups::ObservedGroups;
    pub use crate::owner::Command;
    pub use crate::owner::Order;
    pub use crate::owner::OrderId;
    pub use crate::owner::Owner;
    pub use crate::owner::Reply;
    pub use crate::server::InstanceId;
    pub use crate::server::Membership;
    pub use crate::server::Phase;
    pub use crate::server::Server;
    pub use crate::server::ServerId;
    pub use crate::server::ServerState;
    pub use crate::spec::EngineSpec;
    pub use crate::spec::ModelSpec;
}
