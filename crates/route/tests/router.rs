//! Tests of the router's decisions as a whole.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::GroupId;
use base::prelude::Hlc;
use common::table;
use group::record::GroupState;
use group::view::GroupTable;
use proptest::prelude::*;
use route::poison::Crash;
use route::prelude::*;
use route::trial::TrialAsk;
use spec::resource::Limits;

const MS: Duration = Duration::from_millis(1);

fn router() -> Router {
    let settings = RouteSettings { group_slots: 2, queue_capacity: 3, ..Default::default() };
    Router::new("n1".into(), settings)
}

fn need(request: u64, body: u64, now: Duration) -> Need {
    let mut need = Need::new(request, "w", "m", "v", format!("prompt {body}").as_bytes());
    need.deadline = now + 2000 * MS;
    need.tokens = 10;
    need
}

/// One random step: `(kind, request, argument)`.
type Step = (usize, u64, usize);

struct Model {
    router: Router,
    groups: GroupTable,
    sent: BTreeMap<u64, GroupId>,
    open: BTreeSet<u64>,
    excluded: BTreeMap<u64, Vec<GroupId>>,
    attempts: BTreeMap<u64, u32>,
    convicted: BTreeSet<u64>,
}

impl Model {
    fn step(&mut self, (kind, request, argument): Step, now: Duration) {
        let event = match kind {
            0..=3 if !self.open.contains(&request) => {
                self.open.insert(request);
                self.excluded.insert(request, Vec::new());
                self.attempts.insert(request, 0);
                RouteEvent::Ask(need(request, request % 5, now))
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
                RouteEvent::View(self.groups.clone())
            }
            9 if self.open.remove(&request) => {
                self.sent.remove(&request);
                RouteEvent::GaveUp(request)
            }
            _ => RouteEvent::Tick,
        };
        self.decide(event, now);
    }

    /// Lets the attempt fail and asks for another one.
    fn fail(&mut self, request: u64, argument: usize, now: Duration) {
        let failures = [Failure::Crashed, Failure::Refused, Failure::NotSent, Failure::Silent];
        let group = self.sent.remove(&request).unwrap();
        self.decide(RouteEvent::Failed(request, failures[argument % 4]), now);
        if !self.open.contains(&request) {
            return;
        }
        let excluded = self.excluded.get_mut(&request).unwrap();
        excluded.push(group);
        let attempts = self.attempts.get_mut(&request).unwrap();
        *attempts += 1;
        let mut again = need(request, request % 5, now);
        again.attempts = *attempts;
        again.excluded = excluded.clone();
        self.decide(RouteEvent::Ask(again), now);
    }

    fn decide(&mut self, event: RouteEvent, now: Duration) {
        for action in self.router.decide(event, now, 7) {
            match action {
                RouteAction::Send { request, group, generation, .. } => {
                    let view = self.groups.groups.iter().find(|view| view.id == group).unwrap();
                    assert!(view.is_routable(now), "{group} is not routable");
                    assert_eq!(view.generation, generation);
                    assert!(!self.excluded[&request].contains(&group), "{group} is excluded");
                    assert!(!self.convicted.contains(&(request % 5)), "{request} is convicted");
                    assert!(self.sent.insert(request, group).is_none(), "{request} runs twice");
                }
                RouteAction::Refuse { request, refusal } => {
                    assert!(self.open.remove(&request), "{request} was refused twice");
                    assert!(!self.sent.contains_key(&request), "{request} runs and is refused");
                    let is_final = refusal.reason == RefusalReason::Quarantined;
                    assert!(!is_final || refusal.retry_after.is_none());
                }
                RouteAction::AskTrial { request, ask } => {
                    self.decide(RouteEvent::TrialAsked { ask_id: request, ask }, now);
                }
                RouteAction::Grant { ask_id, grant } => {
                    self.decide(RouteEvent::Granted(ask_id, grant), now);
                }
                RouteAction::Release { fact, .. } => {
                    self.decide(RouteEvent::Released(fact), now);
                }
                RouteAction::SpreadPoison(fact) => self.note_verdict(&fact, now),
                RouteAction::Queued { .. }
                | RouteAction::SpreadUsage(_)
                | RouteAction::Record(_) => {}
            }
            assert!(self.router.queued() <= 3, "the queue is above its bound");
        }
    }

