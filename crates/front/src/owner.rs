//! Owns the replica groups, one process at a time.
//!
//! The owner holds a leased key in the store; the revision that wrote it is the fencing number of
//! its orders. A process counts its lease from before it asked, on a clock that goes on while the
//! VM is suspended, and gives no order past its end.

use std::sync::Arc;

use base::prelude::*;
use form::owner::View;
use form::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use tokio::sync::mpsc;

use crate::clock;
use crate::edges::Edges;
use crate::names;
use crate::report;
use crate::report::Line;
use crate::settings::Settings;
use crate::world::Shared;

/// How long the ownership lasts without renewal.
const LEASE: Duration = Duration::from_millis(2_500);
/// How often the lease is renewed, and how often others ask for a free ownership.
const RENEW_PERIOD: Duration = Duration::from_millis(600);
/// Part of the lease after which the holder stops by itself.
const SAFE_PART: f64 = 0.8;
/// How often the owner looks at the world when nothing changes.
const DECIDE_PERIOD: Duration = Duration::from_millis(100);
/// Messages that may wait.
const DEPTH_MESSAGES: usize = 1_024;

/// Makes the service.
pub fn service() -> Service {
    Service::new(names::OWNER, &[names::FOLLOW], run)
}

/// The ownership as this process holds it.
struct Tenure {
    lease: LeaseId,
    revision: u64,
    /// On the clock that goes on in suspension.
    until: Duration,
    owners: Vec<(ServiceId, Owner)>,
}

struct Ownership {
    cx: Context,
    edges: Edges,
    shared: Arc<Shared>,
    settings: Arc<Settings>,
    key: Box<str>,
    tenure: Option<Tenure>,
    messages: mpsc::Sender<Message>,
    /// Whether the store has been asked for the ownership and has not answered.
    asking: bool,
}

enum Message {
    Answered(Answered),
    Renewed { lease: LeaseId, asked: Duration, renewed: Result<bool, KvError> },
    Taken { asked: Duration, taken: Result<Option<(LeaseId, u64)>, KvError> },
}

struct Answered {
    service: ServiceId,
    revision: u64,
    command: Command,
    reply: Reply,
    after: Duration,
}

async fn run(cx: Context) -> Result<(), Fault> {
    let edges: Edges = cx.registry().find(names::PROCESS)?;
    let shared: Arc<Shared> = cx.registry().find(names::PROCESS)?;
    let settings: Arc<Settings> = cx.registry().find(names::PROCESS)?;
    let (messages, mut inbox) = mpsc::channel(DEPTH_MESSAGES);
    let key = format!("{}owner", edges.keys.own).into();
    let mut service = Ownership {
        cx: cx.clone(),
        edges,
        shared,
        settings,
        key,
        tenure: None,
        messages,
        asking: false,
    };
    let mut renew = cx.every(RENEW_PERIOD);
    let mut decide = cx.every(DECIDE_PERIOD);
    cx.ready();
    service.hold();
    let shared = service.shared.clone();
    loop {
        tokio::select! {
            () = cx.process_stopping() => break,
            () = renew.tick() => service.hold(),
            () = decide.tick() => service.decide(),
            () = shared.servers_changed.notified() => service.decide(),
            Some(message) = inbox.recv() => service.handle(message),
        }
    }
    service.resign("the process stops").await;
    Ok(())
}

