//! Tests of the distribution of accepted catalogs: deltas, and the choice of the active catalog.

use std::sync::Arc;

use base::prelude::*;
use proptest::prelude::*;
use spec::accept::Change;
use spec::accept::Edit;
use spec::accept::WorkingCatalog;
use spec::active_catalog::Action;
use spec::active_catalog::ActiveCatalog;
use spec::active_catalog::Event;
use spec::active_catalog::PULL_TIMEOUT;
use spec::active_catalog::START_LISTEN_PERIOD;
use spec::active_catalog::Source;
use spec::delta::Update;
use spec::delta::UpdateError;
use spec::delta::update_since;
use spec::prelude::*;

const STALENESS_BOUND: Duration = Duration::from_secs(60);

/// Returns the catalogs after each effective edit of a few models, oldest first.
fn catalogs(edits: &[(u8, u32, bool)]) -> Vec<Arc<Catalog>> {
    let mut working = WorkingCatalog::new(&Catalog::default());
    let mut list = vec![Arc::new(Catalog::default())];
    for (number, (name, value, delete)) in edits.iter().enumerate() {
        let name: Box<str> = format!("m{name}").into();
        let edit = if *delete {
            Edit::Delete { kind: Kind::Model, name, revision: None }
        } else {
            let resource = Resource::Model(Model { max_output_tokens: *value });
            Edit::Apply(Manifest { name, resource, revision: None })
        };
        let write_id = number as u64 + 1;
        let change = Change { write_id, operator: "o".into(), edits: vec![edit], dry_run: false };
        working.evaluate(&change);
        let catalog = working.clone().into_catalog();
        if catalog.revision > list.last().unwrap().revision {
            list.push(Arc::new(catalog));
        }
    }
    list
}

fn edits() -> impl Strategy<Value = Vec<(u8, u32, bool)>> {
    prop::collection::vec((0..12_u8, 1..5_u32, prop::bool::weighted(0.3)), 1..60)
}

proptest! {
    #[test]
    fn an_update_brings_every_earlier_revision_to_the_current_one(
        edits in edits(),
    ) {
        let all = catalogs(&edits);
        let current = all.last().unwrap();
        for old in &all[..all.len() - 1] {
            let update = Update::decode(&update_since(current, old.revision).encode()).unwrap();
            let next = update.apply(old).unwrap().unwrap();
            prop_assert_eq!(&next, current);
        }
    }
}

#[test]
fn an_update_that_is_older_has_a_gap_or_another_digest_is_not_applied() {
    let edits: Vec<_> = (0..20).map(|n| (n, 1, false)).chain([(3, 9, false)]).collect();
    let all = catalogs(&edits);
    let [.., before, last] = &all[..] else { panic!() };
    let Update::Delta(delta) = update_since(last, before.revision) else { panic!() };
    assert!(matches!(delta.apply(last), Err(UpdateError::NotNewer { .. })));
    assert!(matches!(delta.apply(&all[2]), Err(UpdateError::Gap { .. })));
    let mut other = Catalog::clone(before);
    other.set("foreign", Resource::Model(Model { max_output_tokens: 1 }), 2);
    assert!(matches!(delta.apply(&other), Err(UpdateError::DigestMismatch { .. })));
    let lower = Update::Snapshot(Arc::clone(before));
    assert!(matches!(lower.apply(last), Err(UpdateError::NotNewer { .. })));
}

fn new_process() -> ActiveCatalog {
    ActiveCatalog::new(Mono::ZERO, STALENESS_BOUND)
}

fn peer_revision(peer: &str, revision: Revision) -> Event {
    Event::PeerRevision { peer: peer.into(), revision }
}

#[test]
fn a_new_process_starts_from_the_highest_peer_revision_when_the_store_is_down() {
    let all = catalogs(&[(1, 1, false), (2, 1, false), (3, 1, false)]);
    let mut process = new_process();
    assert_eq!(process.decide(Event::Tick, Mono::ZERO), [Action::Read]);
    let early = Duration::from_millis(10);
    assert_eq!(process.decide(peer_revision("a", 1), early), []);
    assert_eq!(process.decide(Event::ReadFailed, early), []);
    assert_eq!(process.decide(peer_revision("b", 3), early * 2), []);
    let late = START_LISTEN_PERIOD;
    assert_eq!(process.decide(Event::Tick, late), [Action::Pull { peer: "b".into(), from: 0 }]);
    let update = Some(Update::Snapshot(Arc::clone(&all[3])));
    let actions = process.decide(Event::PullCompleted { peer: "b".into(), update }, late);
    assert!(matches!(actions[0], Action::Activate { .. }));
    assert_eq!(actions[1], Action::SetAdmission(true));
    // The store recovers and returns an older catalog, as a partitioned replica of it may: the
    // process does not go back to it.
    let actions = process.decide(Event::Stored(Arc::clone(&all[2])), late);
    assert_eq!(actions, []);
    assert_eq!(process.revision(), 3);
}