    fn note_verdict(&mut self, fact: &PoisonFact, now: Duration) {
        let millis = self.router.wall_millis(now);
        let bodies = (0..5u64).filter(|body| {
            let fingerprint = need(0, *body, now).fingerprint;
            fingerprint == fact.fingerprint && fact.verdict(millis) == Verdict::Convicted
        });
        self.convicted.extend(bodies);
    }
}

proptest! {
    #[test]
    fn only_allowed_groups_get_a_request_once_and_every_request_ends(
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
            convicted: BTreeSet::new(),
        };
        model.decide(RouteEvent::View(groups), Duration::ZERO);
        let mut now = Duration::ZERO;
        for step in steps {
            now += 20 * MS;
            model.step(step, now);
        }
        for request in model.sent.clone().into_keys() {
            model.open.remove(&request);
            model.decide(RouteEvent::Finished(request), now);
        }
        // Whatever still waits is sent or refused by its deadline, without a further ask.
        for _ in 0..30 {
            now += 100 * MS;
            model.decide(RouteEvent::Tick, now);
            for request in std::mem::take(&mut model.sent).into_keys() {
                model.open.remove(&request);
                model.decide(RouteEvent::Finished(request), now);
            }
        }
        prop_assert!(model.open.is_empty(), "left over: {:?}", model.open);
        prop_assert_eq!(model.router.requests(), 0);
    }
}

#[test]
fn what_cannot_end_in_time_is_refused_at_once() {
    let mut router = router();
    router.decide(RouteEvent::View(table(1, 0)), Duration::ZERO, 0);
    let mut late = need(1, 1, Duration::ZERO);
    late.deadline = 300 * MS;
    let actions = router.decide(RouteEvent::Ask(late), Duration::ZERO, 0);
    assert!(matches!(&actions[..], [RouteAction::Refuse { refusal, .. }]
        if refusal.reason == RefusalReason::Deadline));
}

#[test]
fn without_an_answer_of_the_coordinator_a_suspect_is_refused_at_once_with_a_time() {
    let mut router = router();
    router.decide(RouteEvent::View(table(3, 0)), Duration::ZERO, 0);
    router.decide(RouteEvent::Ask(need(1, 1, Duration::ZERO)), Duration::ZERO, 0);
    router.decide(RouteEvent::Failed(1, Failure::Crashed), MS, 0);
    let mut again = need(1, 1, MS);
    again.attempts = 1;
    let asked = router.decide(RouteEvent::Ask(again), MS, 0);
    assert!(matches!(&asked[..], [RouteAction::AskTrial { .. }]), "{asked:?}");
    let refused = router.decide(RouteEvent::Granted(1, Grant::NoAnswer), MS, 0);
    assert!(refused.iter().any(|action| matches!(action, RouteAction::Refuse { refusal, .. }
        if refusal.reason == RefusalReason::Suspect && refusal.retry_after.is_some())));
}

#[test]
fn a_request_whose_first_choice_has_just_lapsed_needs_permission() {
    let mut router = router();
    let mut groups = table(4, 0);
    router.decide(RouteEvent::View(groups.clone()), Duration::ZERO, 0);
    let sent = router.decide(RouteEvent::Ask(need(1, 1, Duration::ZERO)), Duration::ZERO, 0);
    let [RouteAction::Send { group, .. }] = &sent[..] else { panic!("{sent:?}") };
    let home = groups.groups.iter_mut().find(|view| view.id == *group).unwrap();
    home.vouched_until = 100 * MS;
    router.decide(RouteEvent::View(groups), MS, 0);
    let now = 200 * MS;
    let asked = router.decide(RouteEvent::Ask(need(2, 1, now)), now, 0);
    assert!(matches!(&asked[..], [RouteAction::AskTrial { .. }]), "{asked:?}");
    let now = Duration::from_secs(20);
    let later = router.decide(RouteEvent::Ask(need(3, 1, now)), now, 0);
    assert!(matches!(&later[..], [RouteAction::Send { .. }]), "{later:?}");
}

#[test]
fn a_resend_to_a_process_without_the_facts_asks_because_its_first_choice_is_gone() {
    let mut informed = router();
    let mut other = Router::new("n2".into(), RouteSettings::default());
    let mut groups = table(4, 0);
    for router in [&mut informed, &mut other] {
        router.decide(RouteEvent::View(groups.clone()), Duration::ZERO, 0);
    }
    let sent = informed.decide(RouteEvent::Ask(need(1, 1, Duration::ZERO)), Duration::ZERO, 0);
    let [RouteAction::Send { group, .. }] = &sent[..] else { panic!("{sent:?}") };
    let home = groups.groups.iter_mut().find(|view| view.id == *group).unwrap();
    home.state = GroupState::Broken;
    other.decide(RouteEvent::View(groups), MS, 0);
    let asked = other.decide(RouteEvent::Ask(need(2, 1, MS)), MS, 0);
    assert!(matches!(&asked[..], [RouteAction::AskTrial { .. }]), "{asked:?}");
}

