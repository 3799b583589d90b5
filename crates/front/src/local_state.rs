//! What this process knows of the system: servers, routes, peers, loads. Its services share it.
//!
//! The local state holds facts and derives others from them; what to do about them is decided in
//! [`pass`] and [`form`].
//!
//! - `waiting`: requests that wait for an endpoint.
//! - `server_endpoints`: the endpoints that follow from the reports of the servers.
//! - `retries`: the retry budget, and the retries that a hub grants.

mod retries;
mod server_endpoints;
mod waiting;

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;
use form::demand;
use form::demand::WORK_DECAY_TIME;
use form::prelude::*;
use parking_lot::Mutex;
use pass::budget::BudgetSettings;
use pass::dispatch::Decision;
use pass::dispatch::Ticket;
use pass::endpoints::ModelFleetDemand;
use pass::evacuation::EvacuationChange;
use pass::helpers::Helpers;
use pass::load::Load;
use pass::prelude::*;
use rows::prelude::*;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::crash_reports::CrashReports;
use crate::decision_log;
use crate::decision_log::Record;
use crate::left_out::LeftOut;
use crate::load_reports::LoadReports;
use crate::load_reports::Loads;

use retries::HubGrants;
pub use waiting::WaitingRequest;

/// How long this process reports to others that a server is leaving.
const LEAVING_REPORT_TTL: Duration = Duration::from_secs(10);

/// The state that the services of a process share.
pub struct SharedState {
    /// What the process knows.
    pub local: Mutex<LocalState>,
    /// Wakes the owner of the replica groups after a change that it may act on.
    pub servers_changed: Notify,
    /// Wakes the task that sends crash reports, after this process recorded a change.
    pub crash_recorded: Notify,
    /// Wakes the responses that wait for crash reports.
    pub crash_reports_changed: Notify,
    /// Wakes the task that checks the paths to the servers, after one failed.
    pub path_failed: Notify,
    /// Wakes those that wait for the outcome of such a check.
    pub paths_checked: Notify,
}

/// What the process knows of the system.
pub struct LocalState {
    /// The current routes; version 0 before the first configuration.
    pub routes: Arc<RouteTable>,
    /// The reports of all servers, and their groups.
    reports: ServerTable,
    /// The rows of the store from which the rest is derived.
    pub row_cache: RowCache,
    /// The entries of the store that were left out.
    pub left_out: LeftOut,
    /// The loads that other processes reported.
    pub load_reports: LoadReports,
    /// Whether this process is the hub of its failure domain.
    pub is_hub: bool,
    /// Whether this process certainly owns the replica groups.
    pub is_owner: bool,
    /// Time between two exchanges with the hub, as the hub asked for.
    pub exchange_interval: Duration,
    /// Whether every hub that the store lists was asked for rows, and none had fresh ones, or the store
    /// lists none.
    pub all_hubs_tried: bool,
    /// Number of processes that are alive, this one included, as far as is known.
    processes: usize,
    /// The endpoints that may get a request.
    pub endpoints: EndpointPool,
    /// The queue of waiting requests.
    pub dispatch: DispatchQueue,
    /// This process's part of the retry budget.
    retries: RetryBudget,
    /// The retries that this process grants others while it is a hub.
    hub_grants: Option<HubGrants>,
    /// The processes that take requests over from this one.
    pub helpers: Helpers,
    /// Requests that crash backend servers.
    pub crash_reports: CrashReports,
    /// Whether the store responds.
    pub store_up: bool,
    /// Work of recent requests by model, in seconds of servers, decayed exponentially up to
    /// `work_at`.
    work: BTreeMap<ModelId, f64>,
    work_at: Mono,
    /// Number of requests since the process started.
    pub requests: u64,
    /// The server instances whose responses to this process said that they are leaving, and when.
    own_leaving: BTreeMap<ServerId, (u64, Mono)>,
    /// Where waiting requests receive their decisions.
    waiters: BTreeMap<Ticket, oneshot::Sender<Decision>>,
}

