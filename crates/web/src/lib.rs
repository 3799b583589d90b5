//! HTTP for the daemon, the tool and the stand-ins, over `volo-http`.
//!
//! - [`server`]: [`serve`](server::serve) runs a handler until it is stopped, with no stream cut.
//! - [`listen`]: [`BoundedIncoming`](listen::BoundedIncoming) bounds open and idle connections.
//! - [`client`]: [`Client`](client::Client), whose errors say whether a request was sent.
//! - [`pool`]: [`Pool`](pool::Pool), connections for a relay that must know what was sent.
//! - [`reply`]: [`Request`](reply::Request), [`Response`](reply::Response) and their builders.
//! - [`body`]: reading bodies with a limit, and writing streamed ones.
//! - [`sse`]: server-sent events, both ways.
//!
//! ```
//! use web::prelude::*;
//!
//! let response = reply::json(http::StatusCode::OK, &serde_json::json!({"ok": true}));
//! assert_eq!(response.status(), 200);
//! ```

pub mod body;
pub mod client;
pub mod listen;
pub mod pool;
pub mod reply;
pub mod server;
pub mod sse;

/// The common types of this crate.
pub mod prelude {
    pub use crate::body::BodyError;
    pub use crate::body::BodySender;
    pub use crate::client::Client;
    pub use crate::client::ClientError;
    pub use crate::pool::Pool;
    pub use crate::pool::PoolError;
    pub use crate::pool::PoolSettings;
    pub use crate::pool::Reuse;
    pub use crate::reply;
    pub use crate::reply::Request;
    pub use crate::reply::Response;
    pub use crate::server::Drain;
    pub use crate::server::ServerLimits;
    pub use crate::server::serve;
}
