//! Runs the router: feeds it messages, views and ticks, and carries out its actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use base::prelude::*;
use config::prelude::Settings;
use group::view::GroupTable;
use kernel::prelude::*;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use rand::Rng;
use relay::prelude::Failure;
use route::prelude::Failure as AttemptFailure;
use route::prelude::*;
use route::request;
use spec::prelude::Catalog;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::entry::request::DEFAULT_PRIORITY;
use crate::metrics::Metrics;
use crate::metrics::counters;
use crate::metrics::gauge;
use crate::names;
use crate::route::AttemptOutcome;
use crate::route::AttemptReport;
use crate::route::Picked;
use crate::route::RouteMessage;
use crate::route::Target;
use crate::route::peers::FromPeer;
use crate::route::peers::ToPeers;
use crate::route::quarantine_api::QuarantineEntry;

/// Time between ticks.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Time within which the coordinator must decide on a trial request.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Initial value of the average number of tokens in an answer.
const FIRST_EXPECTED_TOKENS: f64 = 16.0;
/// Weight of a new answer in the exponential moving average of answer lengths.
const LENGTH_WEIGHT: f64 = 0.05;

type Reply = oneshot::Sender<Picked>;

/// The router with its inputs, outputs and metrics.
pub struct Shell {
    cx: Context,
    router: Router,
    /// Requests whose selection is not decided yet.
    pending_picks: HashMap<RequestId, Reply>,
    /// Trial requests that this process has to decide as coordinator, by correlation id.
    trial_replies: HashMap<u64, oneshot::Sender<TrialDecision>>,
    last_correlation_id: u64,
    /// Exponential moving average of the number of tokens in complete answers.
    expected_tokens: f64,
    refusals: IntCounterVec,
    queued: IntGauge,
    held: IntGauge,
}

impl Shell {
    /// Creates a shell whose router knows no groups yet.
    pub fn new(cx: Context, settings: &Settings, metrics: &Metrics) -> Self {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let route_settings = RouteSettings {
            group_slots: settings.requests.group_slots,
            queue_capacity: settings.requests.max_queued,
            retry_fraction: settings.requests.retry_fraction,
            wall_millis_at_start: since_1970.saturating_sub(cx.now()).as_millis() as u64,
            boot: cx.boot(),
            ..RouteSettings::default()
        };
        let registry = metrics.registry();
        Shell {
            router: Router::new(cx.node().clone(), route_settings),
            pending_picks: HashMap::new(),
            trial_replies: HashMap::new(),
            last_correlation_id: 0,
            expected_tokens: FIRST_EXPECTED_TOKENS,
            refusals: counters(
                registry,
                "samphire_route_refusals_total",
                "Attempts that routing refused, by reason.",
                &["reason"],
            ),
            queued: gauge(registry, "samphire_queued", "Requests that wait for a group."),
            held: gauge(registry, "samphire_held", "Suspect and quarantined requests."),
            cx,
        }
    }

