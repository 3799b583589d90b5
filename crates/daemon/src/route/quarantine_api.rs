//! Suspects and quarantined requests as operators see them.
//!
//! | path | answer |
//! |---|---|
//! | `GET /api/v1/quarantine` | all suspects and quarantined requests that this process knows |
//! | `DELETE /api/v1/quarantine/FINGERPRINT` | ends one's quarantine everywhere |

use base::prelude::*;
use http::StatusCode;
use kernel::prelude::*;
use route::prelude::*;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use web::prelude::*;

use crate::names;
use crate::route::RouteMessage;

/// Path of the list, and of its entries below it.
pub const PATH: &str = "/api/v1/quarantine";

/// One suspect or quarantined request.
#[derive(Clone, Debug, Serialize)]
pub struct QuarantineEntry {
    /// Its fingerprint, in hexadecimal.
    pub fingerprint: Box<str>,
    /// Suspect or convicted.
    pub verdict: Verdict,
    /// The groups that crashed while they ran it, oldest first.
    pub groups: Vec<GroupId>,
    /// When the last of them crashed, in milliseconds since 1970.
    pub last_crash_millis: u64,
}

impl QuarantineEntry {
    /// Describes a fact with its verdict.
    pub fn new(history: &CrashHistory, verdict: Verdict) -> Self {
        QuarantineEntry {
            fingerprint: format!("{:016x}", history.fingerprint).into(),
            verdict,
            groups: history.crashes.iter().map(|crash| crash.group.clone()).collect(),
            last_crash_millis: history.crashes.last().map_or(0, |crash| crash.at.millis),
        }
    }
}

/// Answers a request for the list.
pub async fn list(cx: &Context) -> Response {
    let (tx, rx) = oneshot::channel();
    match query(cx, RouteMessage::ListQuarantine(tx), rx).await {
        Some(held) => reply::json(StatusCode::OK, &held),
        None => reply::text(StatusCode::SERVICE_UNAVAILABLE, "routing does not run"),
    }
}

/// Ends the quarantine that the path names.
pub async fn lift(cx: &Context, path: &str) -> Response {
    let name = path.trim_start_matches(PATH).trim_start_matches('/');
    let Ok(fingerprint) = u64::from_str_radix(name, 16) else {
        let problem = format!("fingerprint \"{name}\" is not a hexadecimal number");
        return reply::text(StatusCode::BAD_REQUEST, problem);
    };
    let (tx, rx) = oneshot::channel();
    match query(cx, RouteMessage::LiftQuarantine { fingerprint, reply: tx }, rx).await {
        Some(true) => reply::text(StatusCode::OK, "lifted"),
        Some(false) => {
            let problem = format!("fingerprint \"{name}\" is not held");
            reply::text(StatusCode::NOT_FOUND, problem)
        }
        None => reply::text(StatusCode::SERVICE_UNAVAILABLE, "routing does not run"),
    }
}

async fn query<T>(cx: &Context, message: RouteMessage, rx: oneshot::Receiver<T>) -> Option<T> {
    let route: mpsc::Sender<RouteMessage> = cx.sender(names::ROUTE).ok()?;
    route.send(message).await.ok()?;
    rx.await.ok()
}
