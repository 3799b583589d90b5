//! A caller that checks its answers byte for byte.

use std::net::SocketAddr;

use base::prelude::*;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde_json::Value;
use tokio::time::Instant;
use web::body;
use web::client::Call;
use web::prelude::*;
use web::sse;

use crate::sample;
use crate::text::TextInput;

/// One request for text.
#[data]
pub struct TextCall {
    /// The bearer key.
    pub key: Box<str>,
    /// The prompt: the content of a single user message.
    pub prompt: Box<str>,
    /// Most tokens.
    pub max_tokens: u32,
    /// Seed.
    pub seed: u64,
    /// Priority.
    pub priority: u8,
    /// Whether to stream.
    pub stream: bool,
    /// Longest wait.
    pub timeout: Duration,
}

impl TextCall {
    /// Returns a small streamed call with the key of workspace `club`.
    pub fn small(prompt: &str, seed: u64) -> Self {
        TextCall {
            key: sample::CLUB_KEY.into(),
            prompt: prompt.into(),
            max_tokens: 16,
            seed,
            priority: 100,
            stream: true,
            timeout: Duration::from_secs(60),
        }
    }

    /// Returns the text that the answer must have.
    pub fn expected(&self) -> String {
        let adapter = if &*self.key == sample::HARBOUR_KEY { sample::ADAPTER } else { "" };
        let prompt = format!("user: {}\n", self.prompt);
        let subject = TextInput {
            version: sample::VERSION,
            adapter,
            prompt: &prompt,
            seed: self.seed,
            max_tokens: self.max_tokens,
        };
        subject.full_text()
    }

    /// Returns the body as JSON text.
    pub fn body(&self) -> String {
        serde_json::json!({
            "model": sample::ALIAS,
            "messages": [{"role": "user", "content": self.prompt}],
            "max_tokens": self.max_tokens,
            "seed": self.seed,
            "priority": self.priority,
            "stream": self.stream,
        })
        .to_string()
    }
}

/// What a caller got.
#[data]
#[derive(Default)]
pub struct Answer {
    /// The status; 0 if there was no answer at all.
    pub status: u16,
    /// The text that arrived.
    pub text: String,
    /// Whether the answer's regular end arrived.
    pub ended: bool,
    /// The error, if one was told.
    pub error: Option<Box<str>>,
    /// Whether the system said that the request was not run.
    pub not_run: bool,
    /// When to come back, if told.
    pub retry_after: Option<Duration>,
    /// The last resume token that was told.
    pub token: Option<Box<str>>,
    /// Number of the last piece, if any arrived.
    pub last_piece: Option<u32>,
    /// Time to the first piece.
    pub first_piece: Option<Duration>,
    /// Times between pieces.
    pub gaps: Vec<Duration>,
}

/// How an answer compares with what it must be.
#[key]
pub enum Verdict {
    /// Whole and right.
    Right,
    /// Refused or failed with a clear error, and what arrived before is right.
    Told,
    /// Ended regularly with less than the whole text.
    Truncated,
    /// Has text that the request does not produce.
    Foreign,
    /// Broke off without an error.
    Lost,
}

impl Answer {
    /// Compares the answer with what `call` must produce.
    pub fn verdict(&self, call: &TextCall) -> Verdict {
        let expected = call.expected();
        if !expected.starts_with(&self.text) {
            return Verdict::Foreign;
        }
        match (self.ended, &self.error) {
            (true, _) if self.text == expected => Verdict::Right,
            (true, _) => Verdict::Truncated,
            (false, Some(_)) => Verdict::Told,
            (false, None) => Verdict::Lost,
        }
    }
}

/// Sends `call` to the daemon at `address` and reads the answer to its end.
pub async fn call(client: &Client, address: SocketAddr, call: &TextCall) -> Answer {
    call_with(client, address, call, None, |_| false).await
}

