//! Answers generation requests, as a stream or as one document.
//!
//! The response of a streamed answer is not started before the first piece, so that an earlier
//! failure gets its own status code. Each event has the number of its piece as `id`; comments in
//! the stream carry the resume token. A caller whose connection broke sends the same body again, to
//! any process, with the headers `Samphire-Resume: <token>` and `Last-Event-ID: <number of the last
//! piece that it received>`.

use std::sync::Arc;

use base::prelude::*;
use http::HeaderValue;
use http::StatusCode;
use relay::prelude::*;
use serde::Serialize;
use spec::prelude::Catalog;
use tokio::sync::mpsc;
use web::body;
use web::prelude::*;

use crate::entry::State;
use crate::entry::claim;
use crate::entry::claim::Claimed;
use crate::entry::problem::Problem;
use crate::entry::request;
use crate::entry::request::GenerationRequest;
use crate::entry::request::Shape;
use crate::entry::token::ResumePoint;
use crate::exec::Output;
use crate::exec::RecordedAnswer;
use crate::exec::RequestExecutor;
use crate::exec::RequestStart;

/// Capacity of the channel from the executor to the writer, in outputs.
const OUTPUT_DEPTH: usize = 64;
/// Header with the time for which the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "samphire-deadline-ms";
/// Header with a resume token.
pub(super) const RESUME_HEADER: &str = "samphire-resume";
/// Header with the number of the last piece that the caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";
/// Header with the request's id, by which its events are found in the timeline.
const REQUEST_HEADER: &str = "samphire-request";

/// Answers a generation request.
///
/// # Errors
///
/// [`Problem`] if the request is not valid, or if it failed before the response was started.
pub async fn text(
    state: &Arc<State>,
    catalog: &Catalog,
    workspace: WorkspaceId,
    shape: Shape,
    req: Request,
) -> Result<Response, Problem> {
    let timeout = timeout(state, &req)?;
    let key = claim::key_of(&workspace, &req)?;
    let (method, path) = (req.method.clone(), req.path.clone());
    let token = req.header(RESUME_HEADER).map(str::to_owned);
    let first_missing_piece = first_missing_piece(&req)?;
    let bytes =
        body::read(req.body, state.settings.caller.max_body_bytes).await.map_err(|error| {
            match error {
                BodyError::TooLarge { .. } => Problem::too_large(error.to_string()),
                BodyError::Incomplete(_) => Problem::bad_request(None, error.to_string()),
            }
        })?;
    let mut generation_request = request::read(catalog, &workspace, shape, &bytes)?;
    let resume = match token {
        None => None,
        Some(token) => Some((
            resume_point(state, &workspace, &mut generation_request, &token)?,
            first_missing_piece,
        )),
    };
    let request = resume.as_ref().map_or_else(random_id, |(point, _)| point.request);
    let writer = Writer::new(request, &generation_request);
    let stream = generation_request.stream;
    let (tx, rx) = mpsc::channel(OUTPUT_DEPTH);
    let idempotent = key.is_none();
    // A resumed request continues the dispatch for which its key was already claimed.
    let claimed = match key.filter(|_| resume.is_none()) {
        None => None,
        Some(key) => {
            let fingerprint = once::key::fingerprint(method.as_str(), &path, &bytes);
            Some(claim::claim(state, key, fingerprint).await?)
        }
    };
    let replayed = match claimed {
        Some(Claimed::Replay(answer)) => {
            tokio::spawn(replay(answer, tx));
            true
        }
        None | Some(Claimed::Granted(_)) => {
            let permit = match claimed {
                Some(Claimed::Granted(permit)) => Some(permit),
                _ => None,
            };
            let start = RequestStart {
                request,
                workspace,
                generation_request,
                idempotent,
                permit,
                timeout,
                resume,
            };
            tokio::spawn(RequestExecutor::new(state.clone(), start, tx).run());
            false
        }
    };
    let mut response = if stream { writer.stream(rx).await? } else { writer.collect(rx).await? };
    let value = HeaderValue::from_str(&format!("{request:016x}"));
    response.headers_mut().insert(REQUEST_HEADER, value.expect("digits are valid"));
    if replayed {
        let value = HeaderValue::from_static("true");
        response.headers_mut().insert(claim::REPLAYED_HEADER, value);
    }
    Ok(response)
}

