//! Tests of the acceptance of changes: the recorded traces, and concurrent operators under random
//! interleavings of lost responses, delayed writes, outages and process crashes.

use std::collections::BTreeMap;

use base::prelude::*;
use proptest::prelude::*;
use spec::accept::Change;
use spec::accept::Edit;
use spec::accept::Evaluation;
use spec::accept::Outcome;
use spec::accept::StaleRevision;
use spec::accept::WorkingCatalog;
use spec::catalog::MAX_RETAINED_WRITES;
use spec::catalog::WriteStatus;
use spec::prelude::*;
use spec::trace::Delivery;
use spec::trace::Simulation;
use spec::trace::SubmittedChange;

const DAEMONS: usize = 3;

#[test]
fn recorded_traces_have_their_stated_outcomes() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces/spec");
    let mut count = 0;
    for entry in std::fs::read_dir(root).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let trace = base::trace::Trace::try_from(&*text).unwrap();
        if let Err(findings) = spec::trace::replay(&trace) {
            panic!("{}: {findings}", path.display());
        }
        count += 1;
    }
    assert!(count >= 6);
}

#[derive(Clone, Debug)]
enum Step {
    Submit { daemon: usize, target: usize, value: u32, expected: Option<u64>, delete: bool },
    Deliver { daemon: usize, delivery: Delivery },
    ApplyDelayed,
    Restart { daemon: usize },
    Advance { millis: u64 },
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Normal),
        2 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::CallLost),
        2 => Just(Delivery::Delayed),
        1 => Just(Delivery::Down),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let submit = (0..DAEMONS, 0..3_usize, 1..4_u32, prop::option::of(0..6_u64), any::<bool>());
    let submit = submit.prop_map(|(daemon, target, value, expected, delete)| Step::Submit {
        daemon,
        target,
        value,
        expected,
        delete,
    });
    let deliver = (0..DAEMONS, delivery());
    prop_oneof![
        4 => submit,
        10 => deliver.prop_map(|(daemon, delivery)| Step::Deliver { daemon, delivery }),
        2 => Just(Step::ApplyDelayed),
        1 => (0..DAEMONS).prop_map(|daemon| Step::Restart { daemon }),
        1 => prop_oneof![Just(10), Just(100), Just(6000)].prop_map(|millis| Step::Advance { millis }),
    ]
}

/// Returns an edit of one of three resources. The third refers to the first, so some edits are
/// refused.
fn edit(target: usize, value: u32, expected: Option<u64>, delete: bool) -> Edit {
    let (name, resource) = match target {
        0 => ("m", Resource::Model(Model { max_output_tokens: value })),
        1 => ("b", Resource::Brand(Brand { display_name: value.to_string().into() })),
        _ => {
            let weight_bytes = u64::from(value);
            let version = Version { model: "m".into(), weights: "w".into(), weight_bytes };
            ("v", Resource::Version(version))
        }
    };
    if delete {
        Edit::Delete { kind: resource.kind(), name: name.into(), revision: expected }
    } else {
        Edit::Apply(Manifest { name: name.into(), resource, revision: expected })
    }
}

fn run(steps: &[Step]) -> Simulation {
    let mut simulation = Simulation::new(DAEMONS);
    for (number, step) in steps.iter().enumerate() {
        match *step {
            Step::Submit { daemon, target, value, expected, delete } => {
                let edits = vec![edit(target, value, expected, delete)];
                let write_id = number as u64 + 1;
                let change = Change { write_id, operator: "o".into(), edits, dry_run: false };
                simulation.submit(daemon, change);
            }
            Step::Deliver { daemon, delivery } => simulation.deliver(daemon, delivery),
            Step::ApplyDelayed => simulation.apply_delayed(),
            Step::Restart { daemon } => simulation.restart(daemon),
            Step::Advance { millis } => simulation.advance_time(Duration::from_millis(millis)),
        }
    }
    while simulation.is_busy() {
        for daemon in 0..DAEMONS {
            simulation.deliver(daemon, Delivery::Normal);
        }
        simulation.advance_time(Duration::from_millis(100));
    }
    // Writes still in flight take effect now, after all changes were answered.
    for _ in 0..steps.len() {
        simulation.apply_delayed();
    }
    simulation
}

/// Returns the revision of each applied write. Checks that revisions increase and that no write is
/// applied twice.
fn applied(simulation: &Simulation) -> BTreeMap<WriteId, Revision> {
    let mut applied = BTreeMap::new();
    let mut last = 0;
    for stored in simulation.history() {
        assert!(stored.catalog.revision > last, "a lower revision was written");
        for record in stored.catalog.writes.iter().filter(|record| record.revision > last) {
            let before = applied.insert(record.id, record.revision);
            assert_eq!(before, None, "write {} was applied twice", record.id);
        }
        last = stored.catalog.revision;
    }
    applied
}

