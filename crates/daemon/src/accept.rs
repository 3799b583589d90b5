//! Accepts operators' changes: input and output of the state machine [`spec::accept`].
//!
//! Receives [`ChangeRequest`]s in the mailbox [`names::ACCEPT`]. Every call to the key-value
//! service is made once and its outcome is reported to the acceptor as it is: a call whose outcome
//! is unknown is never repeated here.

use std::collections::HashMap;
use std::sync::Arc;

use base::prelude::*;
use futures::FutureExt;
use futures::future::BoxFuture;
use kernel::prelude::*;
use kv::prelude::*;
use spec::accept::Acceptor;
use spec::accept::Action;
use spec::accept::Change;
use spec::accept::Event as Input;
use spec::accept::Outcome;
use spec::accept::Stored;
use spec::accept::Ticket;
use spec::accept::WriteResult;
use spec::prelude::CATALOG_KEY;
use spec::prelude::Catalog;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::catalog::StoredCatalog;
use crate::names;

/// Capacity of the mailbox, in changes.
const MAILBOX_DEPTH: usize = 256;
/// Time after which the outcome of a call to the key-value service counts as unknown.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Suggested retry delay while the key-value service is down.
const DOWN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum size of a catalog that is written; less than the maximum size of a value in the
/// key-value service.
const MAX_CATALOG_BYTES: usize = 1_000_000;

/// A change, and the channel for its outcome.
pub struct ChangeRequest {
    /// The change.
    pub change: Change,
    /// Receives the outcome; dropped if the process stops before there is one.
    pub reply: oneshot::Sender<Outcome>,
}

/// Returns the service.
pub fn service() -> Service {
    Service::new(names::ACCEPT, &[names::STORE], |cx| async move {
        let store: Arc<dyn Store> = cx.registry().lookup(names::STORE)?;
        let inbox = cx.mailbox::<ChangeRequest>(names::ACCEPT, MAILBOX_DEPTH);
        cx.ready();
        let shell = Shell {
            cx: cx.clone(),
            store,
            acceptor: Acceptor::default(),
            pending: HashMap::new(),
            next_ticket: 0,
            call: None,
            wake: None,
        };
        tokio::select! {
            () = shell.run(inbox) => {}
            () = cx.stopping() => {}
        }
        Ok(())
    })
}

struct Shell {
    cx: Context,
    store: Arc<dyn Store>,
    acceptor: Acceptor,
    pending: HashMap<Ticket, PendingChange>,
    next_ticket: Ticket,
    /// The outstanding call; there is at most one.
    call: Option<BoxFuture<'static, Input>>,
    wake: Option<Mono>,
}

struct PendingChange {
    operator: Box<str>,
    reply: oneshot::Sender<Outcome>,
}

impl Shell {
    async fn run(mut self, mut inbox: mpsc::Receiver<ChangeRequest>) {
        loop {
            let wait = self.wake.map(|at| at.saturating_sub(self.cx.now()));
            let mut wake = wait.map(|wait| self.cx.timer().after(wait));
            let input = tokio::select! {
                request = inbox.recv() => match request {
                    Some(request) => self.submit(request),
                    None => return,
                },
                input = outstanding(&mut self.call) => input,
                () = tick(&mut wake) => Input::Tick,
            };
            self.wake = None;
            if let Ok(catalog) = self.cx.subscribe::<Catalog>(names::CATALOG) {
                self.acceptor.note_accepted(catalog.borrow().revision);
            }
            let now = self.cx.now();
            for action in self.acceptor.decide(input, now) {
                self.carry_out(action);
            }
        }
    }