/// Sends `call`, resuming with `resume` (token and number of the last piece) if given, and reads
/// the answer until its end or until `enough` says so after a piece.
pub async fn call_with(
    client: &Client,
    address: SocketAddr,
    call: &TextCall,
    resume: Option<(&str, u32)>,
    enough: impl Fn(&Answer) -> bool,
) -> Answer {
    let mut request = Call { body: call.body().into(), ..text_call() };
    let bearer = format!("Bearer {}", call.key);
    let bearer = HeaderValue::from_str(&bearer).expect("the key is printable");
    request.headers.insert(http::header::AUTHORIZATION, bearer);
    if let Some((token, last)) = resume {
        let token = HeaderValue::from_str(token).expect("the token is printable");
        request.headers.insert("samphire-resume", token);
        request.headers.insert("last-event-id", HeaderValue::from(last));
    }
    let sent = Instant::now();
    let mut answer = Answer::default();
    let read = async {
        match client.send(address, request, call.timeout).await {
            Ok(response) => read_answer(response, call.stream, sent, &mut answer, enough).await,
            Err(error) => log::debug!("{error}"),
        }
    };
    if tokio::time::timeout(call.timeout, read).await.is_err() {
        log::debug!("no whole answer within {:?}", call.timeout);
    }
    answer
}

fn text_call() -> Call<'static> {
    Call::new(Method::POST, "/v1/chat/completions")
}

async fn read_answer(
    response: Response,
    stream: bool,
    sent: Instant,
    answer: &mut Answer,
    enough: impl Fn(&Answer) -> bool,
) {
    answer.status = response.status().as_u16();
    let seconds = response.headers().get(http::header::RETRY_AFTER);
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
    answer.retry_after = seconds.map(Duration::from_secs);
    if response.status() == StatusCode::OK && stream {
        read_stream(response, sent, answer, enough).await;
        return;
    }
    let Ok(bytes) = body::read(response.into_body(), 64 << 20).await else { return };
    let Ok(value) = serde_json::from_slice::<Value>(&bytes) else { return };
    record_error(&value, answer);
    if let Some(text) = value["choices"][0]["message"]["content"].as_str() {
        answer.text = text.to_owned();
        answer.ended = true;
        answer.first_piece = Some(sent.elapsed());
    }
}

fn record_error(value: &Value, answer: &mut Answer) {
    if let Some(message) = value["error"]["message"].as_str() {
        answer.error = Some(message.into());
        answer.not_run = value["error"]["not_run"] == true;
    }
}

async fn read_stream(
    mut response: Response,
    sent: Instant,
    answer: &mut Answer,
    enough: impl Fn(&Answer) -> bool,
) {
    let mut reader = sse::Reader::default();
    let mut last = sent;
    while let Some(Ok(chunk)) = body::next_chunk(response.body_mut()).await {
        reader.push(&chunk);
        while let Some(line) = reader.next_line() {
            let now = Instant::now();
            if record_line(line, now - sent, now - last, answer) {
                last = now;
                if enough(answer) {
                    return;
                }
            }
        }
    }
}

/// Notes one line of a stream; returns whether it was a piece.
fn record_line(line: sse::Line, since: Duration, gap: Duration, answer: &mut Answer) -> bool {
    let data = match line {
        sse::Line::Comment(comment) => {
            if let Some(token) = comment.strip_prefix("resume ") {
                answer.token = Some(token.into());
            }
            return false;
        }
        sse::Line::Data(data) => data,
    };
    if &*data == "[DONE]" {
        answer.ended = true;
        return false;
    }
    let Ok(value) = serde_json::from_str::<Value>(&data) else { return false };
    record_error(&value, answer);
    let Some(text) = value["choices"][0]["delta"]["content"].as_str() else { return false };
    answer.text.push_str(text);
    answer.last_piece = Some(answer.last_piece.map_or(0, |last| last + 1));
    match answer.first_piece {
        None => answer.first_piece = Some(since),
        Some(_) => answer.gaps.push(gap),
    }
    true
}