impl SharedState {
    /// Returns the state of a process that knows nothing yet.
    pub fn new(retries: BudgetSettings) -> Self {
        let local = LocalState {
            routes: Arc::default(),
            reports: ServerTable::default(),
            row_cache: RowCache::default(),
            left_out: LeftOut::default(),
            load_reports: LoadReports::default(),
            is_hub: false,
            is_owner: false,
            exchange_interval: Duration::ZERO,
            all_hubs_tried: false,
            processes: 1,
            endpoints: EndpointPool::with_seed(random_id()),
            dispatch: DispatchQueue::default(),
            retries: RetryBudget::new(retries, random_id()),
            hub_grants: None,
            helpers: Helpers::default(),
            crash_reports: CrashReports::new(random_id()),
            store_up: false,
            work: BTreeMap::new(),
            work_at: Mono::ZERO,
            requests: 0,
            own_leaving: BTreeMap::new(),
            waiters: BTreeMap::new(),
        };
        SharedState {
            local: Mutex::new(local),
            servers_changed: Notify::new(),
            crash_recorded: Notify::new(),
            crash_reports_changed: Notify::new(),
            path_failed: Notify::new(),
            paths_checked: Notify::new(),
        }
    }

    /// Wakes those that wait for crash reports, after this process recorded a change.
    pub fn notify_of_crash_report(&self) {
        self.crash_recorded.notify_one();
        self.crash_reports_changed.notify_waiters();
    }

    /// Records that no connection to the server of `endpoint` could be made from here.
    pub fn connect_failed(&self, endpoint: &Endpoint, now: Mono) {
        let mut local = self.local.lock();
        local.endpoints.paths.connect_failed(&endpoint.server, endpoint.started_at_ms, now);
        self.path_failed.notify_one();
    }

    /// Returns whether this process reaches servers, as soon as no check is under way.
    pub async fn checked_reach(&self) -> Reach {
        loop {
            let mut checked = std::pin::pin!(self.paths_checked.notified());
            checked.as_mut().enable();
            let reach = self.local.lock().endpoints.paths.reach();
            if reach != Reach::Checking {
                return reach;
            }
            checked.await;
        }
    }
}

impl LocalState {
    /// Returns how many processes are alive, this one included.
    pub fn processes(&self) -> usize {
        self.processes
    }

    /// Sets the load from all other processes, and the number of all processes.
    pub fn set_fleet(&mut self, loads: &Loads, processes: usize, now: Mono) {
        for (server, per_second) in self.endpoints.set_remote_loads(loads, processes.max(1), now) {
            decision_log::write(&Record::ServerLimit { request: "", server: &server, per_second });
        }
        self.processes = processes.max(1);
        self.log_warm_ups(now);
        for (server, load) in loads {
            if let Some(started_at_ms) = load.leaving {
                self.set_leaving(server, started_at_ms, "", now);
            }
        }
    }

    /// Makes `config` the current configuration, if its version is newer; returns whether it was.
    pub fn set_config(&mut self, config: RoutingConfig) -> bool {
        if config.version <= self.routes.version() {
            return false;
        }
        self.routes = Arc::new(RouteTable::from(config));
        self.endpoints.set_services(self.routes.services().cloned());
        self.refresh_endpoints();
        true
    }

    /// Returns the reports of all servers, and their groups.
    pub fn reports(&self) -> &ServerTable {
        &self.reports
    }

    /// Applies a server's report, unless a later one was seen.
    pub fn set_server(&mut self, server: Server, now: Mono) {
        let id = server.id.clone();
        let findings = self.conflicts(&server);
        if !findings.is_empty() {
            self.left_out.log(&id, findings.to_string().as_bytes(), &findings);
            return self.set_unusable(&id, now);
        }
        if self.reports.is_outdated(&server) {
            decision_log::write(&Record::Outdated {
                server: &id,
                born_ms: server.started_at_ms,
                orders: server.report_number,
            });
            return;
        }
        let (service, started_at_ms) = (server.service.clone(), server.started_at_ms);
        let left = server.warmup_remaining;
        let old = self.reports.servers().get(&id).cloned();
        let Some(changed) = self.reports.report(server) else { return };
        self.endpoints.warm_ups.report(&service, &id, started_at_ms, left, now);
        self.log_warm_ups(now);
        let has_endpoint_changed = self.update_endpoints(&id, &changed);
        let Some(server) = self.reports.servers().get(&id) else { return };
        let is_new = old.is_none_or(|old| !shows_same(&old, server));
        if has_endpoint_changed || (is_new && self.logs_all_servers()) {
            log_report(server);
        }
    }

