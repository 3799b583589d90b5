//! Tests of the router: a property test over random events, and known failure cases.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::GroupId;
use base::prelude::Hlc;
use common::table;
use group::record::GroupState;
use group::view::GroupTable;
use proptest::prelude::*;
use route::prelude::*;
use route::quarantine::Crash;
use route::trial::TrialRequest;
use spec::resource::Limits;

const MS: Duration = Duration::from_millis(1);

fn router() -> Router {
    let settings = RouteSettings { group_slots: 2, queue_capacity: 3, ..Default::default() };
    Router::new("n1".into(), settings)
}

fn spec(request: u64, body: u64, now: Duration) -> RequestSpec {
    let mut spec = RequestSpec::new(request, "w", "m", "v", format!("prompt {body}").as_bytes());
    spec.deadline = now + 2000 * MS;
    spec.tokens = 10;
    spec
}

/// One random event: its kind, the request and an argument.
type Step = (usize, u64, usize);

/// A router, and the state that its actions are checked against.
struct Model {
    router: Router,
    groups: GroupTable,
    sent: BTreeMap<u64, GroupId>,
    open: BTreeSet<u64>,
    excluded: BTreeMap<u64, Vec<GroupId>>,
    attempts: BTreeMap<u64, u32>,
    quarantined: BTreeSet<u64>,
}

impl Model {
    fn step(&mut self, (kind, request, argument): Step, now: Duration) {
        let event = match kind {
            0..=3 if !self.open.contains(&request) => {
                self.open.insert(request);
                self.excluded.insert(request, Vec::new());
                self.attempts.insert(request, 0);
                RouteEvent::Submit(spec(request, request % 5, now))
            }
            4 | 5 if self.sent.contains_key(&request) => {
                self.sent.remove(&request);
                self.open.remove(&request);
                RouteEvent::Finished(request)
            }
            6 | 7 if self.sent.contains_key(&request) => return self.fail(request, argument, now),
            8 => {
                let group = &mut self.groups.groups[argument % 4];
                let broken = group.state == GroupState::Broken;
                group.generation += u64::from(broken);
                group.state = if broken { GroupState::Serving } else { GroupState::Broken };
                RouteEvent::Groups(self.groups.clone())
            }
            9 if self.open.remove(&request) => {
                self.sent.remove(&request);
                RouteEvent::Abandoned(request)
            }
            _ => RouteEvent::Tick,
        };
        self.decide(event, now);
    }

    /// Makes the attempt fail and submits the request again.
    fn fail(&mut self, request: u64, argument: usize, now: Duration) {
        let failures = [Failure::Crashed, Failure::Refused, Failure::NotSent, Failure::Interrupted];
        let group = self.sent.remove(&request).unwrap();
        self.decide(RouteEvent::Failed(request, failures[argument % 4]), now);
        if !self.open.contains(&request) {
            return;
        }
        let excluded = self.excluded.get_mut(&request).unwrap();
        excluded.push(group);
        let attempts = self.attempts.get_mut(&request).unwrap();
        *attempts += 1;
        let mut again = spec(request, request % 5, now);
        again.attempts = *attempts;
        again.excluded = excluded.clone();
        self.decide(RouteEvent::Submit(again), now);
    }