#[test]
fn a_process_without_any_contact_admits_no_requests_past_the_staleness_bound() {
    let all = catalogs(&[(1, 1, false)]);
    let mut process = new_process();
    process.decide(Event::Stored(Arc::clone(&all[1])), Mono::ZERO);
    assert_eq!(process.decide(Event::Tick, STALENESS_BOUND - PULL_TIMEOUT), []);
    assert_eq!(process.decide(Event::Tick, STALENESS_BOUND), [Action::SetAdmission(false)]);
    let actions = process.decide(peer_revision("a", 1), STALENESS_BOUND * 2);
    assert_eq!(actions, [Action::SetAdmission(true)]);
}

#[test]
fn a_process_whose_pulls_fail_reads_the_store() {
    let all = catalogs(&[(1, 1, false), (2, 1, false)]);
    let mut process = new_process();
    process.decide(Event::Stored(Arc::clone(&all[1])), Mono::ZERO);
    let mut now = Mono::ZERO;
    assert_eq!(process.decide(peer_revision("a", 2), now).len(), 1);
    assert_eq!(process.decide(peer_revision("b", 2), now), []);
    now += PULL_TIMEOUT;
    assert!(matches!(process.decide(Event::Tick, now)[..], [Action::Pull { .. }]));
    now += PULL_TIMEOUT;
    assert_eq!(process.decide(Event::Tick, now), [Action::Read]);
}

#[test]
fn a_delta_with_a_digest_mismatch_is_followed_by_a_snapshot() {
    let edits: Vec<_> = (0..12).map(|n| (n, 1, false)).chain([(3, 9, false)]).collect();
    let all = catalogs(&edits);
    let [.., before, last] = &all[..] else { panic!() };
    let mut other = Catalog::clone(before);
    other.set("foreign", Resource::Model(Model { max_output_tokens: 1 }), 2);
    let mut process = new_process();
    process.decide(Event::Stored(Arc::new(other)), Mono::ZERO);
    let peer: NodeId = "a".into();
    process.decide(peer_revision("a", last.revision), Mono::ZERO);
    let update = Some(update_since(last, before.revision));
    let pulled = Event::PullCompleted { peer: peer.clone(), update };
    assert_eq!(process.decide(pulled, Mono::ZERO), [Action::Pull { peer: peer.clone(), from: 0 }]);
    let update = Some(update_since(last, 0));
    let actions = process.decide(Event::PullCompleted { peer: peer.clone(), update }, Mono::ZERO);
    let (catalog, source) = (Arc::clone(last), Source::Peer(peer));
    assert_eq!(actions, [Action::Activate { catalog, source }]);
}

#[test]
fn an_established_watch_without_updates_counts_as_contact() {
    let all = catalogs(&[(1, 1, false)]);
    let mut process = new_process();
    process.decide(Event::Stored(Arc::clone(&all[1])), Mono::ZERO);
    assert_eq!(process.decide(Event::StoreContact, STALENESS_BOUND - PULL_TIMEOUT), []);
    assert_eq!(process.decide(Event::Tick, STALENESS_BOUND), []);
}

#[derive(Clone, Debug)]
enum Step {
    Stored(usize),
    PeerRevision(u8, u64),
    PullCompleted(u8, usize, u64),
    PeerLost(u8),
    ReadFailed,
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..60_usize).prop_map(Step::Stored),
        (0..4_u8, 0..60_u64).prop_map(|(peer, revision)| Step::PeerRevision(peer, revision)),
        (0..4_u8, 0..60_usize, 0..60_u64)
            .prop_map(|(peer, at, from)| Step::PullCompleted(peer, at, from)),
        (0..4_u8).prop_map(Step::PeerLost),
        Just(Step::ReadFailed),
        (1..70_000_u64).prop_map(Step::Advance),
    ]
}

proptest! {
    #[test]
    fn the_active_revision_never_decreases_and_requests_need_a_catalog(
        edits in edits(),
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let all = catalogs(&edits);
        let at = |index: usize| Arc::clone(&all[index % all.len()]);
        let (mut process, mut now, mut last, mut any) = (new_process(), Mono::ZERO, 0, false);
        for step in steps {
            let event = match step {
                Step::Stored(index) => Event::Stored(at(index)),
                Step::PeerRevision(peer, revision) => peer_revision(&peer.to_string(), revision),
                Step::PeerLost(peer) => Event::PeerLost(peer.to_string().into()),
                Step::ReadFailed => Event::ReadFailed,
                Step::PullCompleted(peer, index, from) => {
                    let update = Some(update_since(&at(index), from));
                    Event::PullCompleted { peer: peer.to_string().into(), update }
                }
                Step::Advance(millis) => {
                    now += Duration::from_millis(millis);
                    Event::Tick
                }
            };
            for action in process.decide(event, now) {
                match action {
                    Action::Activate { catalog, .. } => {
                        prop_assert!(!any || catalog.revision > last);
                        prop_assert_eq!(&catalog, &at(catalog.revision as usize));
                        (last, any) = (catalog.revision, true);
                    }
                    Action::SetAdmission(admits) => prop_assert!(!admits || any),
                    Action::Pull { from, .. } => prop_assert!(from == last || from == 0),
                    Action::Read => {}
                }
            }
        }
    }
}
