//! Controls the replica groups, in one process at a time.
//!
//! The owner of the groups is the process that holds a lease lock in the store; the revision that
//! wrote the lock's key is the fencing token of its orders. Only hubs compete for the lock, since
//! they watch the store. What to order is decided in [`form`].
//!
//! An order without a reply shows nothing of its server, so the owner then looks whether the server can be reached, from
//! here and from other processes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use base::prelude::*;
use form::owner::ObservedState;
use form::prelude::*;
use kernel::prelude::*;
use pass::prelude::*;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use web::pool::Probe;
use web::pool::probe;

use crate::decision_log;
use crate::decision_log::Record;
use crate::integration::Integration;
use crate::integration::OrderSender;
use crate::lease_lock;
use crate::lease_lock::HeldLock;
use crate::lease_lock::LockSpec;
use crate::lease_lock::LockState;
use crate::local_state::SharedState;
use crate::metrics::Metrics;
use crate::names;
use crate::peers::PeerOpinions;
use crate::settings::Settings;

/// Lease duration of the ownership.
const LEASE: Duration = Duration::from_millis(2_500);
/// How long releasing the ownership may take when the process stops.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two decision passes when nothing changes.
const DECIDE_PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two decision passes: what changes meanwhile is decided on together.
const MIN_DECIDE_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a reply to an order after which its server is looked for.
const REPLY_TIME: Duration = Duration::from_millis(350);
/// How long a server may take to accept or refuse a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Capacity of the queue of results of orders.
const RESULT_QUEUE_LEN: usize = 1_024;

/// Returns the service that controls the replica groups.
pub fn service() -> Service {
    Service::new(names::OWNER, &[names::STORE_SYNC], run)
}

struct Ownership {
    cx: Context,
    integration: Integration,
    shared: Arc<SharedState>,
    settings: Arc<Settings>,
    lock: watch::Receiver<Option<HeldLock>>,
    resign: Arc<Notify>,
    /// The state of each service's groups, and the fencing token under which it was built.
    owners: (u64, Vec<(ServiceId, Owner)>),
    /// The last fencing token that this process has given back: what it knew of the orders that it sent under it is gone.
    resigned: Option<u64>,
    results: mpsc::Sender<OrderResult>,
    metrics: Metrics,
    /// The models that were overloaded at the last decision pass.
    overloaded: BTreeSet<(ServiceId, ModelId)>,
}

struct OrderResult {
    service: ServiceId,
    revision: u64,
    command: Command,
    reply: Reply,
    after: Duration,
}

async fn run(cx: Context) -> Result<(), ServiceError> {
    let integration: Integration = cx.registry().lookup(names::PROCESS)?;
    let shared: Arc<SharedState> = cx.registry().lookup(names::PROCESS)?;
    let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
    let (results, mut results_rx) = mpsc::channel(RESULT_QUEUE_LEN);
    let (tx, lock) = watch::channel(None);
    let resign = Arc::new(Notify::new());
    let spec = LockSpec {
        name: "ownership",
        key: format!("{}owner", integration.keys.own).into(),
        value: cx.node().as_bytes().into(),
        lease: LEASE.max(settings.shortest_lease),
        acquire_delay: Duration::ZERO,
    };
    let lock_state = {
        let (shared, key) = (shared.clone(), spec.key.clone());
        move || {
            let local = shared.local.lock();
            let is_cut_off = local.endpoints.paths.reach() == Reach::CutOff;
            match local.is_hub && !is_cut_off && !local.row_cache.contains(&key) {
                true => LockState::Free,
                false => LockState::Taken,
            }
        }
    };
    let store = integration.store.clone();
    let locking = lease_lock::run(cx.clone(), store, spec, lock_state, resign.clone(), tx);
    let locking = cx.spawn("ownership lock", locking);
    let owners = (0, Vec::new());
    let mut service = Ownership {
        cx: cx.clone(),
        integration,
        shared,
        settings,
        lock,
        resign,
        owners,
        resigned: None,
        results,
        metrics: cx.registry().lookup(names::PROCESS)?,
        overloaded: BTreeSet::new(),
    };
    let mut decide = cx.every(DECIDE_PERIOD);
    cx.ready();
    let shared = service.shared.clone();
    loop {
        tokio::select! {
            () = cx.process_stopping() => break,
            () = decide.tick() => {}
            () = shared.servers_changed.notified() => {}
            Some(result) = results_rx.recv() => service.handle_result(result),
        }
        while let Ok(result) = results_rx.try_recv() {
            service.handle_result(result);
        }
        service.decide();
        cx.timer().after(MIN_DECIDE_INTERVAL).tick().await;
    }
    // Let the task release its lock.
    let _ = tokio::time::timeout(RESIGN_TIMEOUT, locking).await;
    Ok(())
}