    /// Returns what shows that another writer made the report `server`: it would replace that of a server
    /// that can be used by one that can't, lacks the start time that the server reports, or moves an
    /// instance to another service.
    fn conflicts(&self, server: &Server) -> Findings {
        let is_usable = |server: &Server| {
            let spec = self.routes.service(&server.service);
            spec.is_some_and(|spec| spec.engine.is_none() || server.fabric.is_some())
        };
        let mut findings = Findings::default();
        let last = self.reports.last_report(&server.id);
        findings.check(is_usable(server) || !last.is_some_and(is_usable), "$.service", || {
            format!("found {:?}, which isn't configured or needs a fabric domain", server.service)
        });
        let has_start = |server: &Server| server.started_at_ms > 0;
        findings.check(
            has_start(server) || !last.is_some_and(has_start),
            "$.started_at_ms",
            || "missing; the server's last report has it".to_owned(),
        );
        let current = self.reports.servers().get(&server.id);
        let current = current.filter(|current| current.instance_id() == server.instance_id());
        findings.check(
            current.is_none_or(|current| current.service == server.service),
            "$.service",
            || format!("found {:?}; the server's instance is of another service", server.service),
        );
        findings
    }

    /// Records that an entry that names no server to use stands in place of a server's report.
    pub fn set_unusable(&mut self, id: &str, now: Mono) {
        self.reports.report_overwritten(id, now);
    }

    /// Drops the servers in whose place unusable entries have stood for too long.
    pub fn expire_overwritten(&mut self, now: Mono) {
        for id in self.reports.overwritten_for_long(now) {
            self.remove_server(&id, now);
        }
    }

    /// Returns whether this process logs each server of which it learns something new. Others log only
    /// those whose endpoint changes, so that the fleet's log doesn't grow with processes times servers.
    fn logs_all_servers(&self) -> bool {
        self.is_hub || self.is_owner
    }

    /// Records that a response of `endpoint` said how long the server's warm-up still takes.
    pub fn set_warm_up(&mut self, endpoint: &Endpoint, left: Duration, now: Mono) {
        let Endpoint { service, server, started_at_ms, .. } = endpoint;
        self.endpoints.warm_ups.report(service, server, *started_at_ms, left, now);
        self.log_warm_ups(now);
    }

    fn log_warm_ups(&mut self, now: Mono) {
        for change in self.endpoints.warm_ups.take_changes(now) {
            decision_log::write(&Record::WarmUp {
                server: &change.server,
                state: if change.left.is_some() { "begun" } else { "ended" },
                left_ms: decision_log::millis(change.left.unwrap_or_default()),
                per_second: change.per_second,
            });
        }
    }

    /// Records that an instance of a server is leaving, as a response to `request` said; to be sent
    /// to the other processes if it arrived at this one.
    pub fn set_leaving(&mut self, id: &str, started_at_ms: u64, request: &str, now: Mono) {
        let Some(changed) = self.reports.set_leaving(id, started_at_ms) else { return };
        let born_ms = started_at_ms;
        decision_log::write(&Record::ServerLeaving { request, server: id, born_ms });
        if !request.is_empty() {
            self.own_leaving.retain(|_, (_, at)| now < *at + LEAVING_REPORT_TTL);
            self.own_leaving.insert(id.into(), (started_at_ms, now));
        }
        self.update_endpoints(id, &changed);
    }

    /// Records that the row for the evacuation of a failure domain exists, since `revision`.
    pub fn request_evacuation(&mut self, domain: &str, revision: Revision, now: Mono) {
        let age = self.row_cache.age(now);
        self.endpoints.evacuations.request(domain, revision, age, now);
        self.update_evacuations(now);
    }

    /// Records that the row for the evacuation of a failure domain was deleted.
    pub fn cancel_evacuation(&mut self, domain: &str, revision: Revision, now: Mono) {
        self.endpoints.evacuations.cancel(domain, revision, now);
        self.update_evacuations(now);
    }

    /// Brings the evacuations up to `now`, and logs what changed.
    pub fn update_evacuations(&mut self, now: Mono) {
        for EvacuationChange { domain, state, revision } in self.endpoints.update_evacuations(now) {
            let (domain, state) = (&*domain, state.name());
            decision_log::write(&Record::Evacuation { domain, state, revision });
        }
        for domain in self.endpoints.evacuations.take_unchecked_domains(now) {
            if !self.is_known_domain(&domain) {
                let mut findings = Findings::default();
                findings.add("$", "no server is known in this failure domain");
                decision_log::write(&Record::LeftOut { key: &domain, findings: &findings });
            }
        }
    }

