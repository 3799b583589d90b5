//! The HTTP interface of a stand-in engine.

use std::sync::Arc;

use engine::prelude::*;
use futures::FutureExt;
use http::Method;
use http::StatusCode;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::watch;
use web::body;
use web::prelude::*;
use web::sse;

use crate::engine::Shared;
use crate::engine::attempts::Attempt;
use crate::engine::attempts::Progress;
use crate::engine::attempts::text_input;
use crate::engine::faults::Faults;
use crate::engine::members;

/// Maximum size of a request body that a stand-in reads.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Serves an engine until it goes down.
pub async fn run(listener: TcpListener, shared: Arc<Shared>) {
    let stop = shared.down.clone();
    let handler_shared = shared.clone();
    let handler = Arc::new(move |req: Request| handle(handler_shared.clone(), req).boxed());
    let served = serve(listener, ServerLimits::default(), handler, Drain::default(), stop).await;
    if let Err(error) = served {
        log::error!("engine of VM {}: server failed: {error}", shared.options.vm);
    }
}

async fn handle(shared: Arc<Shared>, req: Request) -> Response {
    let control = req.path.starts_with("/control/");
    if !control && shared.faults.lock().frozen {
        shared.down.cancelled().await;
    }
    if !control && shared.down.is_cancelled() {
        return aborted_response();
    }
    let path = req.path.clone();
    match (&req.method, &*path) {
        (&Method::POST, "/v1/generate") => generate(&shared, req).await,
        (&Method::POST, "/v1/resume") => resume(&shared, req).await,
        (&Method::POST, "/v1/cancel") => match read::<Cancel>(req).await {
            Ok(cancel) => {
                shared.attempts.cancel(cancel.attempt);
                reply::empty(StatusCode::NO_CONTENT)
            }
            Err(response) => response,
        },
        (&Method::GET, "/v1/status") => reply::json(StatusCode::OK, &status(&shared)),
        (&Method::GET, "/v1/cache-events") => cache_events(&shared, &req),
        (&Method::POST, "/v1/order") => match read::<Order>(req).await {
            Ok(order) => reply::json(StatusCode::OK, &members::execute(&shared, order)),
            Err(response) => response,
        },
        (&Method::POST, "/control/faults") => match read::<Faults>(req).await {
            Ok(faults) => {
                *shared.faults.lock() = faults;
                reply::empty(StatusCode::NO_CONTENT)
            }
            Err(response) => response,
        },
        (&Method::POST, "/control/crash") => {
            shared.crash();
            reply::empty(StatusCode::NO_CONTENT)
        }
        (&Method::GET, "/control/runs") => reply::json(StatusCode::OK, &shared.attempts.runs()),
        (&Method::GET, path) if path.starts_with("/internal/kv/") => exported(&shared, path),
        _ => reply::text(StatusCode::NOT_FOUND, format!("no such path: {path}")),
    }
}

