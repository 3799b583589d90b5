//! Executes one request, from acceptance to its outcome.
//!
//! The decisions are made by the state machine of [`relay::request`]. The executor carries out its
//! actions: it asks routing for a group, calls engines, watches the deadline and the progress of
//! streams, and passes pieces to the writer of the answer. Whatever it waits for, the wait ends at
//! the deadline and when the caller disconnects.

mod attempt;
mod stream;

use std::collections::VecDeque;
use std::sync::Arc;

use base::prelude::*;
use engine::prelude::*;
use http::Method;
use http::StatusCode;
use once::segment::RequestOutcome;
use relay::prelude::*;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use web::client::Call;
use web::prelude::Client;
use web::prelude::ClientError;

use crate::entry::State;
use crate::entry::request::GenerationRequest;
use crate::entry::token::ResumePoint;
use crate::exec::attempt::Attempt;
use crate::exec::stream::ItemStream;
use crate::exec::stream::refusal;
use crate::once::Permit;
use crate::route::AttemptOutcome;
use crate::route::AttemptSpec;
use crate::route::Picked;
use crate::route::RouteMessage;
use crate::route::Target;

/// Timeout of a cancellation call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// An output of the executor, for the writer of the answer.
#[derive(Clone, Debug)]
pub enum Output {
    /// A new attempt was started; from now on the request is resumed with this token.
    Token(String),
    /// The next piece of text.
    Piece {
        /// Its number.
        seq: u32,
        /// Its text.
        text: Box<str>,
    },
    /// The request has ended.
    End(Outcome),
}

/// A complete answer, as it is cached for resubmissions.
#[wire]
pub struct RecordedAnswer {
    /// Why the text ends.
    pub finish: FinishReason,
    /// The pieces.
    pub pieces: Vec<Box<str>>,
}

impl RecordedAnswer {
    /// Returns the outputs by which the answer is written again.
    pub fn outputs(self) -> Vec<Output> {
        let RecordedAnswer { finish, pieces } = self;
        let numbered = (0..).zip(pieces);
        let mut outputs: Vec<Output> =
            numbered.map(|(seq, text)| Output::Piece { seq, text }).collect();
        let pieces = u32::try_from(outputs.len()).unwrap_or(u32::MAX);
        outputs.push(Output::End(Outcome::Done { finish, pieces }));
        outputs
    }
}

/// Executes one request.
pub struct RequestExecutor {
    state: Arc<State>,
    /// The request's id.
    request: RequestId,
    workspace: WorkspaceId,
    generation_request: GenerationRequest,
    idempotent: bool,
    permit: Option<Permit>,
    /// The pieces delivered so far, if the answer is to be cached for resubmissions.
    recorded_pieces: Vec<Box<str>>,
    deadline: Instant,
    accepted: Instant,
    machine: RequestMachine,
    tx: mpsc::Sender<Output>,
    target: Option<Target>,
    stream: Option<ItemStream>,
    attempt: Option<Attempt>,
    /// Whether a connection of this request has broken.
    had_broken_connection: bool,
    /// Number of attempts that were sent.
    attempts: u32,
}

/// The parameters of a request to be executed.
pub struct RequestStart {
    /// The request's id.
    pub request: RequestId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The model, the prompt and the sampling parameters.
    pub generation_request: GenerationRequest,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The permit to dispatch, if the request's key was claimed.
    pub permit: Option<Permit>,
    /// Time for which the caller waits.
    pub timeout: Duration,
    /// For a resumed request: the attempt to resume, and the number of pieces that the caller has.
    pub resume: Option<(ResumePoint, u32)>,
}

impl RequestExecutor {
    /// Returns an executor that sends its outputs to `tx`.
    pub fn new(state: Arc<State>, start: RequestStart, tx: mpsc::Sender<Output>) -> Self {
        let accepted = Instant::now();
        let deadline = accepted + start.timeout;
        let request = RequestParams {
            idempotent: start.idempotent,
            deadline: state.cx.now() + start.timeout,
        };
        let (machine, target, attempt) = match start.resume {
            None => (RequestMachine::new(request), None, None),
            Some((point, delivered)) => {
                let machine =
                    RequestMachine::resume(request, point.group.clone(), point.attempt, delivered);
                let attempt = Attempt::begin(point.attempt, point.group.clone());
                let target = Target { group: point.group, generation: 0, leader: point.leader };
                (machine, Some(target), Some(attempt))
            }
        };
        RequestExecutor {
            request: start.request,
            workspace: start.workspace,
            generation_request: start.generation_request,
            idempotent: start.idempotent,
            permit: start.permit,
            recorded_pieces: Vec::new(),
            deadline,
            accepted,
            machine,
            tx,
            target,
            stream: None,
            attempt,
            had_broken_connection: false,
            attempts: 0,
            state,
        }
    }