fn check_answers(simulation: &Simulation, applied: &BTreeMap<WriteId, Revision>) {
    for answered in simulation.changes() {
        let id = answered.change.write_id;
        let applied_as = applied.get(&id).copied();
        match &answered.outcome {
            Some(Outcome::Accepted { revision, changed: true }) => {
                assert_eq!(applied_as, Some(*revision), "accepted write {id} was not applied");
            }
            Some(Outcome::Unknown { base, .. }) => {
                let status = simulation.stored().catalog.write_status(id, *base);
                match applied_as {
                    Some(revision) => assert_eq!(status, WriteStatus::Applied { revision }),
                    None => assert!(matches!(
                        status,
                        WriteStatus::NeverApplied | WriteStatus::Indeterminate
                    )),
                }
            }
            Some(outcome) => {
                assert_eq!(applied_as, None, "write {id} was applied, but answered {outcome:?}");
            }
            None => {}
        }
    }
}

/// Checks that each conflict reports a revision that did change the resource.
fn check_conflicts(simulation: &Simulation, applied: &BTreeMap<WriteId, Revision>) {
    for answered in simulation.changes() {
        let Some(Outcome::Conflict { stale }) = &answered.outcome else { continue };
        for StaleRevision { kind, name, current, .. } in stale {
            let made = |other: &&SubmittedChange| {
                applied.get(&other.change.write_id) == Some(current)
                    && other.change.edits.iter().any(|edit| edit.target() == (*kind, &**name))
            };
            let found = *current == 0 || simulation.changes().iter().any(|other| made(&other));
            assert!(found, "revision {current} did not change {kind} {name}");
        }
    }
}

/// Checks that applying the accepted changes one after the other gives the stored catalog.
fn check_replay(simulation: &Simulation, applied: &BTreeMap<WriteId, Revision>) {
    let mut order: Vec<(Revision, WriteId)> = applied.iter().map(|(id, at)| (*at, *id)).collect();
    order.sort_unstable();
    let mut working = WorkingCatalog::new(&Catalog::default());
    for (revision, id) in order {
        let answered = simulation.changes().iter().find(|answered| answered.change.write_id == id);
        let verdict = working.evaluate(&answered.unwrap().change);
        assert_eq!(verdict, Evaluation::Changed { revision }, "write {id} was lost or reverted");
    }
    assert_eq!(working.into_catalog(), *simulation.stored().catalog);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]
    #[test]
    fn concurrent_changes_are_serialized_and_answered_truthfully(
        steps in prop::collection::vec(step(), 1..60)
    ) {
        let simulation = run(&steps);
        let applied = applied(&simulation);
        check_answers(&simulation, &applied);
        check_conflicts(&simulation, &applied);
        check_replay(&simulation, &applied);
    }
}

#[test]
fn a_write_with_a_dropped_record_is_not_reported_as_never_applied() {
    let mut catalog = Catalog::default();
    for id in 1..=MAX_RETAINED_WRITES as u64 {
        catalog.record_write(id);
    }
    let missing = u64::MAX;
    assert_eq!(catalog.write_status(missing, 0), WriteStatus::NeverApplied);
    assert_eq!(catalog.write_status(missing, catalog.revision), WriteStatus::Indeterminate);
    catalog.record_write(MAX_RETAINED_WRITES as u64 + 1);
    assert_eq!(catalog.write_status(1, 0), WriteStatus::Forgotten);
    assert_eq!(catalog.write_status(missing, 1), WriteStatus::NeverApplied);
}

#[test]
fn a_burst_of_changes_is_batched_into_one_write() {
    let mut simulation = Simulation::new(1);
    for number in 0..50 {
        let edits = vec![edit(1, number + 1, None, false)];
        let write_id = u64::from(number) + 1;
        simulation.submit(0, Change { write_id, operator: "o".into(), edits, dry_run: false });
    }
    while simulation.is_busy() {
        simulation.deliver(0, Delivery::Normal);
    }
    // The first change starts the first batch; all others arrive meanwhile and form the second.
    assert_eq!(simulation.history().len(), 2);
    assert_eq!(simulation.stored().catalog.revision, 50);
}

#[test]
fn an_answer_that_depends_on_its_batch_is_deferred_until_the_write_ends() {
    let mut simulation = Simulation::new(1);
    let mut submit = |write_id, expected| {
        let edits = vec![edit(1, write_id as u32, expected, false)];
        simulation.submit(0, Change { write_id, operator: "o".into(), edits, dry_run: false });
    };
    // The first change starts a read. The second and third then form one batch, and the conflict of
    // the third depends on the second, whose write fails.
    submit(1, Some(9));
    submit(2, None);
    submit(3, Some(9));
    simulation.deliver(0, Delivery::Normal);
    simulation.deliver(0, Delivery::Normal);
    simulation.deliver(0, Delivery::Down);
    let third = simulation.changes()[2].outcome.clone();
    assert!(matches!(third, Some(Outcome::NotApplied { .. })), "{third:?}");
}