    fn is_known_domain(&self, domain: &str) -> bool {
        let missing = self.reports.missing().values().map(|missing| &missing.server);
        let mut servers = self.reports.servers().values().chain(missing);
        servers.any(|server| &*server.failure_domain == domain)
    }

    /// Returns whether a server may be connected to for a check of the paths: it takes requests, and
    /// its failure domain is not being evacuated.
    pub fn may_be_checked(&self, server: &Server) -> bool {
        server.state == ServerState::Ready
            && !self.endpoints.evacuations.is_evacuating(&server.failure_domain)
    }

    /// Returns the load from this process, and what it alone knows of the servers.
    pub fn own_loads(&self, now: Mono) -> Loads {
        let mut loads = self.endpoints.local_loads(now);
        let recent = self.own_leaving.iter().filter(|(_, (_, at))| now < *at + LEAVING_REPORT_TTL);
        for (id, (started_at_ms, _)) in recent {
            let leaving = Some(*started_at_ms);
            match loads.iter_mut().find(|(server, _)| server == id) {
                Some((_, load)) => load.leaving = leaving,
                None => loads.push((id.clone(), Load { leaving, ..Load::default() })),
            }
        }
        loads
    }

    /// Records that a server's report is missing.
    pub fn remove_server(&mut self, id: &str, now: Mono) {
        let Some(changed) = self.reports.report_missing(id, now) else { return };
        let has_endpoint_changed = self.update_endpoints(id, &changed);
        if !has_endpoint_changed && !self.logs_all_servers() {
            return;
        }
        if let Some(missing) = self.reports.missing().get(id) {
            log_missing_report(&missing.server);
        }
    }

    /// Adds the expected work of a request for a model, in seconds of its servers.
    pub fn record_work(&mut self, engine: &EngineSpec, generation: &GenerationRequest, now: Mono) {
        let Some(model) = engine.model(&generation.model) else { return };
        let (read, write) = engine.token_seconds();
        let answer = generation.likely_output_tokens();
        let group =
            (generation.prompt_tokens as f64 * read + answer as f64 * write) * model.time_factor;
        let aged = now.saturating_sub(self.work_at).as_secs_f64() / WORK_DECAY_TIME.as_secs_f64();
        self.work_at = now;
        for work in self.work.values_mut() {
            *work *= (-aged).exp();
        }
        *self.work.entry(generation.model.clone()).or_default() += group * model.group_size as f64;
    }

    /// Returns each model's share of the demand: that of the `fleet` where other processes report
    /// it, and else the recent work of this process.
    pub fn demand(
        &self,
        engine: &EngineSpec,
        fleet: &[ModelFleetDemand],
    ) -> BTreeMap<ModelId, f64> {
        let fleet = fleet.iter().map(|demand| (demand.model.clone(), demand.work)).collect();
        demand::shares(engine, &self.work, &fleet)
    }
}

/// Returns whether the records of both reports are the same, and both are of one instance.
fn shows_same(a: &Server, b: &Server) -> bool {
    (a.started_at_ms, a.state, &a.fabric) == (b.started_at_ms, b.state, &b.fabric)
        && (&a.membership, &a.model, &a.staged_models)
            == (&b.membership, &b.model, &b.staged_models)
}

fn log_report(server: &Server) {
    let membership = server.membership.as_ref();
    decision_log::write(&Record::Server {
        server: &server.id,
        state: if server.state == ServerState::Ready { "ready" } else { "draining" },
        fabric: server.fabric.as_deref().unwrap_or_default(),
        group: membership.map_or("", |m| &m.group),
        phase: &membership.map_or(String::new(), |m| format!("{:?}", m.phase)),
        model: server.model.as_deref().unwrap_or_default(),
        staged: &server.staged_models,
    });
}

fn log_missing_report(server: &Server) {
    decision_log::write(&Record::Server {
        server: &server.id,
        state: "missing",
        fabric: server.fabric.as_deref().unwrap_or_default(),
        group: "",
        phase: "",
        model: "",
        staged: &[],
    });
}