    /// Runs until the service is stopped.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<RouteMessage>,
        mut groups: watch::Receiver<Arc<GroupTable>>,
        mut catalog: watch::Receiver<Arc<Catalog>>,
    ) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        let stop = self.cx.stop_token();
        groups.mark_changed();
        catalog.mark_changed();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                Ok(()) = groups.changed() => {
                    let table = GroupTable::clone(&groups.borrow_and_update());
                    self.decide(RouteEvent::Groups(table));
                }
                Ok(()) = catalog.changed() => {
                    let limits = limits(&catalog.borrow_and_update());
                    self.decide(RouteEvent::Limits(limits));
                }
                _ = ticks.tick() => self.tick(),
                message = inbox.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        self.decide(RouteEvent::Tick);
        self.queued.set(self.router.queued() as i64);
        self.held.set(self.quarantine_entries().len() as i64);
    }

    fn handle(&mut self, message: RouteMessage) {
        match message {
            RouteMessage::Pick { spec, reply } => {
                self.pending_picks.insert(spec.request, reply);
                let mut spec = request_spec(&spec);
                spec.tokens = spec.tokens.min(self.expected_tokens.ceil() as u32);
                self.decide(RouteEvent::Submit(spec));
            }
            RouteMessage::AttemptEnded(report) => self.attempt_ended(&report),
            RouteMessage::RequestEnded(request) => {
                self.pending_picks.remove(&request);
                self.decide(RouteEvent::Abandoned(request));
            }
            RouteMessage::Peer(update) => self.apply_peer_update(update),
            RouteMessage::ListQuarantine(reply) => {
                // The operator's request may have been cancelled.
                let _ = reply.send(self.quarantine_entries());
            }
            RouteMessage::LiftQuarantine { fingerprint, reply } => {
                let millis = self.router.wall_millis(self.cx.now());
                let verdict = self.router.quarantine().verdict(fingerprint, millis);
                self.decide(RouteEvent::LiftQuarantine(fingerprint));
                let _ = reply.send(verdict != Verdict::Clear);
            }
        }
    }

    fn quarantine_entries(&self) -> Vec<QuarantineEntry> {
        let millis = self.router.wall_millis(self.cx.now());
        let requests = self.router.quarantine().list(millis);
        requests.iter().map(|(history, verdict)| QuarantineEntry::new(history, *verdict)).collect()
    }

    fn attempt_ended(&mut self, report: &AttemptReport) {
        let request = report.request;
        if report.outcome == AttemptOutcome::Done {
            let change = f64::from(report.pieces) - self.expected_tokens;
            self.expected_tokens += LENGTH_WEIGHT * change;
        }
        if let Some(first_token) = report.first_token {
            let (tokens, streaming) = (report.pieces, report.streaming);
            self.decide(RouteEvent::Measured { request, first_token, tokens, streaming });
        }
        self.decide(match report.outcome {
            AttemptOutcome::Done => RouteEvent::Finished(request),
            AttemptOutcome::NotSent => RouteEvent::Failed(request, AttemptFailure::NotSent),
            AttemptOutcome::Refused => RouteEvent::Failed(request, AttemptFailure::Refused),
            AttemptOutcome::Broken => RouteEvent::Failed(request, AttemptFailure::Interrupted),
            AttemptOutcome::Crashed => RouteEvent::Failed(request, AttemptFailure::Crashed),
        });
    }

    fn apply_peer_update(&mut self, update: FromPeer) {
        let event = match update {
            FromPeer::CrashHistory(history) => RouteEvent::PeerCrashHistory(history),
            FromPeer::Usage(report) => RouteEvent::PeerUsage(report),
            FromPeer::Peers { live, known } => RouteEvent::Peers { live, known },
            FromPeer::TrialReleased(history) => RouteEvent::TrialReleased(history),
            FromPeer::TrialDecided { request, decision } => {
                RouteEvent::TrialDecided(request, decision)
            }
            FromPeer::TrialRequested { trial_request, reply } => {
                self.last_correlation_id += 1;
                self.trial_replies.insert(self.last_correlation_id, reply);
                RouteEvent::TrialRequested {
                    correlation_id: self.last_correlation_id,
                    trial_request,
                }
            }
        };
        self.decide(event);
    }

    fn decide(&mut self, event: RouteEvent) {
        let draw = rand::rng().random();
        for action in self.router.decide(event, self.cx.now(), draw) {
            self.act(action);
        }
    }

    fn act(&mut self, action: RouteAction) {
        match action {
            RouteAction::Send { request, group, generation, leader, wait } => {
                let target = Target { group, generation, leader };
                self.answer(request, Picked::Group(target), wait);
            }
            RouteAction::Refuse { request, refusal } => {
                let (name, failure) = describe_refusal(refusal.reason);
                self.refusals.with_label_values(&[name]).inc();
                let retry_after = refusal.retry_after;
                self.answer(request, Picked::Refused { failure, retry_after }, Duration::ZERO);
            }
            RouteAction::Queued { request, wait } => {
                log::debug!("request {request} is queued; estimated wait {wait:?}");
            }
            RouteAction::RequestTrial { request, trial_request } => {
                self.request_trial(request, trial_request)
            }
            RouteAction::AnswerTrial { correlation_id, decision } => {
                if let Some(reply) = self.trial_replies.remove(&correlation_id) {
                    // The process that sent the trial request may have stopped waiting.
                    let _ = reply.send(decision);
                }
            }
            RouteAction::ReleaseTrial { model, version, history } => {
                if let Some(ToPeers::ReleaseTrial { history, .. }) =
                    self.send_to_peers(ToPeers::ReleaseTrial { model, version, history })
                {
                    self.decide(RouteEvent::TrialReleased(history));
                }
            }
            RouteAction::PublishCrashHistory(history) => {
                drop(self.send_to_peers(ToPeers::CrashHistory(history)))
            }
            RouteAction::PublishUsage(report) => drop(self.send_to_peers(ToPeers::Usage(report))),
            RouteAction::Record(event) => self.cx.record(event),
        }
    }

    fn answer(&mut self, request: RequestId, picked: Picked, wait: Duration) {
        let Some(reply) = self.pending_picks.remove(&request) else { return };
        if wait.is_zero() {
            // The request may have been abandoned meanwhile.
            let _ = reply.send(picked);
            return;
        }
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = reply.send(picked);
        });
    }

    /// Sends a trial request to the coordinator, which may be this process. The decision arrives
    /// as a [`FromPeer::TrialDecided`]; without an answer in time it is
    /// [`TrialDecision::NoAnswer`].
    fn request_trial(&mut self, request: RequestId, trial_request: route::trial::TrialRequest) {
        let (tx, rx) = oneshot::channel();
        if let Some(ToPeers::RequestTrial { trial_request, reply }) =
            self.send_to_peers(ToPeers::RequestTrial { trial_request, reply: tx })
        {
            self.apply_peer_update(FromPeer::TrialRequested { trial_request, reply });
        }
        let Ok(route) = self.cx.sender::<RouteMessage>(names::ROUTE) else { return };
        tokio::spawn(async move {
            let answer = tokio::time::timeout(TRIAL_TIMEOUT, rx).await;
            let decision = answer.ok().and_then(Result::ok).unwrap_or(TrialDecision::NoAnswer);
            let update = FromPeer::TrialDecided { request, decision };
            // The service may have ended.
            let _ = route.send(RouteMessage::Peer(update)).await;
        });
    }

    /// Passes an update to the exchange service. Returns it if that service is not running or its
    /// mailbox is full.
    fn send_to_peers(&self, update: ToPeers) -> Option<ToPeers> {
        match self.cx.sender::<ToPeers>(names::ROUTE_EXCHANGE) {
            Ok(peers) => peers.try_send(update).err().map(TrySendError::into_inner),
            Err(_) => Some(update),
        }
    }
}

