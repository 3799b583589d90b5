//! HTTP server and client for the daemon, the command-line tool and the simulated servers, on top of
//! `volo-http`.
//!
//! - [`server`]: [`serve`](server::serve) runs a handler until it is stopped; a stop lets all responses
//!   finish.
//! - `listen`: bounds the number of open connections and the time that they may be idle.
//! - `connection`: the stream of a connection, and what it is doing.
//! - [`framing`]: what a response says of how its connection delimited it.
//! - [`client`]: [`Client`](client::Client), whose errors tell whether a request was sent.
//! - [`not_sent`]: why a request was not sent, and whether that shows anything of its server.
//! - [`running_time`]: timeouts that count only the time during which the process ran.
//! - [`pool`]: [`Pool`](pool::Pool), pooled connections for a proxy that must know whether a request was
//!   sent.
//! - [`reply`]: [`Request`](reply::Request), [`Response`](reply::Response) and their builders.
//! - [`observer`]: what the owner of a listener learns of its connections.
//! - [`causes`]: the causes of errors, as text and as a closed set.
//! - [`memory`]: a budget of the bytes that a process holds in bodies.
//! - [`body`]: reading bodies with a size limit, and writing streamed ones.
//! - [`sse`]: writing and reading server-sent events.
//!
//! ```
//! use web::prelude::*;
//!
//! let response = reply::json(http::StatusCode::OK, &serde_json::json!({"ok": true}));
//! assert_eq!(response.status(), 200);
//! ```

pub mod body;
pub mod causes;
pub mod client;
mod connection;
pub mod framing;
mod listen;
pub mod memory;
pub mod not_sent;
pub mod observer;
pub mod pool;
pub mod reply;
pub mod running_time;
pub mod server;
pub mod sse;

/// The common types of this crate.
pub mod prelude {
    pub use crate::body::BodyError;
    pub use crate::body::BodySender;
    pub use crate::body::GrantedBodyError;
    pub use crate::client::Client;
    pub use crate::client::ClientError;
    pub use crate::framing::Delimiter;
    pub use crate::memory::Buffer;
    pub use crate::memory::ByteBudget;
    pub use crate::memory::Grant;
    pub use crate::memory::OutOfMemory;
    pub use crate::not_sent::NotSentCause;
    pub use crate::observer::ConnectionEvent;
    pub use crate::observer::LostConnection;
    pub use crate::observer::Observer;
    pub use crate::pool::FirstOnConnection;
    pub use crate::pool::Pool;
    pub use crate::pool::PoolError;
    pub use crate::pool::PoolSettings;
    pub use crate::pool::Reuse;
    pub use crate::reply;
    pub use crate::reply::Request;
    pub use crate::reply::Response;
    pub use crate::server::AlsoInFlight;
    pub use crate::server::Drain;
    pub use crate::server::ServerLimits;
    pub use crate::server::bind;
    pub use crate::server::serve;
    pub use crate::server::serve_observed;
}