    /// Runs the request to its end.
    pub async fn run(mut self) {
        self.record("accepted", String::new());
        let mut event = RequestEvent::Accepted;
        loop {
            let now = self.state.cx.now();
            self.had_broken_connection |= event == RequestEvent::Broken;
            let mut actions = VecDeque::from(self.machine.decide(event, now));
            let mut next = None;
            while let Some(action) = actions.pop_front() {
                if let Some(event) = self.carry_out(action).await {
                    debug_assert!(
                        actions.is_empty(),
                        "an action that yields an event is the last one"
                    );
                    next = Some(event);
                }
            }
            if self.machine.is_finished() {
                return;
            }
            event = match next {
                Some(event) => event,
                None => self.next_item().await,
            };
        }
    }

    async fn carry_out(&mut self, action: Action) -> Option<RequestEvent> {
        match action {
            Action::Pick { exclude } => {
                self.attempt_ended(AttemptOutcome::Broken);
                Some(self.pick(exclude).await)
            }
            Action::PickAfterDelay => {
                self.attempt_ended(AttemptOutcome::Broken);
                match self.unless_abandoned(tokio::time::sleep(NO_GROUP_RETRY_DELAY)).await {
                    Ok(()) => Some(self.pick(Vec::new()).await),
                    Err(event) => Some(event),
                }
            }
            Action::Send { attempt, group, skip } => Some(self.send(attempt, group, skip).await?),
            Action::Resume { attempt, from } => Some(self.resume(attempt, from).await?),
            Action::Cancel { attempt } => {
                self.cancel(attempt);
                None
            }
            Action::Deliver { seq, text } => self.deliver(seq, text).await,
            Action::ReportCrash { .. } => {
                self.attempt_ended(AttemptOutcome::Crashed);
                None
            }
            Action::Finish(outcome) => {
                self.finish(outcome).await;
                None
            }
        }
    }

    fn attempt_spec(&self, exclude: Vec<GroupId>) -> AttemptSpec {
        AttemptSpec {
            request: self.request,
            workspace: self.workspace.clone(),
            model: self.generation_request.access.model.clone(),
            version: self.generation_request.access.version.clone(),
            adapter: self.generation_request.access.adapter.clone(),
            prompt: self.generation_request.prompt.clone(),
            fingerprint: self.generation_request.fingerprint,
            priority: self.generation_request.priority,
            max_tokens: self.generation_request.max_tokens,
            deadline: self.state.cx.now() + (self.deadline - Instant::now()),
            attempts: self.attempts,
            exclude,
        }
    }

    async fn pick(&mut self, exclude: Vec<GroupId>) -> RequestEvent {
        let state = self.state.clone();
        let spec = self.attempt_spec(exclude);
        let picked = self.unless_abandoned(pick(&state, spec)).await;
        self.picked(picked)
    }

    fn picked(&mut self, picked: Result<Picked, RequestEvent>) -> RequestEvent {
        match picked {
            Err(event) => event,
            Ok(Picked::Refused { failure, retry_after }) => {
                RequestEvent::NotPicked { failure, retry_after }
            }
            Ok(Picked::Group(target)) => {
                let group = target.group.clone();
                self.target = Some(target);
                RequestEvent::Picked { group, attempt: random_id() }
            }
        }
    }