#[test]
fn a_suspect_known_from_gossip_needs_permission_though_its_first_choice_serves() {
    let mut router = router();
    router.decide(RouteEvent::View(table(3, 0)), Duration::ZERO, 0);
    let request = need(1, 1, Duration::ZERO);
    let crash = Crash { at: Hlc { millis: 1, count: 0 }, group: "g9".into(), generation: 4 };
    let fact = PoisonFact { crashes: vec![crash], ..PoisonFact::new(request.fingerprint) };
    router.decide(RouteEvent::Poison(fact), MS, 0);
    let asked = router.decide(RouteEvent::Ask(request), MS, 0);
    assert!(matches!(&asked[..], [RouteAction::AskTrial { .. }]), "{asked:?}");
}

#[test]
fn a_request_that_comes_too_late_leaves_the_rate_to_the_next_one() {
    let mut router = router();
    router.decide(RouteEvent::View(table(1, 0)), Duration::ZERO, 0);
    let limits = Limits {
        requests_per_second: 0.1,
        burst: 1,
        concurrent: 10,
        tokens_per_second: 1000.0,
        share: 1.0,
    };
    let limits = RouteEvent::Limits(BTreeMap::from([("w".into(), limits)]));
    router.decide(limits, Duration::ZERO, 0);
    let mut late = need(1, 1, Duration::ZERO);
    late.deadline = 100 * MS;
    router.decide(RouteEvent::Ask(late), Duration::ZERO, 0);
    let next = router.decide(RouteEvent::Ask(need(2, 2, Duration::ZERO)), Duration::ZERO, 0);
    assert!(matches!(&next[..], [RouteAction::Send { .. }]), "{next:?}");
}

fn ask_of(node: &str) -> RouteEvent {
    let ask = TrialAsk {
        node: node.into(),
        model: "m".into(),
        version: "v".into(),
        adapter: None,
        excluded: Vec::new(),
        fact: PoisonFact::new(7),
        patience: Duration::from_secs(600),
    };
    RouteEvent::TrialAsked { ask_id: 1, ask }
}

fn grant(actions: &[RouteAction]) -> &Grant {
    let grant = actions.iter().find_map(|action| match action {
        RouteAction::Grant { grant, .. } => Some(grant),
        _ => None,
    });
    grant.expect("an ask is answered")
}

#[test]
fn the_trial_of_a_process_that_died_does_not_keep_a_resend_waiting() {
    let mut router = router();
    let live = |nodes: &[&str]| RouteEvent::Live {
        live: nodes.iter().map(|node| (*node).into()).collect(),
        known: 2,
    };
    router.decide(live(&["n2", "n3"]), MS, 0);
    let first = router.decide(ask_of("n2"), MS, 0);
    assert!(matches!(grant(&first), Grant::Run { .. }), "{first:?}");
    let second = router.decide(ask_of("n3"), 2 * MS, 0);
    assert!(matches!(grant(&second), Grant::Wait { .. }), "{second:?}");
    router.decide(live(&["n3"]), 3 * MS, 0);
    let third = router.decide(ask_of("n3"), 4 * MS, 0);
    assert!(matches!(grant(&third), Grant::Run { .. }), "{third:?}");
}

#[test]
fn a_waiting_request_whose_groups_are_gone_is_refused_at_once() {
    let mut router = router();
    router.decide(RouteEvent::View(table(1, 0)), MS, 0);
    for request in 0..3 {
        let mut need = need(request, request, MS);
        need.deadline = Duration::from_secs(600);
        router.decide(RouteEvent::Ask(need), MS, 0);
    }
    router.decide(RouteEvent::View(GroupTable::default()), 2 * MS, 0);
    let actions = router.decide(RouteEvent::Tick, 3 * MS, 0);
    let refused = actions.iter().any(|action| {
        matches!(action, RouteAction::Refuse { request: 2, refusal }
            if refusal.reason == RefusalReason::NoGroup)
    });
    assert!(refused, "{actions:?}");
}