/// Sends a recorded answer to the writer.
async fn replay(answer: Arc<[u8]>, tx: mpsc::Sender<Output>) {
    let Ok(recorded) = serde_json::from_slice::<RecordedAnswer>(&answer) else { return };
    for output in recorded.outputs() {
        if tx.send(output).await.is_err() {
            return;
        }
    }
}

fn timeout(state: &State, req: &Request) -> Result<Duration, Problem> {
    let max_timeout = state.settings.requests.default_deadline;
    match req.header(DEADLINE_HEADER) {
        None => Ok(max_timeout),
        Some(text) => match text.parse() {
            Ok(millis) => Ok(Duration::from_millis(millis).min(max_timeout)),
            Err(_) => {
                let problem = format!(
                    "header \"{DEADLINE_HEADER}\": found \"{text}\"; allowed is an integer"
                );
                Err(Problem::bad_request(Some(DEADLINE_HEADER), problem))
            }
        },
    }
}

/// Returns the number of the first piece that the caller has not received.
fn first_missing_piece(req: &Request) -> Result<u32, Problem> {
    let Some(text) = req.header(LAST_EVENT_HEADER) else { return Ok(0) };
    match text.parse::<u32>() {
        Ok(last) => Ok(last.saturating_add(1)),
        Err(_) => {
            let problem =
                format!("header \"{LAST_EVENT_HEADER}\": found \"{text}\"; allowed is an integer");
            Err(Problem::bad_request(Some(LAST_EVENT_HEADER), problem))
        }
    }
}

/// Checks that a resume token belongs to the request, and sets the request's version and seed to
/// those of the attempt.
fn resume_point(
    state: &State,
    workspace: &str,
    generation_request: &mut GenerationRequest,
    token: &str,
) -> Result<ResumePoint, Problem> {
    let point = state.signer.check(token);
    let matches = |point: &ResumePoint| {
        &*point.workspace == workspace && point.fingerprint == generation_request.fingerprint
    };
    let Some(point) = point.filter(matches) else {
        return Err(Problem::forbidden("the resume token does not belong to this request"));
    };
    generation_request.access.version = point.version.clone();
    generation_request.seed = point.seed;
    Ok(point)
}

#[derive(Serialize)]
struct Document<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// Writes one answer.
struct Writer {
    id: String,
    created: u64,
    alias: Box<str>,
    shape: Shape,
}

