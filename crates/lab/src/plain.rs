//! A stand-in plain service: echoes each request, and records the requests that it executed.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use futures::FutureExt;
use http::Method;
use http::StatusCode;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::body;
use web::prelude::*;

use crate::engine::server::read;

/// Largest body that the service reads.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Faults that a test switches through `POST /control/faults`.
#[wire]
#[derive(Default)]
#[serde(default)]
pub struct PlainFaults {
    /// Number of next requests that are executed and then get no complete response.
    pub lose_answers: u32,
    /// Delay before a request is executed, in milliseconds.
    pub delay_ms: u64,
    /// Accept requests and never respond.
    pub frozen: bool,
}

/// One request that was executed.
#[wire]
pub struct PlainRun {
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// The body, as text.
    pub body: Box<str>,
}

#[derive(Default)]
struct State {
    runs: Mutex<Vec<PlainRun>>,
    faults: Mutex<PlainFaults>,
}

#[derive(Serialize)]
struct Answer<'a> {
    run: usize,
    method: &'a str,
    path: &'a str,
    body: &'a str,
    echo: Option<String>,
}

/// Serves the stand-in on `listener` until `stop`.
pub async fn run(listener: TcpListener, stop: CancellationToken) -> Result<(), Box<str>> {
    let state = Arc::new(State::default());
    let handler = Arc::new(move |req: Request| handle(state.clone(), req).boxed());
    serve(listener, ServerLimits::default(), handler, Drain::default(), stop).await
}

async fn handle(state: Arc<State>, req: Request) -> Response {
    match (&req.method, &*req.path) {
        (&Method::GET, "/control/runs") => reply::json(StatusCode::OK, &*state.runs.lock()),
        (&Method::POST, "/control/faults") => match read::<PlainFaults>(req).await {
            Ok(faults) => {
                *state.faults.lock() = faults;
                reply::empty(StatusCode::NO_CONTENT)
            }
            Err(response) => response,
        },
        _ => call(&state, req).await,
    }
}

async fn call(state: &State, req: Request) -> Response {
    let faults = state.faults.lock().clone();
    if faults.frozen {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    let echo = req.header("x-echo").map(str::to_owned);
    let path = match &*req.query {
        "" => req.path.clone(),
        query => format!("{}?{query}", req.path).into(),
    };
    let method: Box<str> = req.method.as_str().into();
    let bytes = match body::read(req.body, MAX_BODY_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let text: Box<str> = String::from_utf8_lossy(&bytes).into();
    let run = {
        let mut runs = state.runs.lock();
        runs.push(PlainRun { method: method.clone(), path: path.clone(), body: text.clone() });
        runs.len()
    };
    if faults.lose_answers > 0 {
        state.faults.lock().lose_answers -= 1;
        return response_without_end();
    }
    reply::json(StatusCode::OK, &Answer { run, method: &method, path: &path, body: &text, echo })
}

/// Returns a response whose connection is closed before the body's end.
fn response_without_end() -> Response {
    let (tx, stream) = body::stream(());
    tokio::spawn(async move { tx.abort("the answer is lost").await });
    reply::with_type(StatusCode::OK, "application/json", stream)
}
