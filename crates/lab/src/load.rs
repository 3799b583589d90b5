//! An open-loop load generator that checks every answer.
//!
//! Requests arrive as a Poisson process that does not depend on the answers, so a slow system under
//! test does not lower the offered load. Prompts share prefixes with a Zipf-distributed popularity.
//! Each answer is compared byte for byte with the expected text; see [`Verdict`].

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::Zipf;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::Instant;
use web::prelude::Client;

use crate::caller;
use crate::caller::Answer;
use crate::caller::TextCall;
use crate::caller::Verdict;
use crate::direct;
use crate::direct::EngineTarget;
use crate::histogram::LatencyHistogram;
use crate::histogram::Summary;

/// Distinct prefixes of the prompts.
const PREFIXES: f64 = 200.0;
/// Exponent of the Zipf distribution of the prefixes.
const PREFIX_SKEW: f64 = 1.1;
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The targets of requests.
#[derive(Clone, Debug)]
pub enum Destination {
    /// The caller addresses of daemons, round robin.
    Daemons(Vec<SocketAddr>),
    /// Engines without a daemon, round robin.
    Engines(Vec<EngineTarget>),
}

/// Options of one load run.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The targets of the requests.
    pub destination: Destination,
    /// Average number of requests per second.
    pub rate: f64,
    /// The time during which requests arrive.
    pub duration: Duration,
    /// Maximum number of tokens of an answer.
    pub max_tokens: u32,
    /// Fraction of streamed answers.
    pub streamed: f64,
    /// Fraction of requests with high priority.
    pub high_priority: f64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Timeout of each send; a request is not resent later than this after its first send.
    pub timeout: Duration,
    /// Whether a request that was not run, or whose daemon was unreachable, is resent to the next
    /// daemon, as the platform's load balancer and client libraries do.
    pub resend: bool,
}

/// Counts and latencies of a load run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    right: u64,
    told: u64,
    truncated: u64,
    foreign: u64,
    lost: u64,
    resent: u64,
    tokens: u64,
    first: LatencyHistogram,
    gaps: LatencyHistogram,
    examples: Vec<String>,
}

/// The report of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests sent, resends not counted.
    pub requests: u64,
    /// Answers that were complete and correct.
    pub right: u64,
    /// Requests that failed with an explicit error.
    pub told: u64,
    /// Answers that ended normally before the end of the expected text.
    pub truncated: u64,
    /// Answers with text that the request does not produce, including duplicated pieces.
    pub foreign: u64,
    /// Answers that were cut off without an error.
    pub lost: u64,
    /// Resends and resumes.
    pub resent: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Time to the first token.
    pub first_token: Summary,
    /// Time between tokens.
    pub between_tokens: Summary,
    /// The first five answers that were not complete and correct.
    pub examples: Vec<String>,
}

impl Outcome {
    fn record(&mut self, call: &TextCall, answer: &Answer, resent: u64) {
        match answer.verdict(call) {
            Verdict::Right => self.right += 1,
            Verdict::Told => self.told += 1,
            Verdict::Truncated => self.truncated += 1,
            Verdict::Foreign => self.foreign += 1,
            Verdict::Lost => self.lost += 1,
        }
        if answer.verdict(call) != Verdict::Right && self.examples.len() < 5 {
            let verdict = answer.verdict(call);
            self.examples.push(format!("{verdict:?} after {resent} resends: {answer:?}"));
        }
        self.resent += resent;
        self.tokens += answer.last_piece.map_or(0, |last| u64::from(last) + 1);
        if let Some(first) = answer.first_piece {
            self.first.record(first);
        }
        for gap in &answer.gaps {
            self.gaps.record(*gap);
        }
    }

    /// Returns the report.
    pub fn report(&self) -> Report {
        Report {
            requests: self.right + self.told + self.truncated + self.foreign + self.lost,
            right: self.right,
            told: self.told,
            truncated: self.truncated,
            foreign: self.foreign,
            lost: self.lost,
            resent: self.resent,
            tokens: self.tokens,
            first_token: self.first.summary(),
            between_tokens: self.gaps.summary(),
            examples: self.examples.clone(),
        }
    }
}

