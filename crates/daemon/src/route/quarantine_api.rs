//! The part of the operator API that lists and lifts quarantines.
//!
//! | path | answer |
//! |---|---|
//! | `GET /api/v1/quarantine` | all suspect and quarantined requests that this process knows |
//! | `DELETE /api/v1/quarantine/FINGERPRINT` | lifts one quarantine in all processes |

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

/// Path of the list; an entry's path is this one followed by its fingerprint.
pub const PATH: &str = "/api/v1/quarantine";

/// One suspect or quarantined request.
#[derive(Clone, Debug, Serialize)]
pub struct QuarantineEntry {
    /// Its fingerprint, 16 hexadecimal digits.
    pub fingerprint: Box<str>,
    /// Suspect or quarantined.
    pub verdict: Verdict,
    /// The groups that crashed while they ran it, oldest first.
    pub groups: Vec<GroupId>,
    /// Time of the latest of these crashes, in milliseconds since the Unix epoch.
    pub last_crash_millis: u64,
}

impl QuarantineEntry {
    /// Describes a crash history and the verdict on it.
    pub fn new(history: &CrashHistory, verdict: Verdict) -> Self {
        QuarantineEntry {
            fingerprint: format!("{:016x}", history.fingerprint).into(),
            verdict,
            groups: history.crashes.iter().map(|crash| crash.group.clone()).collect(),
            last_crash_millis: history.crashes.last().map_or(0, |crash| crash.at.millis),
        }
    }
}

/// Answers `GET` on [`PATH`].
pub async fn list(cx: &Context) -> Response {
    let (tx, rx) = oneshot::channel();
    match query(cx, RouteMessage::ListQuarantine(tx), rx).await {
        Some(entries) => reply::json(StatusCode::OK, &entries),
        None => reply::text(StatusCode::SERVICE_UNAVAILABLE, "routing does not run"),
    }
}

/// Answers `DELETE` on an entry's path: lifts the quarantine or suspicion.
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
