//! Rows of the store that are replicated to all processes: what a process has, how old it may be, whom to ask for what.
//!
//! Decisions only, without I/O, so that a test can run those of a whole fleet in simulated time.
//!
//! - [`cache`]: the rows of one process, with numbered changes.
//! - [`message`]: what processes ask and send each other.
//! - [`patch`]: large rows as differences from a version that the receiver has.
//! - [`limiter`]: how much a hub sends.
//! - [`hub`]: what a hub sends.
//! - [`hub_follower`]: what a process asks of a hub, and what an answer tells it.
//! - [`store_follower`]: when a process follows the store itself.

pub mod cache;
pub mod hub;
pub mod hub_follower;
pub mod limiter;
pub mod message;
pub mod patch;
pub mod store_follower;

/// The common types, for a glob import.
pub mod prelude {
    pub use crate::cache::RowCache;
    pub use crate::cache::RowChange;
    pub use crate::cache::RowSource;
    pub use crate::hub::Feed;
    pub use crate::hub::is_fresh;
    pub use crate::hub_follower::Answered;
    pub use crate::hub_follower::Ask;
    pub use crate::hub_follower::HubFollower;
    pub use crate::limiter::BulkLimiter;
    pub use crate::message::Answer;
    pub use crate::message::ChangesRequest;
    pub use crate::message::Row;
    pub use crate::message::RowsRequest;
    pub use crate::patch::Patch;
    pub use crate::store_follower::Situation;
    pub use crate::store_follower::StoreAction;
    pub use crate::store_follower::StoreFollower;
}
