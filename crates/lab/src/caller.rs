//! A client of the daemon that compares each answer byte for byte with the expected text.

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

/// One chat completion request.
#[data]
pub struct TextCall {
    /// The bearer key, which determines the workspace.
    pub key: Box<str>,
    /// The prompt: the content of a single user message.
    pub prompt: Box<str>,
    /// Maximum number of tokens.
    pub max_tokens: u32,
    /// Seed of the generation.
    pub seed: u64,
    /// Priority; higher ones go first.
    pub priority: u8,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Timeout of the whole call.
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

    /// Returns the expected text of the answer.
    pub fn expected(&self) -> String {
        let adapter = if &*self.key == sample::HARBOUR_KEY { sample::ADAPTER } else { "" };
        let prompt = format!("user: {}\n", self.prompt);
        let input = TextInput {
            version: sample::VERSION,
            adapter,
            prompt: &prompt,
            seed: self.seed,
            max_tokens: self.max_tokens,
        };
        input.full_text()
    }

    /// Returns the request body as JSON text.
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

/// What a caller received for one call, or for one call and its resumptions.
#[data]
#[derive(Default)]
pub struct Answer {
    /// The HTTP status; 0 if there was no response.
    pub status: u16,
    /// The text that arrived.
    pub text: String,
    /// Whether the normal end of the answer arrived.
    pub ended: bool,
    /// The error message, if the response or the stream had one.
    pub error: Option<Box<str>>,
    /// Whether the error says that the request was not run.
    pub not_run: bool,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<Duration>,
    /// The last resume token that the stream contained.
    pub token: Option<Box<str>>,
    /// Index of the last piece, if any arrived.
    pub last_piece: Option<u32>,
    /// Time from the send to the first piece.
    pub first_piece: Option<Duration>,
    /// Times between pieces.
    pub gaps: Vec<Duration>,
}

/// The result of comparing an answer with the expected text.
#[key]
pub enum Verdict {
    /// Complete and correct.
    Right,
    /// Refused or failed with an explicit error; the text before the error is correct.
    Told,
    /// Ended normally before the end of the expected text.
    Truncated,
    /// Contains text that the request does not produce.
    Foreign,
    /// Cut off without an error.
    Lost,
}

impl Answer {
    /// Compares the answer with the expected text of `call`.
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

/// Sends `call` to the daemon at `address` and reads the whole answer.
pub async fn call(client: &Client, address: SocketAddr, call: &TextCall) -> Answer {
    call_with(client, address, call, None, |_| false).await
}

/// Sends `call`, or resumes it if `resume` gives a token and the index of the last piece received.
///
/// Reads the answer until its end, or until `enough` returns true after a piece.
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
        log::debug!("incomplete answer after the timeout of {:?}", call.timeout);
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

/// Records one line of a stream in `answer`; returns whether it was a piece.
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
