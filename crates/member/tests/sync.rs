//! Tests of the choice of watchers of the key-value service, and of announcements and pulls.

use member::prelude::*;
use member::sync;
use member::sync::Action as SyncAction;
use member::sync::Event as SyncEvent;
use member::sync::PULL_TIMEOUT;
use member::sync::RevisionSync;
use member::sync::WATCHERS_PER_DOMAIN;
use proptest::prelude::*;

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn without(names: &[NodeId], me: &NodeId) -> Vec<NodeId> {
    names.iter().filter(|name| *name != me).cloned().collect()
}

proptest! {
    #[test]
    fn losing_a_process_replaces_at_most_one_watcher_of_its_domain(
        names in proptest::collection::btree_set("[a-z]{1,8}", 1..20),
        gone in any::<prop::sample::Index>(),
    ) {
        let names: Vec<NodeId> = names.into_iter().map(NodeId::from).collect();
        let watchers = |names: &[NodeId]| -> Vec<NodeId> {
            let is = |me: &&NodeId| sync::is_watcher(me, &without(names, me));
            names.iter().filter(is).cloned().collect()
        };
        let before = watchers(&names);
        prop_assert_eq!(before.len(), WATCHERS_PER_DOMAIN.min(names.len()));
        let gone = &names[gone.index(names.len())];
        let after = watchers(&without(&names, gone));
        let kept = before.iter().filter(|name| *name != gone).all(|name| after.contains(name));
        prop_assert!(kept, "a watcher stopped although another process was lost");
    }

    #[test]
    fn announcements_increase_and_pulls_respect_the_timeout(
        events in proptest::collection::vec((0..3_u8, 1..20_u64), 1..60),
    ) {
        let mut sync = RevisionSync::new("me".into());
        let (mut highest, mut in_force, mut last_pull) = (0, 0, None);
        for (index, (kind, revision)) in events.into_iter().enumerate() {
            let now = secs(index as u64);
            let event = match kind {
                0 => SyncEvent::InForce(revision),
                1 => SyncEvent::Announced { revision, owner: "other".into() },
                _ => SyncEvent::Tick,
            };
            for action in sync.decide(event, now) {
                match action {
                    SyncAction::Announce(announced) => {
                        prop_assert!(announced > highest, "{announced} after {highest}");
                    }
                    SyncAction::Pull { revision, .. } => {
                        prop_assert!(revision > in_force);
                        let early = last_pull.is_some_and(|last| now < last + PULL_TIMEOUT);
                        prop_assert!(!early, "pulled again before the timeout");
                        last_pull = Some(now);
                    }
                    SyncAction::SetWatch(_) => prop_assert!(false, "the members did not change"),
                }
            }
            if kind == 0 {
                in_force = in_force.max(revision);
            }
            if kind < 2 {
                highest = highest.max(revision);
            }
            prop_assert_eq!(sync.highest(), highest);
        }
    }
}

#[test]
fn late_process_pulls_from_the_announcing_process() {
    let mut sync = RevisionSync::new("me".into());
    sync.decide(SyncEvent::Announced { revision: 7, owner: "other".into() }, secs(0));
    assert_eq!(sync.decide(SyncEvent::Tick, secs(1)), []);
    let pull = SyncAction::Pull { owner: "other".into(), revision: 7 };
    assert_eq!(sync.decide(SyncEvent::Tick, secs(2)), [pull]);
    assert_eq!(sync.decide(SyncEvent::Tick, secs(3)), []);
    sync.decide(SyncEvent::InForce(7), secs(3));
    assert_eq!(sync.decide(SyncEvent::Tick, secs(9)), []);
}

#[test]
fn watch_starts_and_stops_with_the_domain_members() {
    let others: Vec<NodeId> = (0..20).map(|index| format!("node-{index}").into()).collect();
    let mut sync = RevisionSync::new("entry".into());
    assert!(sync.is_watching(), "a process that knows no other member must watch");
    let chosen = sync::is_watcher("entry", &others);
    assert!(!chosen, "the test needs a process that is not a watcher");
    assert_eq!(
        sync.decide(SyncEvent::DomainMembers(others), secs(0)),
        [SyncAction::SetWatch(false)]
    );
    assert_eq!(
        sync.decide(SyncEvent::DomainMembers(Vec::new()), secs(1)),
        [SyncAction::SetWatch(true)]
    );
}