fn request_spec(spec: &crate::route::AttemptSpec) -> RequestSpec {
    RequestSpec {
        request: spec.request,
        workspace: spec.workspace.clone(),
        model: spec.model.clone(),
        version: spec.version.clone(),
        adapter: spec.adapter.clone(),
        prefix: request::prefix_hashes(spec.prompt.as_bytes()),
        fingerprint: spec.fingerprint,
        priority: priority(spec.priority),
        deadline: spec.deadline,
        tokens: spec.max_tokens,
        excluded: spec.exclude.clone(),
        attempts: spec.attempts,
        // The executor asks for a further attempt only if the request may run again.
        repeatable: true,
    }
}

fn priority(number: u8) -> Priority {
    match number.cmp(&DEFAULT_PRIORITY) {
        std::cmp::Ordering::Less => Priority::Low,
        std::cmp::Ordering::Equal => Priority::Normal,
        std::cmp::Ordering::Greater => Priority::High,
    }
}

fn limits(catalog: &Catalog) -> WorkspaceLimits {
    let rows = catalog.workspaces.iter().filter_map(|(name, workspace)| {
        let limits = catalog.limits.get(workspace.limits.as_deref()?)?;
        Some((WorkspaceId::from(name), limits.clone()))
    });
    rows.collect()
}

/// Returns the name of the reason in metrics, and the failure reported to the caller.
fn describe_refusal(reason: RefusalReason) -> (&'static str, Failure) {
    match reason {
        RefusalReason::NoGroup => ("no_group", Failure::NoGroup),
        RefusalReason::Rate => ("rate", Failure::Limited),
        RefusalReason::Concurrency => ("concurrency", Failure::Limited),
        RefusalReason::Tokens => ("tokens", Failure::Limited),
        RefusalReason::Overload => ("overload", Failure::Overloaded),
        RefusalReason::QueueFull => ("queue_full", Failure::Overloaded),
        RefusalReason::Deadline => ("deadline", Failure::Deadline),
        RefusalReason::NoRetry => ("no_retry", Failure::RetryBudget),
        RefusalReason::Quarantined => ("quarantined", Failure::Quarantined),
        RefusalReason::Suspect => ("suspect", Failure::Suspect),
    }
}
