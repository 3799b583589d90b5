//! Replay of recorded traces through a router.
//!
//! A trace consists of [`TraceEvent`]s and [`Expectation`]s. The replayed router coordinates its
//! own trials, so a trial request is answered at once. Expectations state the status of a request,
//! or how many attempts each group got.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;
use base::trace::Step;
use base::trace::StepKind;
use base::trace::Trace;
use group::record::GroupState;
use group::view::GroupTable;
use group::view::GroupView;

use crate::limits::WorkspaceLimits;
use crate::quarantine::Verdict;
use crate::request::Priority;
use crate::request::RefusalReason;
use crate::request::RequestSpec;
use crate::router::Failure;
use crate::router::RouteAction;
use crate::router::RouteEvent;
use crate::router::RouteSettings;
use crate::router::Router;

/// Seed of the random numbers of a replay.
const RANDOM_SEED: u64 = 20_261_203;

/// A group of a trace. All groups serve version `v` of model `m`.
#[wire]
pub struct TraceGroup {
    id: GroupId,
    #[serde(default = "default_state")]
    state: GroupState,
    #[serde(default)]
    generation: Generation,
    #[serde(default = "unlimited")]
    vouched_until_ms: u64,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    running: u32,
}

fn default_state() -> GroupState {
    GroupState::Serving
}

fn unlimited() -> u64 {
    u64::MAX
}

/// One or more requests that are submitted.
#[wire]
pub struct TraceAsk {
    /// The id of the first request; those of the others follow it.
    request: RequestId,
    #[serde(default = "default_count")]
    count: u64,
    #[serde(default = "default_workspace")]
    workspace: WorkspaceId,
    /// The prompt; requests with the same prompt have the same fingerprint. If `count` is not 1,
    /// the index of the request is appended.
    prompt: Box<str>,
    #[serde(default)]
    priority: Priority,
    /// The deadline on the clock of the trace.
    #[serde(default = "default_deadline_ms")]
    deadline_ms: u64,
    #[serde(default = "default_tokens")]
    tokens: u32,
    #[serde(default)]
    attempts: u32,
    #[serde(default)]
    excluded: Vec<GroupId>,
    #[serde(default = "default_repeatable")]
    repeatable: bool,
}

fn default_count() -> u64 {
    1
}

fn default_workspace() -> WorkspaceId {
    "w".into()
}

fn default_deadline_ms() -> u64 {
    600_000
}

fn default_tokens() -> u32 {
    10
}

fn default_repeatable() -> bool {
    true
}

/// An event of a trace.
#[wire]
#[serde(rename_all = "snake_case")]
pub enum TraceEvent {
    /// The router is replaced by a new one with these settings.
    Settings(RouteSettings),
    /// The current limits.
    Limits(WorkspaceLimits),
    /// The current group table.
    Groups(Vec<TraceGroup>),
    /// Requests are submitted.
    Ask(TraceAsk),
    /// The first token of each of these requests arrived.
    FirstToken(Vec<RequestId>),
    /// One more token of each of these requests arrived.
    Token(Vec<RequestId>),
    /// These requests were answered.
    Finished(Vec<RequestId>),
    /// The attempts of these requests failed.
    Failed {
        /// The requests.
        requests: Vec<RequestId>,
        /// How they failed.
        failure: Failure,
    },
    /// Time passed.
    Tick {},
}

/// The status of a request.
#[key]
pub enum RequestStatus {
    /// Sent to a group and in progress.
    Sent,
    /// Queued.
    Queued,
    /// Waits for a trial permit.
    #[serde(rename = "waiting")]
    AwaitingTrial,
    /// Answered.
    Finished,
    /// Its attempt failed and it has not been submitted again.
    Failed,
    /// Refused.
    Refused,
}

/// An expectation of a trace. Absent fields are not checked.
#[wire]
pub struct Expectation {
    #[serde(default)]
    request: Option<RequestId>,
    #[serde(default)]
    standing: Option<RequestStatus>,
    #[serde(default)]
    group: Option<GroupId>,
    #[serde(default)]
    reason: Option<RefusalReason>,
    #[serde(default)]
    verdict: Option<Verdict>,
    /// The minimum number of attempts that the group got.
    #[serde(default)]
    sent_at_least: Option<u64>,
    /// The maximum number of attempts that the group got.
    #[serde(default)]
    sent_at_most: Option<u64>,
    /// The minimum number of requests that were refused for `reason`.
    #[serde(default)]
    refused_at_least: Option<u64>,
    /// The maximum number of requests that were refused for `reason`.
    #[serde(default)]
    refused_at_most: Option<u64>,
}