    fn submit(&mut self, request: ChangeRequest) -> Input {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let operator = request.change.operator.clone();
        self.pending.insert(ticket, PendingChange { operator, reply: request.reply });
        Input::Submitted { ticket, change: request.change }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Read => {
                debug_assert!(self.call.is_none());
                self.call = Some(read(self.store.clone()).boxed());
            }
            Action::Write { expected, catalog } => {
                debug_assert!(self.call.is_none());
                self.call = Some(write(self.store.clone(), expected, catalog).boxed());
            }
            Action::Answer { ticket, outcome } => self.answer(ticket, outcome),
            Action::Committed(catalog) => self.publish_stored(catalog),
            Action::Wake(at) => self.wake = Some(at),
        }
    }

    /// Passes a catalog that the key-value service has stored to the catalog service, so that it is
    /// active in this process at once.
    fn publish_stored(&self, catalog: Arc<Catalog>) {
        let sent = self
            .cx
            .sender::<StoredCatalog>(names::CATALOG)
            .map(|tx| tx.try_send(StoredCatalog(catalog)));
        if !matches!(sent, Ok(Ok(()))) {
            log::info!(
                "an accepted catalog was not passed on in this process; it will come into force \
                 through the watch or from a peer"
            );
        }
    }

    fn answer(&mut self, ticket: Ticket, outcome: Outcome) {
        let Some(pending) = self.pending.remove(&ticket) else { return };
        let operator = pending.operator;
        match &outcome {
            Outcome::Accepted { revision, changed: true } => {
                log::info!("revision {revision}: a change by {operator} was accepted");
                self.cx.record(Event::Accepted { revision: *revision, operator });
            }
            outcome => log::info!("a change by {operator} ended: {outcome:?}"),
        }
        // A client that has disconnected can query the outcome by its write id.
        let _ = pending.reply.send(outcome);
    }
}

/// Resolves with the outcome of the outstanding call; pending forever if there is none.
async fn outstanding(call: &mut Option<BoxFuture<'static, Input>>) -> Input {
    match call {
        Some(pending) => {
            let input = pending.await;
            *call = None;
            input
        }
        None => std::future::pending().await,
    }
}

async fn tick(wake: &mut Option<Ticks>) {
    match wake {
        Some(ticks) => ticks.tick().await,
        None => std::future::pending().await,
    }
}

async fn read(store: Arc<dyn Store>) -> Input {
    match read_stored(&*store).await {
        Ok(stored) => Input::Read(stored),
        Err(error) => {
            log::warn!("key `{CATALOG_KEY}`: {error}");
            Input::ReadFailed { retry_after: retry_after(&error) }
        }
    }
}

/// Reads the stored catalog from the key-value service.
pub async fn read_stored(store: &dyn Store) -> Result<Stored, KvError> {
    let found = tokio::time::timeout(CALL_TIMEOUT, store.get(CATALOG_KEY)).await;
    decode(found.unwrap_or(Err(KvError::Indeterminate))?)
}

fn decode(found: Option<Versioned>) -> Result<Stored, KvError> {
    let Some(found) = found else { return Ok(Stored::default()) };
    let catalog: Catalog = serde_json::from_slice(&found.value).map_err(|error| {
        KvError::Malformed { key: CATALOG_KEY.into(), problem: error.to_string().into() }
    })?;
    Ok(Stored { catalog: Arc::new(catalog), mod_revision: found.mod_revision })
}

async fn write(store: Arc<dyn Store>, expected: u64, catalog: Arc<Catalog>) -> Input {
    let bytes = serde_json::to_vec(&*catalog).expect("a catalog has a JSON form");
    if bytes.len() > MAX_CATALOG_BYTES {
        return Input::WriteCompleted(WriteResult::TooLarge { bytes: bytes.len() });
    }
    let call = store.compare_and_swap(CATALOG_KEY, expected, bytes.into());
    let written = tokio::time::timeout(CALL_TIMEOUT, call).await;
    Input::WriteCompleted(match written.unwrap_or(Err(KvError::Indeterminate)) {
        Ok(CasResult::Done { .. }) => WriteResult::Committed,
        Ok(CasResult::Conflict { current }) => match decode(current) {
            Ok(current) => WriteResult::Conflict { current },
            Err(error) => WriteResult::NotApplied { retry_after: retry_after(&error) },
        },
        Err(error @ (KvError::Unavailable | KvError::RateLimited { .. })) => {
            WriteResult::NotApplied { retry_after: retry_after(&error) }
        }
        Err(KvError::Indeterminate | KvError::Malformed { .. }) => WriteResult::Indeterminate,
    })
}

fn retry_after(error: &KvError) -> Duration {
    match error {
        KvError::RateLimited { retry_after } => *retry_after,
        _ => DOWN_RETRY_AFTER,
    }
}