impl Ownership {
    /// Returns the fencing token, if this process certainly holds the lock and has not given it back: releasing it takes time.
    fn fencing_token(&self) -> Option<u64> {
        let lock = *self.lock.borrow();
        let revision = lock.filter(HeldLock::is_valid)?.revision;
        (Some(revision) != self.resigned).then_some(revision)
    }

    /// Runs a decision pass for each service with groups, and sends the resulting orders.
    fn decide(&mut self) {
        let fencing_token = self.fencing_token();
        self.shared.local.lock().is_owner = fencing_token.is_some();
        let Some(fencing_token) = fencing_token else {
            self.overloaded.clear();
            self.metrics.overloaded_models.set(0);
            return;
        };
        let reach = self.shared.local.lock().endpoints.paths.reach();
        match reach {
            Reach::Open => {}
            // What this process sees of the servers shows nothing.
            Reach::Checking => return,
            Reach::CutOff => return self.resign(fencing_token, "no server can be reached"),
        }
        if self.owners.0 != fencing_token {
            self.owners = (fencing_token, Vec::new());
        }
        let now = self.cx.now();
        let local = self.shared.local.lock();
        let no_groups = ObservedGroups::default();
        let evacuated = local.endpoints.evacuations.evacuating().cloned().collect();
        let mut commands = Vec::new();
        for spec in local.routes.services() {
            let Some(engine) = &spec.engine else { continue };
            let owner = owner_of(&mut self.owners.1, &spec.name, fencing_token, now);
            let fleet = local.endpoints.fleet_demands(&spec.name, now);
            let demand = local.demand(engine, &fleet);
            let required_groups =
                fleet.into_iter().map(|demand| (demand.model, demand.required_groups)).collect();
            let stalled = local.endpoints.stalled_servers(now);
            let observed = ObservedState {
                service: &spec.name,
                servers: local.reports().servers(),
                missing: local.reports().missing(),
                groups: local.reports().groups(&spec.name).unwrap_or(&no_groups),
                engine,
                demand: &demand,
                required_groups: &required_groups,
                stalled_heads: &stalled,
                evacuated: &evacuated,
                before_traffic: self.settings.first_start && local.requests == 0,
                now,
            };
            let decided = owner.decide(&observed);
            commands.extend(decided.into_iter().map(|command| (spec.name.clone(), command)));
        }
        drop(local);
        self.report_overload();
        for (service, command) in commands {
            self.send_order(service, fencing_token, command);
        }
    }

    /// Logs the models that became overloaded, are no longer, or have no reported demand any more, and
    /// sets the metric.
    fn report_overload(&mut self) {
        let mut known = BTreeMap::new();
        for (service, owner) in &self.owners.1 {
            for (model, is_overloaded, groups) in owner.model_loads() {
                known.insert((service.clone(), model.clone()), (is_overloaded, groups));
            }
        }
        let is_overloaded =
            |(_, (is_overloaded, _)): &(&(ServiceId, ModelId), &(bool, f64))| *is_overloaded;
        let overloaded: BTreeSet<(ServiceId, ModelId)> =
            known.iter().filter(is_overloaded).map(|(key, _)| key.clone()).collect();
        for key in overloaded.symmetric_difference(&self.overloaded) {
            let (state, required_groups) = match known.get(key) {
                Some((true, groups)) => ("overloaded", *groups),
                Some((false, groups)) => ("ended", *groups),
                None => ("unknown", 0.0),
            };
            let (service, model) = (&*key.0, &*key.1);
            decision_log::write(&Record::Overload { service, model, state, required_groups });
        }
        self.overloaded = overloaded;
        self.metrics.overloaded_models.set(self.overloaded.len() as i64);
    }