    /// Sends a new attempt. Returns `None` if its stream has begun.
    async fn send(
        &mut self,
        attempt: AttemptId,
        group: GroupId,
        skip: u32,
    ) -> Option<RequestEvent> {
        let target = self.target.clone()?;
        self.attempt = Some(Attempt::begin(attempt, group.clone()));
        self.attempts += 1;
        self.record_attempt(attempt, &group, "sent");
        let token = self.state.signer.sign(&self.resume_point(attempt, &target));
        if self.tx.send(Output::Token(token)).await.is_err() {
            return Some(RequestEvent::CallerGone);
        }
        let generate = Generate {
            attempt,
            group,
            generation: target.generation,
            model: self.generation_request.access.model.clone(),
            version: self.generation_request.access.version.clone(),
            adapter: self.generation_request.access.adapter.clone(),
            prompt: (*self.generation_request.prompt).into(),
            max_tokens: self.generation_request.max_tokens,
            seed: self.generation_request.seed,
            priority: self.generation_request.priority,
            options: self.generation_request.options.clone(),
            skip,
        };
        // A pooled connection may be stale, and a call over a stale connection has an unknown
        // outcome. After one connection was stale, the others may be too.
        let state = self.state.clone();
        let may_pool = self.idempotent && !self.had_broken_connection;
        let client = if may_pool { &state.pooled } else { &state.fresh };
        let event = self.open(client, target, "/v1/generate", &generate).await;
        match event {
            Some(RequestEvent::NotSent) => self.attempt_ended(AttemptOutcome::NotSent),
            Some(RequestEvent::Refused(_)) => self.attempt_ended(AttemptOutcome::Refused),
            _ => {}
        }
        event
    }

    async fn resume(&mut self, attempt: AttemptId, from: u32) -> Option<RequestEvent> {
        let target = self.target.clone()?;
        self.record_attempt(attempt, &target.group.clone(), "resumed");
        let state = self.state.clone();
        self.open(&state.fresh, target, "/v1/resume", &Resume { attempt, from }).await
    }

    fn resume_point(&self, attempt: AttemptId, target: &Target) -> ResumePoint {
        ResumePoint {
            workspace: self.workspace.clone(),
            fingerprint: self.generation_request.fingerprint,
            request: self.request,
            attempt,
            group: target.group.clone(),
            leader: target.leader,
            version: self.generation_request.access.version.clone(),
            seed: self.generation_request.seed,
        }
    }

    /// Sends `message` and opens the stream of the response. Returns `None` if the stream has
    /// begun.
    async fn open<T: Serialize>(
        &mut self,
        client: &Client,
        target: Target,
        path: &str,
        message: &T,
    ) -> Option<RequestEvent> {
        self.stream = None;
        let body = serde_json::to_vec(message).expect("messages have a JSON form").into();
        let call = Call { body, ..Call::new(Method::POST, path) };
        let timeout = self.state.settings.requests.admit_timeout;
        let sent = client.send(target.leader, call, timeout);
        let response = match self.unless_abandoned(sent).await {
            Err(event) => return Some(event),
            Ok(Err(ClientError::NotSent { .. })) => return Some(RequestEvent::NotSent),
            Ok(Err(_)) => return Some(RequestEvent::Broken),
            Ok(Ok(response)) => response,
        };
        match response.status() {
            StatusCode::OK => {
                self.stream = Some(ItemStream::new(response));
                None
            }
            StatusCode::CONFLICT => Some(refusal(response).await),
            status => {
                log::warn!("group `{}` answered {path} with status {status}", target.group);
                Some(RequestEvent::Broken)
            }
        }
    }

    async fn next_item(&mut self) -> RequestEvent {
        let requests = &self.state.settings.requests;
        let has_first_token = self.attempt.as_ref().is_some_and(|attempt| attempt.first.is_some());
        let timeout =
            if has_first_token { requests.progress_timeout } else { requests.first_token_timeout };
        let Some(mut stream) = self.stream.take() else { return RequestEvent::Broken };
        let next = self.unless_abandoned(tokio::time::timeout(timeout, stream.next())).await;
        match next {
            Err(event) => event,
            Ok(Ok(Some(item))) => {
                self.stream = Some(stream);
                RequestEvent::Item(item)
            }
            // A stream that has ended, broken or stalled is not read again.
            Ok(Ok(None)) | Ok(Err(_)) => RequestEvent::Broken,
        }
    }