#[derive(Default)]
struct ObservedRequest {
    standing: Option<RequestStatus>,
    group: Option<GroupId>,
    reason: Option<RefusalReason>,
    fingerprint: u64,
}

struct Replay {
    router: Router,
    random: u64,
    observed: BTreeMap<RequestId, ObservedRequest>,
    sent: BTreeMap<GroupId, u64>,
    refused: BTreeMap<RefusalReason, u64>,
}

/// Replays a trace.
///
/// # Errors
///
/// Returns the expectations that did not hold.
pub fn replay(trace: &Trace) -> Result<(), Findings> {
    let mut findings = Findings::default();
    let mut replay = Replay::new(RouteSettings::default());
    for step in &trace.steps {
        match step.kind {
            StepKind::Event => {
                if let Some(event) = step.read::<TraceEvent>(&mut findings) {
                    replay.event(event, step.at);
                }
            }
            StepKind::Expect => {
                if let Some(expected) = step.read::<Expectation>(&mut findings) {
                    replay.check(&expected, step, &mut findings);
                }
            }
        }
    }
    findings.into_result(())
}

impl Replay {
    fn new(settings: RouteSettings) -> Self {
        Replay {
            router: Router::new("replay".into(), settings),
            random: RANDOM_SEED,
            observed: BTreeMap::new(),
            sent: BTreeMap::new(),
            refused: BTreeMap::new(),
        }
    }

    fn event(&mut self, event: TraceEvent, now: Mono) {
        match event {
            TraceEvent::Settings(settings) => *self = Replay::new(settings),
            TraceEvent::Limits(limits) => self.decide(RouteEvent::Limits(limits), now),
            TraceEvent::Groups(groups) => {
                let groups = groups.into_iter().map(|group| view(group, now)).collect();
                self.decide(RouteEvent::Groups(GroupTable { groups }), now);
            }
            TraceEvent::Ask(ask) => specs(&ask).into_iter().for_each(|spec| {
                self.observe(spec.request).fingerprint = spec.fingerprint;
                self.decide(RouteEvent::Submit(spec), now);
            }),
            TraceEvent::FirstToken(requests) => {
                requests.into_iter().for_each(|id| self.decide(RouteEvent::FirstToken(id), now));
            }
            TraceEvent::Token(requests) => {
                requests.into_iter().for_each(|id| self.decide(RouteEvent::Tokens(id, 1), now));
            }
            TraceEvent::Finished(requests) => requests.into_iter().for_each(|id| {
                self.observe(id).standing = Some(RequestStatus::Finished);
                self.decide(RouteEvent::Finished(id), now);
            }),
            TraceEvent::Failed { requests, failure } => requests.into_iter().for_each(|id| {
                self.observe(id).standing = Some(RequestStatus::Failed);
                self.decide(RouteEvent::Failed(id, failure), now);
            }),
            TraceEvent::Tick {} => self.decide(RouteEvent::Tick, now),
        }
    }

    fn decide(&mut self, event: RouteEvent, now: Mono) {
        self.random = base::hash::stable(&self.random.to_le_bytes());
        for action in self.router.decide(event, now, self.random) {
            self.act(action, now);
        }
    }