/// Sends the requests of the load and returns their outcome once all have ended.
pub async fn drive(load: &LoadOptions) -> Outcome {
    let client = Client::pooled(CONNECT_TIMEOUT);
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let arrivals = Exp::new(load.rate).expect("the rate is positive");
    let prefixes = Zipf::new(PREFIXES, PREFIX_SKEW).expect("the skew is positive");
    let begun = Instant::now();
    let mut next = Duration::ZERO;
    let mut number = 0usize;
    loop {
        next += Duration::from_secs_f64(arrivals.sample(&mut rng));
        if next >= load.duration {
            break;
        }
        let prefix = prefixes.sample(&mut rng);
        let call = draw_call(load, number, prefix, &mut rng);
        tokio::time::sleep_until(begun + next).await;
        let (client, destination, tx) = (client.clone(), load.destination.clone(), tx.clone());
        let resend = load.resend;
        tokio::spawn(async move {
            let (answer, resent) = match &destination {
                Destination::Daemons(daemons) => {
                    call_with_resends(&client, daemons, number, &call, resend).await
                }
                Destination::Engines(targets) => {
                    let target = &targets[number % targets.len()];
                    (direct::call(&client, target, &call).await, 0)
                }
            };
            // The receiver outlives the senders: it reads until all of them are dropped.
            let _ = tx.send((call, answer, resent));
        });
        number += 1;
    }
    drop(tx);
    let mut outcome = Outcome::default();
    while let Some((call, answer, resent)) = rx.recv().await {
        outcome.record(&call, &answer, resent);
    }
    outcome
}

fn draw_call(load: &LoadOptions, number: usize, prefix: f64, rng: &mut ChaCha8Rng) -> TextCall {
    let shared = format!("prefix {prefix} {}", "of a shared prompt ".repeat(4));
    let mut call = TextCall::small(&format!("{shared} request {number}"), rng.random());
    call.max_tokens = load.max_tokens;
    call.stream = rng.random_bool(load.streamed);
    call.priority = if rng.random_bool(load.high_priority) { 200 } else { 100 };
    call.timeout = load.timeout;
    call
}

/// Sends one call, and resends or resumes it at the next daemon where that is allowed.
async fn call_with_resends(
    client: &Client,
    daemons: &[SocketAddr],
    number: usize,
    call: &TextCall,
    resend: bool,
) -> (Answer, u64) {
    let deadline = Instant::now() + call.timeout;
    let mut got = Answer::default();
    let mut resent = 0;
    loop {
        let daemon = daemons[(number + usize::try_from(resent).unwrap_or(0)) % daemons.len()];
        let resume = got.token.clone().zip(got.last_piece);
        let resume = resume.as_ref().map(|(token, last)| (&**token, *last));
        let more = caller::call_with(client, daemon, call, resume, |_| false).await;
        if more.status == 0 {
            log::warn!("request {number}: no response from daemon {daemon}");
        }
        got = append(got, more);
        // An ordinary client retries when it got no response, when a daemon's death cut its stream
        // off, and when the response says that the request was not run.
        let can_resend = got.not_run || (!got.ended && got.error.is_none());
        if !resend || !can_resend || Instant::now() >= deadline {
            return (got, resent);
        }
        resent += 1;
        tokio::time::sleep(got.retry_after.unwrap_or(Duration::from_millis(50))).await;
        got.error = None;
        got.not_run = false;
    }
}

/// Appends what a resumed call received to what had arrived before.
fn append(mut got: Answer, more: Answer) -> Answer {
    got.status = more.status;
    got.text.push_str(&more.text);
    got.ended = more.ended;
    got.error = more.error;
    got.not_run = more.not_run;
    got.retry_after = more.retry_after;
    got.token = more.token.or(got.token);
    got.last_piece = match (got.last_piece, more.last_piece) {
        (Some(before), Some(after)) => Some(before + after + 1),
        (before, after) => before.or(after),
    };
    got.first_piece = got.first_piece.or(more.first_piece);
    got.gaps.extend(more.gaps);
    got
}