impl Writer {
    fn new(request: RequestId, generation_request: &GenerationRequest) -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let prefix = match generation_request.shape {
            Shape::Chat => "chatcmpl",
            Shape::Completion => "cmpl",
        };
        Writer {
            id: format!("{prefix}-{request:016x}"),
            created: since.as_secs(),
            alias: generation_request.alias.clone(),
            shape: generation_request.shape,
        }
    }

    /// Collects the complete answer into one document.
    async fn collect(self, mut rx: mpsc::Receiver<Output>) -> Result<Response, Problem> {
        let mut text = String::new();
        loop {
            match rx.recv().await {
                Some(Output::Token(_)) => {}
                Some(Output::Piece { text: piece, .. }) => text.push_str(&piece),
                Some(Output::End(outcome)) => return self.complete_answer(&text, &outcome),
                None => return Err(missing_outcome()),
            }
        }
    }

    fn complete_answer(&self, text: &str, outcome: &Outcome) -> Result<Response, Problem> {
        if let Some(problem) = Problem::of_outcome(outcome) {
            return Err(problem);
        }
        let Outcome::Done { finish, pieces } = outcome else { return Err(missing_outcome()) };
        let message = Message { role: Some("assistant"), content: Some(text) };
        let (message, text) = match self.shape {
            Shape::Chat => (Some(message), None),
            Shape::Completion => (None, Some(text)),
        };
        let finish_reason = Some(finish.name());
        let choice = Choice { index: 0, delta: None, message, text, finish_reason };
        let object = match self.shape {
            Shape::Chat => "chat.completion",
            Shape::Completion => "text_completion",
        };
        let usage = Some(Usage { completion_tokens: *pieces });
        Ok(reply::json(StatusCode::OK, &self.document(object, choice, usage)))
    }

    /// Waits for the first piece, then starts the streamed answer with it.
    async fn stream(self, mut rx: mpsc::Receiver<Output>) -> Result<Response, Problem> {
        let mut first = Vec::new();
        loop {
            let Some(output) = rx.recv().await else { return Err(missing_outcome()) };
            if let Output::End(outcome) = &output
                && let Some(problem) = Problem::of_outcome(outcome)
            {
                return Err(problem);
            }
            let is_token = matches!(output, Output::Token(_));
            first.push(output);
            if !is_token {
                break;
            }
        }
        let (tx, stream) = body::stream(());
        tokio::spawn(self.write(first, rx, tx));
        let mut response = reply::with_type(StatusCode::OK, "text/event-stream", stream);
        let no_cache = HeaderValue::from_static("no-cache");
        response.headers_mut().insert(http::header::CACHE_CONTROL, no_cache);
        Ok(response)
    }

    async fn write(self, first: Vec<Output>, mut rx: mpsc::Receiver<Output>, tx: BodySender) {
        for output in first {
            if !self.write_one(output, &tx).await {
                return;
            }
        }
        while let Some(output) = rx.recv().await {
            if !self.write_one(output, &tx).await {
                return;
            }
        }
    }

    /// Writes one output. Returns `false` after the last one, or if the caller has disconnected.
    async fn write_one(&self, output: Output, tx: &BodySender) -> bool {
        match output {
            Output::Token(token) => tx.send(format!(": resume {token}\n\n")).await,
            Output::Piece { seq, text } => {
                let role = (seq == 0).then_some("assistant");
                let chunk = self.chunk(Message { role, content: Some(&text) }, None);
                tx.send(format!("id: {seq}\ndata: {chunk}\n\n")).await
            }
            Output::End(outcome) => {
                if tx.send(self.end(&outcome)).await {
                    tx.clone().finish();
                }
                false
            }
        }
    }

    fn end(&self, outcome: &Outcome) -> String {
        match (outcome, Problem::of_outcome(outcome)) {
            (Outcome::Done { finish, .. }, _) => {
                let empty = Message { role: None, content: None };
                let chunk = self.chunk(empty, Some(finish.name()));
                format!("data: {chunk}\n\ndata: [DONE]\n\n")
            }
            (_, Some(problem)) => format!("event: error\ndata: {}\n\n", problem.json()),
            (_, None) => String::new(),
        }
    }

    fn chunk(&self, delta: Message<'_>, finish_reason: Option<&str>) -> String {
        let object = match self.shape {
            Shape::Chat => "chat.completion.chunk",
            Shape::Completion => "text_completion",
        };
        let (delta, text) = match self.shape {
            Shape::Chat => (Some(delta), None),
            Shape::Completion => (None, Some(delta.content.unwrap_or(""))),
        };
        let choice = Choice { index: 0, delta, message: None, text, finish_reason };
        let document = self.document(object, choice, None);
        serde_json::to_string(&document).expect("the chunk has a JSON form")
    }

    fn document<'a>(
        &'a self,
        object: &'a str,
        choice: Choice<'a>,
        usage: Option<Usage>,
    ) -> Document<'a> {
        Document {
            id: &self.id,
            object,
            created: self.created,
            model: &self.alias,
            choices: [choice],
            usage,
        }
    }
}

/// Returns the problem of a request whose task ended without an outcome, for instance by a panic.
fn missing_outcome() -> Problem {
    let failure = Failure::Broken;
    let problem = Problem::of_outcome(&Outcome::Unknown { failure });
    problem.expect("an unknown outcome is a problem")
}