    fn decide(&mut self, event: RouteEvent, now: Duration) {
        for action in self.router.decide(event, now, 7) {
            match action {
                RouteAction::Send { request, group, generation, .. } => {
                    let view = self.groups.groups.iter().find(|view| view.id == group).unwrap();
                    assert!(view.is_routable(now), "{group} is not routable");
                    assert_eq!(view.generation, generation);
                    assert!(!self.excluded[&request].contains(&group), "{group} is excluded");
                    assert!(!self.quarantined.contains(&(request % 5)), "{request} is quarantined");
                    assert!(self.sent.insert(request, group).is_none(), "{request} is sent twice");
                }
                RouteAction::Refuse { request, refusal } => {
                    assert!(self.open.remove(&request), "{request} was refused twice");
                    assert!(
                        !self.sent.contains_key(&request),
                        "{request} is refused while it runs"
                    );
                    let is_final = refusal.reason == RefusalReason::Quarantined;
                    assert!(!is_final || refusal.retry_after.is_none());
                }
                RouteAction::RequestTrial { request, trial_request } => {
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
                RouteAction::PublishCrashHistory(history) => self.record_verdict(&history, now),
                RouteAction::Queued { .. }
                | RouteAction::PublishUsage(_)
                | RouteAction::Record(_) => {}
            }
            assert!(self.router.queued() <= 3, "the queue exceeds its capacity");
        }
    }

    fn record_verdict(&mut self, history: &CrashHistory, now: Duration) {
        let millis = self.router.wall_millis(now);
        let bodies = (0..5u64).filter(|body| {
            let fingerprint = spec(0, *body, now).fingerprint;
            fingerprint == history.fingerprint && history.verdict(millis) == Verdict::Quarantined
        });
        self.quarantined.extend(bodies);
    }
}

proptest! {
    #[test]
    fn a_request_is_sent_once_to_an_allowed_group_and_every_request_ends(
        steps in proptest::collection::vec((0usize..12, 1u64..12, 0usize..16), 1..300),
    ) {
        let groups = table(4, 0);
        let mut model = Model {
            router: router(),
            groups: groups.clone(),
            sent: BTreeMap::new(),
            open: BTreeSet::new(),
            excluded: BTreeMap::new(),
            attempts: BTreeMap::new(),
            quarantined: BTreeSet::new(),
        };
        model.decide(RouteEvent::Groups(groups), Duration::ZERO);
        let mut now = Duration::ZERO;
        for step in steps {
            now += 20 * MS;
            model.step(step, now);
        }
        for request in model.sent.clone().into_keys() {
            model.open.remove(&request);
            model.decide(RouteEvent::Finished(request), now);
        }
        // Requests that still wait are sent or refused by their deadlines, without being submitted
        // again.
        for _ in 0..30 {
            now += 100 * MS;
            model.decide(RouteEvent::Tick, now);
            for request in std::mem::take(&mut model.sent).into_keys() {
                model.open.remove(&request);
                model.decide(RouteEvent::Finished(request), now);
            }
        }
        prop_assert!(model.open.is_empty(), "these requests did not end: {:?}", model.open);
        prop_assert_eq!(model.router.requests(), 0);
    }
}

#[test]
fn a_request_that_cannot_finish_in_time_is_refused_at_once() {
    let mut router = router();
    router.decide(RouteEvent::Groups(table(1, 0)), Duration::ZERO, 0);
    let mut late = spec(1, 1, Duration::ZERO);
    late.deadline = 300 * MS;
    let actions = router.decide(RouteEvent::Submit(late), Duration::ZERO, 0);
    assert!(matches!(&actions[..], [RouteAction::Refuse { refusal, .. }]
        if refusal.reason == RefusalReason::Deadline));
}

#[test]
fn without_an_answer_from_the_coordinator_a_suspect_is_refused_with_a_retry_time() {
    let mut router = router();
    router.decide(RouteEvent::Groups(table(3, 0)), Duration::ZERO, 0);
    router.decide(RouteEvent::Submit(spec(1, 1, Duration::ZERO)), Duration::ZERO, 0);
    router.decide(RouteEvent::Failed(1, Failure::Crashed), MS, 0);
    let mut again = spec(1, 1, MS);
    again.attempts = 1;
    let requested = router.decide(RouteEvent::Submit(again), MS, 0);
    assert!(matches!(&requested[..], [RouteAction::RequestTrial { .. }]), "{requested:?}");
    let refused = router.decide(RouteEvent::TrialDecided(1, TrialDecision::NoAnswer), MS, 0);
    assert!(refused.iter().any(|action| matches!(action, RouteAction::Refuse { refusal, .. }
        if refusal.reason == RefusalReason::Suspect && refusal.retry_after.is_some())));
}

#[test]
fn a_request_needs_a_trial_permit_while_the_lease_of_its_first_choice_expired_recently() {
    let mut router = router();
    let mut groups = table(4, 0);
    router.decide(RouteEvent::Groups(groups.clone()), Duration::ZERO, 0);
    let sent = router.decide(RouteEvent::Submit(spec(1, 1, Duration::ZERO)), Duration::ZERO, 0);
    let [RouteAction::Send { group, .. }] = &sent[..] else { panic!("{sent:?}") };
    let first_choice = groups.groups.iter_mut().find(|view| view.id == *group).unwrap();
    first_choice.lease_expiry = 100 * MS;
    router.decide(RouteEvent::Groups(groups), MS, 0);
    let now = 200 * MS;
    let requested = router.decide(RouteEvent::Submit(spec(2, 1, now)), now, 0);
    assert!(matches!(&requested[..], [RouteAction::RequestTrial { .. }]), "{requested:?}");
    let now = Duration::from_secs(20);
    let later = router.decide(RouteEvent::Submit(spec(3, 1, now)), now, 0);
    assert!(matches!(&later[..], [RouteAction::Send { .. }]), "{later:?}");
}

#[test]
fn a_resent_request_needs_a_trial_permit_at_a_process_that_only_knows_its_first_choice_failed() {
    let mut informed = router();
    let mut other = Router::new("n2".into(), RouteSettings::default());
    let mut groups = table(4, 0);
    for router in [&mut informed, &mut other] {
        router.decide(RouteEvent::Groups(groups.clone()), Duration::ZERO, 0);
    }
    let sent = informed.decide(RouteEvent::Submit(spec(1, 1, Duration::ZERO)), Duration::ZERO, 0);
    let [RouteAction::Send { group, .. }] = &sent[..] else { panic!("{sent:?}") };
    let first_choice = groups.groups.iter_mut().find(|view| view.id == *group).unwrap();
    first_choice.state = GroupState::Broken;
    other.decide(RouteEvent::Groups(groups), MS, 0);
    let requested = other.decide(RouteEvent::Submit(spec(2, 1, MS)), MS, 0);
    assert!(matches!(&requested[..], [RouteAction::RequestTrial { .. }]), "{requested:?}");
}

#[test]
fn a_suspect_known_from_gossip_needs_a_trial_permit_even_if_its_first_choice_serves() {
    let mut router = router();
    router.decide(RouteEvent::Groups(table(3, 0)), Duration::ZERO, 0);
    let request = spec(1, 1, Duration::ZERO);
    let crash = Crash { at: Hlc { millis: 1, count: 0 }, group: "g9".into(), generation: 4 };
    let history = CrashHistory { crashes: vec![crash], ..CrashHistory::new(request.fingerprint) };
    router.decide(RouteEvent::PeerCrashHistory(history), MS, 0);
    let requested = router.decide(RouteEvent::Submit(request), MS, 0);
    assert!(matches!(&requested[..], [RouteAction::RequestTrial { .. }]), "{requested:?}");
}

#[test]
fn a_request_refused_for_its_deadline_does_not_use_up_the_rate_limit() {
    let mut router = router();
    router.decide(RouteEvent::Groups(table(1, 0)), Duration::ZERO, 0);
    let limits = Limits {
        requests_per_second: 0.1,
        burst: 1,
        concurrent: 10,
        tokens_per_second: 1000.0,
        share: 1.0,
    };
    let limits = RouteEvent::Limits(BTreeMap::from([("w".into(), limits)]));
    router.decide(limits, Duration::ZERO, 0);
    let mut late = spec(1, 1, Duration::ZERO);
    late.deadline = 100 * MS;
    router.decide(RouteEvent::Submit(late), Duration::ZERO, 0);
    let next = router.decide(RouteEvent::Submit(spec(2, 2, Duration::ZERO)), Duration::ZERO, 0);
    assert!(matches!(&next[..], [RouteAction::Send { .. }]), "{next:?}");
}

fn trial_request_from(node: &str) -> RouteEvent {
    let trial_request = TrialRequest {
        node: node.into(),
        model: "m".into(),
        version: "v".into(),
        adapter: None,
        excluded: Vec::new(),
        history: CrashHistory::new(7),
        time_to_deadline: Duration::from_secs(600),
    };
    RouteEvent::TrialRequested { correlation_id: 1, trial_request }
}

fn decision(actions: &[RouteAction]) -> &TrialDecision {
    let decision = actions.iter().find_map(|action| match action {
        RouteAction::AnswerTrial { decision, .. } => Some(decision),
        _ => None,
    });
    decision.expect("a trial request is answered")
}

#[test]
fn the_trial_of_a_dead_process_does_not_block_a_resent_request() {
    let mut router = router();
    let live = |nodes: &[&str]| RouteEvent::Peers {
        live: nodes.iter().map(|node| (*node).into()).collect(),
        known: 2,
    };
    router.decide(live(&["n2", "n3"]), MS, 0);
    let first = router.decide(trial_request_from("n2"), MS, 0);
    assert!(matches!(decision(&first), TrialDecision::Run { .. }), "{first:?}");
    let second = router.decide(trial_request_from("n3"), 2 * MS, 0);
    assert!(matches!(decision(&second), TrialDecision::Wait { .. }), "{second:?}");
    router.decide(live(&["n3"]), 3 * MS, 0);
    let third = router.decide(trial_request_from("n3"), 4 * MS, 0);
    assert!(matches!(decision(&third), TrialDecision::Run { .. }), "{third:?}");
}

#[test]
fn a_queued_request_without_groups_is_refused_at_once() {
    let mut router = router();
    router.decide(RouteEvent::Groups(table(1, 0)), MS, 0);
    for request in 0..3 {
        let mut spec = spec(request, request, MS);
        spec.deadline = Duration::from_secs(600);
        router.decide(RouteEvent::Submit(spec), MS, 0);
    }
    router.decide(RouteEvent::Groups(GroupTable::default()), 2 * MS, 0);
    let actions = router.decide(RouteEvent::Tick, 3 * MS, 0);
    let refused = actions.iter().any(|action| {
        matches!(action, RouteAction::Refuse { request: 2, refusal }
            if refusal.reason == RefusalReason::NoGroup)
    });
    assert!(refused, "{actions:?}");
}