    fn send_order(&self, service: ServiceId, revision: u64, command: Command) {
        let (what, group, epoch) = describe(&command.order);
        let server = &command.server;
        decision_log::write(&Record::Ordered { server, order: command.id, what, group, epoch });
        let (sender, results) = (self.integration.order_sender.clone(), self.results.clone());
        let cx = self.cx.clone();
        // A panic over what one server answers leaves its order unanswered.
        tokio::spawn(async move {
            let sent = cx.now();
            let reply = send_and_look(&cx, &*sender, &command).await;
            let after = cx.now().saturating_sub(sent);
            // Sending fails only when the process ends, which drops the receiver.
            let result = OrderResult { service, revision, command, reply, after };
            let _ = results.send(result).await;
        });
    }

    fn handle_result(&mut self, result: OrderResult) {
        let OrderResult { service, revision, command, reply, after } = result;
        decision_log::write(&Record::OrderAnswered {
            server: &command.server,
            order: command.id,
            what: describe(&command.order).0,
            reply: &format!("{reply:?}"),
            after_ms: decision_log::millis(after),
        });
        let now = self.cx.now();
        if self.owners.0 != revision {
            return;
        }
        let owner = owner_of(&mut self.owners.1, &service, revision, now);
        owner.handle_reply(command.id, reply, now);
        if owner.is_fenced() {
            self.resign(revision, "a server reports a newer fencing token or epoch");
        }
    }

    /// Gives the ownership under `fencing_token` back.
    fn resign(&mut self, fencing_token: u64, reason: &str) {
        log::warn!("{reason}; releasing the ownership");
        self.resigned = Some(fencing_token);
        self.owners = (0, Vec::new());
        self.resign.notify_one();
    }
}

/// Sends an order. If it gets no reply, and the group of a head that may be gone depends on it, the outcome says whether the
/// server can be reached.
async fn send_and_look(cx: &Context, sender: &dyn OrderSender, command: &Command) -> Reply {
    let mut sending = std::pin::pin!(sender.send(command));
    if !matches!(command.order, Order::Leave { .. }) {
        return sending.await;
    }
    match tokio::time::timeout(REPLY_TIME, &mut sending).await {
        Ok(Reply::Unanswered(_)) => look(cx, command).await,
        Ok(Reply::Refused) => confirmed(cx, command, Reply::Refused).await,
        Ok(reply) => reply,
        // While the order may still be answered, so that a server that is gone isn't noticed later.
        Err(_) => match futures::join!(sending, look(cx, command)) {
            (Reply::Unanswered(_) | Reply::Refused, seen) => seen,
            (reply, _) => reply,
        },
    }
}

/// Returns what a server shows that has left an order unanswered.
async fn look(cx: &Context, command: &Command) -> Reply {
    match probe(command.address, PROBE_TIMEOUT).await {
        Probe::Accepted => Reply::Unanswered(Sight::Listening),
        Probe::NotTried => Reply::Unanswered(Sight::NotLooked),
        Probe::Refused => confirmed(cx, command, Reply::Refused).await,
        Probe::NoAnswer => confirmed(cx, command, Reply::Unanswered(Sight::Unreachable)).await,
    }
}

/// Returns `reply`, which says that no connection to a server can be made from here, unless another process can make one.
async fn confirmed(cx: &Context, command: &Command, reply: Reply) -> Reply {
    // Before its service runs there is nobody to ask.
    let Ok(opinions) = cx.registry().lookup::<PeerOpinions>(names::PEERS) else { return reply };
    match opinions.is_reached_elsewhere(&command.server).await {
        true => Reply::Unanswered(Sight::Listening),
        false => reply,
    }
}

fn owner_of<'a>(
    owners: &'a mut Vec<(ServiceId, Owner)>,
    service: &str,
    fencing_token: u64,
    now: Mono,
) -> &'a mut Owner {
    let at = owners.iter().position(|(name, _)| &**name == service).unwrap_or_else(|| {
        owners.push((service.into(), Owner::new(fencing_token, now)));
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
        Order::Probe => ("probe", "", 0),
        Order::Confirm { .. } => ("confirm", "", 0),
    }
}