impl Ownership {
    /// Asks the store to give or renew the ownership, without waiting for its answer.
    fn hold(&mut self) {
        let asked = clock::since_boot();
        if self.tenure.as_ref().is_some_and(|tenure| asked >= tenure.until) {
            self.drop_tenure("the lease ran out");
        }
        if self.asking {
            return;
        }
        self.asking = true;
        let lease = self.tenure.as_ref().map(|tenure| tenure.lease);
        let (store, key, node) =
            (self.edges.store.clone(), self.key.clone(), self.cx.node().clone());
        let messages = self.messages.clone();
        tokio::spawn(async move {
            let message = match lease {
                Some(lease) => Message::Renewed { lease, asked, renewed: store.renew(lease).await },
                None => Message::Taken { asked, taken: take(&*store, &key, &node).await },
            };
            // The receiver only goes when the process ends.
            let _ = messages.send(message).await;
        });
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Answered(answer) => self.answered(answer),
            Message::Renewed { lease, asked, renewed } => {
                self.asking = false;
                self.renewed(lease, asked, renewed);
            }
            Message::Taken { asked, taken } => {
                self.asking = false;
                match taken {
                    Ok(Some((lease, revision))) => self.taken(asked, lease, revision),
                    Ok(None) => {}
                    Err(error) => log::warn!("the ownership was not taken: {error}"),
                }
            }
        }
    }

    fn renewed(&mut self, lease: LeaseId, asked: Duration, renewed: Result<bool, KvError>) {
        let Some(tenure) = self.tenure.as_mut().filter(|tenure| tenure.lease == lease) else {
            return;
        };
        match renewed {
            Ok(true) => tenure.until = asked + LEASE.mul_f64(SAFE_PART),
            Ok(false) => self.drop_tenure("the lease has ended"),
            Err(error) => log::warn!("the ownership was not renewed: {error}"),
        }
    }

    fn taken(&mut self, asked: Duration, lease: LeaseId, revision: u64) {
        let until = asked + LEASE.mul_f64(SAFE_PART);
        self.tenure = Some(Tenure { lease, revision, until, owners: Vec::new() });
        self.tell("taken", "it was free");
        self.decide();
    }

    async fn resign(&mut self, reason: &str) {
        let Some(tenure) = self.tenure.take() else { return };
        report::write(&Line::Owner {
            service: "",
            fence: tenure.revision,
            state: "resigned",
            reason,
        });
        if let Err(error) = self.edges.store.end(tenure.lease).await {
            log::warn!("the ownership ends by itself, since it was not given back: {error}");
        }
    }

    fn drop_tenure(&mut self, reason: &str) {
        self.tell("lost", reason);
        self.tenure = None;
    }

    fn tell(&self, state: &str, reason: &str) {
        let fence = self.tenure.as_ref().map_or(0, |tenure| tenure.revision);
        report::write(&Line::Owner { service: "", fence, state, reason });
    }

    /// Gives the orders that the world asks for.
    fn decide(&mut self) {
        let Some(tenure) = &mut self.tenure else { return };
        if clock::since_boot() >= tenure.until {
            return;
        }
        let now = self.cx.now();
        let world = self.shared.world.lock();
        let mut commands = Vec::new();
        for spec in world.routes.services() {
            let Some(engine) = &spec.engine else { continue };
            let owner = owner_of(&mut tenure.owners, &spec.name, tenure.revision, now);
            let (demand, silent) = (world.demand(engine), world.silent());
            let view = View {
                service: &spec.name,
                servers: &world.servers,
                departed: &world.departed,
                engine,
                demand: &demand,
                silent: &silent,
                before_traffic: self.settings.first_start && world.requests == 0,
                now,
            };
            let given = owner.decide(&view);
            commands.extend(given.into_iter().map(|command| (spec.name.clone(), command)));
        }
        drop(world);
        let revision = tenure.revision;
        for (service, command) in commands {
            self.give(service, revision, command);
        }
    }

    fn give(&self, service: ServiceId, revision: u64, command: Command) {
        let (what, group, epoch) = describe(&command.order);
        let server = &command.server;
        report::write(&Line::Ordered { server, order: command.id, what, group, epoch });
        let (orders, messages) = (self.edges.orders.clone(), self.messages.clone());
        let cx = self.cx.clone();
        tokio::spawn(async move {
            let sent = cx.now();
            let reply = orders.give(&command).await;
            let after = cx.now().saturating_sub(sent);
            // The receiver only goes when the process ends.
            let answered = Answered { service, revision, command, reply, after };
            let _ = messages.send(Message::Answered(answered)).await;
        });
    }

    fn answered(&mut self, answer: Answered) {
        let Answered { service, revision, command, reply, after } = answer;
        report::write(&Line::OrderAnswered {
            server: &command.server,
            order: command.id,
            what: describe(&command.order).0,
            reply: &format!("{reply:?}"),
            after_ms: report::millis(after),
        });
        let now = self.cx.now();
        let Some(tenure) = self.tenure.as_mut().filter(|tenure| tenure.revision == revision) else {
            return;
        };
        let owner = owner_of(&mut tenure.owners, &service, revision, now);
        owner.reply(command.id, reply, now);
        if owner.is_fenced() {
            // The lease keeps others from the ownership until it ends.
            let lease = tenure.lease;
            let store = self.edges.store.clone();
            tokio::spawn(async move { store.end(lease).await.is_ok() });
            self.drop_tenure("a server has obeyed a newer owner or epoch");
            return;
        }
        self.decide();
    }
}

/// Takes the ownership if nobody holds it; returns the lease and the revision of the write.
async fn take(
    store: &dyn LeaseStore,
    key: &str,
    node: &str,
) -> Result<Option<(LeaseId, u64)>, KvError> {
    if store.get(key).await?.is_some() {
        return Ok(None);
    }
    let lease = store.grant(LEASE).await?.id;
    // Without an answer it may have been written; the lease then ends it soon.
    match store.swap_leased(key, 0, node.as_bytes().into(), lease).await? {
        Some(Swap::Done { mod_revision }) => Ok(Some((lease, mod_revision))),
        Some(Swap::Conflict { .. }) | None => Ok(None),
    }
}

fn owner_of<'a>(
    owners: &'a mut Vec<(ServiceId, Owner)>,
    service: &str,
    fence: u64,
    now: Mono,
) -> &'a mut Owner {
    let at = owners.iter().position(|(name, _)| &**name == service).unwrap_or_else(|| {
        owners.push((service.into(), Owner::new(fence, now)));
        owners.len() - 1
    });
    &mut owners[at].1
}

fn describe(order: &Order) -> (&'static str, &str, u64) {
    match order {
        Order::Join { group, epoch, .. } => ("join", group, *epoch),
        Order::Open { group, epoch } => ("open", group, *epoch),
        Order::Close { group, epoch } => ("close", group, *epoch),
        Order::Leave { group, epoch } => ("leave", group, *epoch),
        Order::Stage { model } => ("stage", model, 0),
    }
}
