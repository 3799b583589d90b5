//! Tests of the group controller under random faults of engines, processes and the key-value
//! service.

use std::time::Duration;

use group::prelude::*;
use group::trace::simulation::KvMode;
use group::trace::simulation::Simulation;
use proptest::prelude::*;

const VMS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn form(simulation: &mut Simulation, replica: &str, vms: &[&str]) {
    let spec = GroupSpec {
        replica: replica.into(),
        model: "m".into(),
        version: "v".into(),
        adapters: vec![],
    };
    let vms = vms.iter().map(|vm| (*vm).into()).collect();
    simulation.apply_transition(&Transition::Form { spec, vms }).unwrap();
}

/// Replaces a dead member of the group by a free VM, as a planner would.
fn replace_dead_member(simulation: &mut Simulation) {
    let Some(group) = simulation.group("r").cloned() else { return };
    let dead = group.members.iter().find(|member| !simulation.engines[&member.vm].alive);
    let record = &simulation.stored.record;
    let free = simulation.engines.keys().find(|vm| record.group_of(vm).is_none()).cloned();
    if let (Some(dead), Some(replacement)) = (dead, free) {
        let target = GroupRef { group: group.id.clone(), generation: group.generation };
        // The transition is refused if the group is not recorded as broken yet.
        let _ = simulation.apply_transition(&Transition::Swap {
            target,
            removed: vec![dead.vm.clone()],
            replacements: vec![replacement],
        });
    }
}

fn inject_fault(simulation: &mut Simulation, kind: u8, pick: usize) {
    let process = pick % 2;
    let vm: Box<str> = VMS[pick % VMS.len()].into();
    let engine = simulation.engines.get_mut(&vm).unwrap();
    match kind {
        0 => engine.alive = false,
        1 => engine.restart(),
        2 => engine.paused = true,
        3 => engine.paused = false,
        4 => simulation.set_paused(process, true),
        5 => simulation.set_paused(process, false),
        6 => simulation.set_owner(process, true),
        7 => simulation.set_owner(process, false),
        8 => drop(simulation.processes[process].unreachable_vms.insert(vm)),
        9 => simulation.processes[process].daemons_unreachable = pick % 4 < 2,
        10 => simulation.processes[process].kv_unreachable = pick % 4 < 2,
        11 => simulation.kv_mode = [KvMode::Up, KvMode::Down, KvMode::Lossy][pick % 3],
        12 => simulation.processes[process].unreachable_vms.clear(),
        13 => engine.restart_remembering(),
        _ => replace_dead_member(simulation),
    }
}

/// Ends all faults and leaves one owner.
fn clear_faults(simulation: &mut Simulation) {
    simulation.kv_mode = KvMode::Up;
    for engine in simulation.engines.values_mut() {
        if !engine.alive {
            engine.restart();
        }
        engine.paused = false;
    }
    for process in 0..simulation.processes.len() {
        simulation.set_paused(process, false);
        simulation.set_owner(process, process == 0);
        simulation.processes[process].unreachable_vms.clear();
        simulation.processes[process].daemons_unreachable = false;
        simulation.processes[process].kv_unreachable = false;
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn no_daemon_routes_to_a_group_with_a_missing_member_beyond_the_detection_bound(
        checks_fencing in any::<bool>(),
        steps in prop::collection::vec((0u8..17, 0usize..20, 0u64..30), 1..30),
    ) {
        let vms: Vec<Box<str>> = VMS.iter().map(|vm| (*vm).into()).collect();
        let mut simulation = Simulation::new(&vms, checks_fencing, 2, 2);
        simulation.set_owner(0, true);
        form(&mut simulation, "r", &["a", "b", "c"]);
        simulation.run_until(Duration::from_secs(8));
        prop_assert_eq!(simulation.routing_daemons("r"), 2);
        for (kind, pick, wait) in steps {
            inject_fault(&mut simulation, kind, pick);
            simulation.run_until(simulation.now + Duration::from_millis(100 * wait));
            prop_assert!(simulation.violations.is_empty(), "{}", simulation.violations);
        }
        clear_faults(&mut simulation);
        simulation.run_until(simulation.now + Duration::from_secs(30));
        prop_assert!(simulation.violations.is_empty(), "{}", simulation.violations);
        prop_assert_eq!(simulation.routing_daemons("r"), 2, "{:?}", simulation.group("r"));
    }
}

/// Returns the most calls to the key-value service, and the most probes and orders, in any second.
fn max_rates(simulation: &mut Simulation, seconds: u64) -> (u64, u64) {
    let (mut kv, mut sent) = (0, 0);
    for _ in 0..seconds {
        let before = (simulation.kv_calls, simulation.messages_sent);
        simulation.run_until(simulation.now + Duration::from_secs(1));
        kv = kv.max(simulation.kv_calls - before.0);
        sent = sent.max(simulation.messages_sent - before.1);
    }
    (kv, sent)
}

#[test]
fn recovery_of_a_failed_domain_causes_no_message_storm() {
    let vms: Vec<Box<str>> = (0..160).map(|i| format!("vm{i:03}").into()).collect();
    let mut simulation = Simulation::new(&vms, true, 1, 2);
    simulation.set_owner(0, true);
    for i in 0..20 {
        let members: Vec<&str> = vms[i * 8..(i + 1) * 8].iter().map(|vm| &**vm).collect();
        form(&mut simulation, &format!("r{i}"), &members);
    }
    simulation.run_until(Duration::from_secs(10));
    let steady = max_rates(&mut simulation, 10);
    simulation.kv_mode = KvMode::Down;
    vms.iter().for_each(|vm| simulation.engines.get_mut(vm).unwrap().alive = false);
    let outage = max_rates(&mut simulation, 20);
    vms.iter().for_each(|vm| simulation.engines.get_mut(vm).unwrap().restart());
    simulation.kv_mode = KvMode::Up;
    let recovery = max_rates(&mut simulation, 20);
    println!(
        "kv calls and messages per second: steady {steady:?}, outage {outage:?}, recovery {recovery:?}"
    );
    assert!((0..20).all(|i| simulation.routing_daemons(&format!("r{i}")) == 2));
    assert!(simulation.violations.is_empty(), "{}", simulation.violations);
    // A probe of each VM in each half probe period, and one order to each VM.
    assert!(recovery.1 <= 160 * 4 + 160, "{recovery:?}");
    assert!(outage.0 <= 4 && recovery.0 <= 12, "{outage:?} {recovery:?}");
}

#[test]
fn the_detection_bound_is_at_most_two_seconds_and_a_short_lease_ttl_is_rejected() {
    let settings = ControllerSettings::default();
    assert!(settings.verify().is_empty(), "{}", settings.verify());
    assert!(settings.detection_bound() <= Duration::from_secs(2));
    let short = ControllerSettings { lease_ttl: Duration::from_secs(1), ..settings };
    assert_eq!(short.verify().len(), 1);
}
