//! Attempts of one request that run side by side; the first one that succeeds counts.
//!
//! An attempt whose server is silent may still succeed. It stays in the race while another one is made
//! elsewhere, until one of them goes on.
//!
//! Invariant: an attempt leaves the race only when it has ended, or when another one has succeeded.

use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use super::ServerId;
use super::attempt::Attempt;
use super::attempt::FailedAttempt;
use super::silence::SilenceReceiver;
use crate::decision_log;
use crate::decision_log::Record;

/// How an attempt ended that yields a `T`.
type Outcome<T> = Result<T, FailedAttempt>;

/// Attempts that run side by side, and yield a `T` if they succeed.
pub(super) struct Race<T> {
    /// The id and the outcome of each.
    running: FuturesUnordered<BoxFuture<'static, (RunnerId, Outcome<T>)>>,
    /// What is known of them, the one that began last at the end.
    runners: Vec<Runner>,
    next_id: RunnerId,
}

/// Identifies an attempt in its race. The numbers of attempts aren't unique, as one that another process
/// declined doesn't count.
type RunnerId = u64;

struct Runner {
    id: RunnerId,
    number: u32,
    name: Box<str>,
    server: Option<ServerId>,
    silence: SilenceReceiver,
}

impl<T> Default for Race<T> {
    fn default() -> Self {
        Race { running: FuturesUnordered::new(), runners: Vec::new(), next_id: 0 }
    }
}

impl<T: Send + 'static> Race<T> {
    /// Begins an attempt, which `run` carries out.
    pub(super) fn begin<F>(&mut self, attempt: Attempt, run: impl FnOnce(Attempt) -> F)
    where
        F: Future<Output = Outcome<T>> + Send + 'static,
    {
        let id = self.next_id;
        self.next_id += 1;
        self.runners.push(Runner {
            id,
            number: attempt.number,
            name: attempt.carrier.name().into(),
            server: attempt.carrier.server().cloned(),
            silence: attempt.silence(),
        });
        self.running.push(run(attempt).map(move |outcome| (id, outcome)).boxed());
    }

    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the servers of the attempts that run.
    pub(super) fn servers(&self) -> impl Iterator<Item = &ServerId> {
        self.runners.iter().filter_map(|runner| runner.server.as_ref())
    }

    /// Returns the outcome of the next attempt that ends; never resolves if none runs.
    pub(super) async fn next(&mut self) -> Outcome<T> {
        let Some((id, outcome)) = self.running.next().await else {
            return std::future::pending().await;
        };
        self.runners.retain(|runner| runner.id != id);
        outcome
    }

    /// Returns what the attempt that began last says of its server; `None` if no attempt runs.
    pub(super) fn newest_silence(&self) -> Option<SilenceReceiver> {
        self.runners.last().map(|runner| runner.silence.clone())
    }

    /// Returns whether the attempt that began last has a silent server, or no attempt runs.
    pub(super) fn is_silent(&self) -> bool {
        self.runners.last().is_none_or(|runner| runner.silence.borrow().is_some())
    }

    /// Ends the attempts that run, since another one has gone on.
    pub(super) fn end(&mut self, request: &str) {
        self.running.clear();
        for runner in self.runners.drain(..) {
            let (attempt, server) = (runner.number, &*runner.name);
            decision_log::write(&Record::Superseded { request, attempt, server });
        }
    }
}