    async fn deliver(&mut self, seq: u32, text: Box<str>) -> Option<RequestEvent> {
        if let Some(attempt) = &mut self.attempt {
            attempt.record_piece();
        }
        if seq == 0 {
            let seconds = self.accepted.elapsed().as_secs_f64();
            let metric = &self.state.metrics.first_token_seconds;
            metric.with_label_values(&[&*self.workspace]).observe(seconds);
            self.record("streaming", String::new());
        }
        if self.permit.is_some() {
            self.recorded_pieces.push(text.clone());
        }
        match self.unless_abandoned(self.tx.send(Output::Piece { seq, text })).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(RequestEvent::CallerGone),
            Err(event) => Some(event),
        }
    }

    async fn finish(&mut self, outcome: Outcome) {
        let end = match outcome {
            Outcome::Done { .. } => AttemptOutcome::Done,
            _ => AttemptOutcome::Broken,
        };
        self.attempt_ended(end);
        self.notify_routing(RouteMessage::RequestEnded(self.request));
        self.stream = None;
        self.state.metrics.requests.with_label_values(&[outcome.name()]).inc();
        let pieces = self.state.metrics.pieces.with_label_values(&[&*self.workspace]);
        pieces.inc_by(u64::from(self.machine.delivered()));
        let detail = match outcome.failure() {
            Some(failure) => format!("{}: {failure}", outcome.name()),
            None => outcome.name().to_owned(),
        };
        self.record("final", detail);
        self.report_claim_outcome(&outcome);
        // The writer is gone if the caller has disconnected.
        let _ = self.tx.send(Output::End(outcome)).await;
    }

    /// Reports the outcome of a request whose key was claimed.
    fn report_claim_outcome(&mut self, outcome: &Outcome) {
        let Some(permit) = self.permit.take() else { return };
        match outcome {
            Outcome::Done { finish, .. } => {
                let pieces = std::mem::take(&mut self.recorded_pieces);
                let recorded = RecordedAnswer { finish: *finish, pieces };
                let answer = serde_json::to_vec(&recorded).expect("the answer has a JSON form");
                permit.done(answer.into());
            }
            Outcome::NotRun { .. } => permit.refused(),
            Outcome::Failed { .. } => permit.ended(RequestOutcome::Failed),
            Outcome::Unknown { .. } | Outcome::Abandoned => permit.ended(RequestOutcome::Unknown),
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.stream = None;
        let Some(target) = self.target.clone() else { return };
        let client = self.state.pooled.clone();
        tokio::spawn(async move {
            let body = serde_json::to_vec(&Cancel { attempt }).expect("it has a JSON form").into();
            let call = Call { body, ..Call::new(Method::POST, "/v1/cancel") };
            if let Err(error) = client.send(target.leader, call, CANCEL_TIMEOUT).await {
                log::debug!("attempt {attempt} was not cancelled: {error}");
            }
        });
    }

    /// Reports the outcome of the attempt in progress, if there is one, to routing, the metrics and
    /// the timeline.
    fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempt.take() else { return };
        let name = match outcome {
            AttemptOutcome::Done => "done",
            AttemptOutcome::NotSent => "not_sent",
            AttemptOutcome::Refused => "refused",
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::Crashed => "crashed",
        };
        self.state.metrics.attempts.with_label_values(&[name]).inc();
        self.record_attempt(attempt.id, &attempt.group, name);
        let report = attempt.report(self.request, self.generation_request.fingerprint, outcome);
        self.notify_routing(RouteMessage::AttemptEnded(report));
    }

    fn notify_routing(&self, message: RouteMessage) {
        if self.state.route.try_send(message).is_err() {
            log::warn!(
                "routing's mailbox is full; the end of an attempt or request was not reported"
            );
        }
    }

    /// Waits for `work`. If the caller disconnects or the deadline passes first, returns that
    /// event.
    async fn unless_abandoned<T>(&self, work: impl Future<Output = T>) -> Result<T, RequestEvent> {
        tokio::select! {
            biased;
            done = work => Ok(done),
            () = self.tx.closed() => Err(RequestEvent::CallerGone),
            () = tokio::time::sleep_until(self.deadline) => Err(RequestEvent::DeadlinePassed),
        }
    }

    fn record(&self, stage: &str, detail: String) {
        self.state.cx.record(Event::Request {
            request: self.request,
            workspace: self.workspace.clone(),
            stage: stage.into(),
            detail: detail.into(),
        });
    }

    fn record_attempt(&self, attempt: AttemptId, group: &GroupId, outcome: &str) {
        self.state.cx.record(Event::Attempt {
            request: self.request,
            attempt,
            group: group.clone(),
            outcome: outcome.into(),
        });
    }
}

async fn pick(state: &State, spec: AttemptSpec) -> Picked {
    let (tx, rx) = oneshot::channel();
    let message = RouteMessage::Pick { spec: Box::new(spec), reply: tx };
    let stopped = Picked::Refused { failure: Failure::NoGroup, retry_after: None };
    if state.route.send(message).await.is_err() {
        return stopped;
    }
    rx.await.unwrap_or(stopped)
}