/// Reads a JSON body; the error is the response that rejects it.
pub async fn read<T: DeserializeOwned>(req: Request) -> Result<T, Response> {
    let refuse = |problem: String| reply::text(StatusCode::BAD_REQUEST, problem);
    let bytes = body::read(req.body, MAX_BODY_BYTES).await;
    let bytes = bytes.map_err(|error| refuse(error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| refuse(error.to_string()))
}

/// Returns a response whose connection is closed before the body's end.
fn aborted_response() -> Response {
    let (tx, stream) = body::stream(());
    tokio::spawn(async move { tx.abort("the engine is down").await });
    reply::with_type(StatusCode::OK, "text/event-stream", stream)
}

fn refused(reason: RefusalReason) -> Response {
    reply::json(StatusCode::CONFLICT, &Refusal { reason })
}

fn check_assignment(shared: &Shared, request: &Generate) -> Result<(), RefusalReason> {
    let member = shared.member_state.lock();
    if member.group.as_ref() != Some(&request.group) || member.generation != request.generation {
        return Err(RefusalReason::Fenced);
    }
    if !member.is_ready() || member.rank != 0 {
        return Err(RefusalReason::NotReady);
    }
    if member.version.as_ref() != Some(&request.version) {
        return Err(RefusalReason::NotLoaded);
    }
    if request.adapter.as_ref().is_some_and(|adapter| !member.adapters.contains(adapter)) {
        return Err(RefusalReason::NotLoaded);
    }
    Ok(())
}

async fn generate(shared: &Arc<Shared>, req: Request) -> Response {
    let request = match read::<Generate>(req).await {
        Ok(request) => request,
        Err(response) => return response,
    };
    if let Err(reason) = check_assignment(shared, &request) {
        return refused(reason);
    }
    let from = request.skip;
    match shared.attempts.admit(shared, request) {
        Ok(attempt) => stream(shared, attempt, from),
        Err(refusal) => refused(refusal.reason),
    }
}

async fn resume(shared: &Arc<Shared>, req: Request) -> Response {
    let resume = match read::<Resume>(req).await {
        Ok(resume) => resume,
        Err(response) => return response,
    };
    match shared.attempts.find(resume.attempt) {
        Some(attempt) => stream(shared, attempt, resume.from),
        None => refused(RefusalReason::UnknownAttempt),
    }
}

fn exported(shared: &Shared, path: &str) -> Response {
    let attempt = path.rsplit('/').next().and_then(|attempt| attempt.parse().ok());
    match attempt.and_then(|attempt| shared.attempts.exported(attempt)) {
        Some(exported) => reply::json(StatusCode::OK, &exported),
        None => reply::text(StatusCode::NOT_FOUND, "no such attempt was exported"),
    }
}

fn cache_events(shared: &Shared, req: &Request) -> Response {
    let from = req.query_value("from").and_then(|from| from.parse().ok()).unwrap_or(0);
    let gap = shared.faults.lock().cache_event_gap.unwrap_or(1).max(1);
    let events = shared.attempts.cache_events(from, gap);
    reply::json(StatusCode::OK, &CacheEvents { events })
}

fn status(shared: &Shared) -> Status {
    let member = shared.member_state.lock().clone();
    let leaving = shared.faults.lock().leaving;
    Status {
        vm: shared.options.vm.clone(),
        boot: shared.boot,
        ready: member.is_ready(),
        group: member.group,
        generation: member.generation,
        rank: member.rank,
        leaving,
        model: member.model,
        version: member.version,
        adapters: member.adapters,
        load: shared.attempts.load(),
    }
}

/// Streams the log of an attempt from piece `from` on.
fn stream(shared: &Arc<Shared>, attempt: Arc<Attempt>, from: u32) -> Response {
    let (tx, stream) = body::stream(());
    let progress = attempt.progress.subscribe();
    let writer = Writer { shared: shared.clone(), attempt, tx, next: from };
    tokio::spawn(writer.run(progress));
    reply::with_type(StatusCode::OK, "text/event-stream", stream)
}

/// The action of a stream after a piece.
enum NextStep {
    Continue,
    Abort,
    Stall,
}

struct Writer {
    shared: Arc<Shared>,
    attempt: Arc<Attempt>,
    tx: BodySender,
    next: u32,
}

impl Writer {
    async fn run(mut self, mut progress: watch::Receiver<Progress>) {
        let down = self.shared.down.clone();
        let tx = self.tx.clone();
        tokio::select! {
            () = self.write_all(&mut progress) => {}
            () = down.cancelled() => tx.abort("the engine crashed").await,
            () = tx.closed() => {}
        }
    }

    async fn write_all(&mut self, progress: &mut watch::Receiver<Progress>) {
        loop {
            let state = *progress.borrow_and_update();
            let available = match state {
                Progress::Running(pieces) | Progress::Finished(pieces) => pieces,
                Progress::Gone => return self.tx.abort("the attempt is gone").await,
            };
            while self.next < available {
                if self.shared.faults.lock().frozen {
                    return std::future::pending().await;
                }
                match self.write_piece().await {
                    NextStep::Continue => {}
                    NextStep::Abort => return self.tx.abort("broken off").await,
                    NextStep::Stall => return std::future::pending().await,
                }
            }
            if let Progress::Finished(count) = state {
                let finish = if count == self.attempt.request.max_tokens {
                    FinishReason::Length
                } else {
                    FinishReason::Stop
                };
                let attempt = self.attempt.request.attempt;
                self.send(&Item::End(End { attempt, count, finish })).await;
                return self.tx.clone().finish();
            }
            if progress.changed().await.is_err() {
                return;
            }
        }
    }

    async fn write_piece(&mut self) -> NextStep {
        let seq = self.next;
        self.next += 1;
        let faults = self.shared.faults.lock().clone();
        let attempt = self.attempt.request.attempt;
        let text = text_input(&self.attempt.request).piece(seq).into();
        let piece = Item::Piece(Piece { attempt, seq, text });
        if faults.foreign_pieces {
            let other = Piece { attempt: attempt ^ 1, seq, text: "foreign ".into() };
            self.send(&Item::Piece(other)).await;
        }
        if faults.skip_pieces && seq % 3 == 2 {
            self.shared.faults.lock().skip_pieces = false;
            return NextStep::Continue;
        }
        self.send(&piece).await;
        if faults.double_pieces {
            self.send(&piece).await;
        }
        self.next_after(seq + 1)
    }

    fn next_after(&self, sent: u32) -> NextStep {
        let mut faults = self.shared.faults.lock();
        if faults.breaks == 0 {
            return NextStep::Continue;
        }
        if faults.break_after_pieces == Some(sent) {
            faults.breaks -= 1;
            return NextStep::Abort;
        }
        if faults.silent_after_pieces == Some(sent) {
            faults.breaks -= 1;
            return NextStep::Stall;
        }
        NextStep::Continue
    }

    async fn send(&self, item: &Item) {
        let text = serde_json::to_string(item).expect("items are serializable");
        // A closed reader ends the select in `run`.
        let _ = self.tx.send(sse::event(&text)).await;
    }
}