    fn act(&mut self, action: RouteAction, now: Mono) {
        match action {
            RouteAction::Send { request, group, .. } => {
                *self.sent.entry(group.clone()).or_default() += 1;
                let observed = self.observe(request);
                observed.standing = Some(RequestStatus::Sent);
                observed.group = Some(group);
            }
            RouteAction::Queued { request, .. } => {
                self.observe(request).standing = Some(RequestStatus::Queued);
            }
            RouteAction::Refuse { request, refusal } => {
                *self.refused.entry(refusal.reason).or_default() += 1;
                let observed = self.observe(request);
                observed.standing = Some(RequestStatus::Refused);
                observed.reason = Some(refusal.reason);
            }
            RouteAction::RequestTrial { request, trial_request } => {
                self.observe(request).standing = Some(RequestStatus::AwaitingTrial);
                self.decide(
                    RouteEvent::TrialRequested { correlation_id: request, trial_request },
                    now,
                );
            }
            RouteAction::AnswerTrial { correlation_id, decision } => {
                self.decide(RouteEvent::TrialDecided(correlation_id, decision), now);
            }
            RouteAction::ReleaseTrial { history, .. } => {
                self.decide(RouteEvent::TrialReleased(history), now);
            }
            RouteAction::PublishCrashHistory(_)
            | RouteAction::PublishUsage(_)
            | RouteAction::Record(_) => {}
        }
    }

    fn observe(&mut self, request: RequestId) -> &mut ObservedRequest {
        self.observed.entry(request).or_default()
    }

    fn check(&mut self, expected: &Expectation, step: &Step, findings: &mut Findings) {
        let place = step.place();
        if let Some(request) = expected.request {
            self.check_request(request, expected, step, findings);
        } else if let Some(group) = &expected.group {
            let sent = self.sent.get(group).copied().unwrap_or(0);
            check_range(sent, expected.sent_at_least, expected.sent_at_most, &place, findings);
        } else if let Some(reason) = &expected.reason {
            let refused = self.refused.get(reason).copied().unwrap_or(0);
            let (least, most) = (expected.refused_at_least, expected.refused_at_most);
            check_range(refused, least, most, &place, findings);
        } else {
            findings.add(place, "the expectation names no request, group or reason");
        }
    }

    fn check_request(
        &mut self,
        request: RequestId,
        expected: &Expectation,
        step: &Step,
        findings: &mut Findings,
    ) {
        let place = step.place();
        let millis = self.router.wall_millis(step.at);
        let Some(observed) = self.observed.get(&request) else {
            return findings.add(place, format!("request {request} was not submitted"));
        };
        let verdict = self.router.quarantine().verdict(observed.fingerprint, millis);
        check_equal(&expected.standing, &observed.standing, &place, findings);
        check_equal(&expected.group, &observed.group, &place, findings);
        check_equal(&expected.reason, &observed.reason, &place, findings);
        check_equal(&expected.verdict, &Some(verdict), &place, findings);
    }
}

fn check_equal<T: PartialEq + std::fmt::Debug>(
    expected: &Option<T>,
    seen: &Option<T>,
    place: &str,
    findings: &mut Findings,
) {
    findings.check(expected.is_none() || expected == seen, place, || {
        format!("expected {expected:?}, found {seen:?}")
    });
}

fn check_range(
    found: u64,
    least: Option<u64>,
    most: Option<u64>,
    place: &str,
    findings: &mut Findings,
) {
    let range = least.unwrap_or(0)..=most.unwrap_or(u64::MAX);
    findings
        .check(range.contains(&found), place, || format!("found {found}, allowed is {range:?}"));
}

fn view(group: TraceGroup, now: Mono) -> GroupView {
    GroupView {
        id: group.id,
        model: "m".into(),
        version: "v".into(),
        adapters: Vec::new(),
        generation: group.generation,
        state: group.state,
        leader: SocketAddr::from(([127, 0, 0, 1], 1)),
        lease_expiry: Duration::from_millis(group.vouched_until_ms),
        queued: group.queued,
        running: group.running,
        reported_at: now,
    }
}

fn specs(ask: &TraceAsk) -> Vec<RequestSpec> {
    let make = |index: u64| {
        let request = ask.request + index;
        let prompt = match ask.count {
            1 => ask.prompt.to_string(),
            _ => format!("{} {index}", ask.prompt),
        };
        let mut spec = RequestSpec::new(request, &ask.workspace, "m", "v", prompt.as_bytes());
        spec.priority = ask.priority;
        spec.deadline = Duration::from_millis(ask.deadline_ms);
        spec.tokens = ask.tokens;
        spec.attempts = ask.attempts;
        spec.excluded = ask.excluded.clone();
        spec.repeatable = ask.repeatable;
        spec
    };
    (0..ask.count).map(make).collect()
}
