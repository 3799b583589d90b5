//! Tests of the keeper over random faults of engines, processes and the key-value service.

use std::time::Duration;

use group::prelude::*;
use group::trace::simulation::KvMode;
use group::trace::simulation::Simulation;
use proptest::prelude::*;

const VMS: [&str; 5] = ["a", "b", "c", "d", "e"];

fn form(world: &mut Simulation, replica: &str, vms: &[&str]) {
    let purpose = GroupSpec {
        replica: replica.into(),
        model: "m".into(),
        version: "v".into(),
        adapters: vec![],
    };
    let vms = vms.iter().map(|vm| (*vm).into()).collect();
    world.apply_transition(&Transition::Form { spec: purpose, vms }).unwrap();
}

/// Puts the free VM in the place of a dead member, as a planner would.
fn swap_dead(world: &mut Simulation) {
    let Some(group) = world.group("r").cloned() else { return };
    let dead = group.members.iter().find(|member| !world.engines[&member.vm].alive);
    let record = &world.stored.record;
    let free = world.engines.keys().find(|vm| record.group_of(vm).is_none()).cloned();
    if let (Some(dead), Some(into)) = (dead, free) {
        let target = GroupRef { group: group.id.clone(), generation: group.generation };
        // The group may not be broken yet; the move is then refused.
        let _ = world.apply_transition(&Transition::Swap {
            target,
            removed: vec![dead.vm.clone()],
            replacements: vec![into],
        });
    }
}

fn disturb(world: &mut Simulation, kind: u8, pick: usize) {
    let seat = pick % 2;
    let vm: Box<str> = VMS[pick % VMS.len()].into();
    let engine = world.engines.get_mut(&vm).unwrap();
    match kind {
        0 => engine.alive = false,
        1 => engine.restart(),
        2 => engine.paused = true,
        3 => engine.paused = false,
        4 => world.freeze(seat, true),
        5 => world.freeze(seat, false),
        6 => world.set_owner(seat, true),
        7 => world.set_owner(seat, false),
        8 => drop(world.processes[seat].cut_vms.insert(vm)),
        9 => world.processes[seat].cut_daemons = pick % 4 < 2,
        10 => world.processes[seat].cut_kv = pick % 4 < 2,
        11 => world.kv_mode = [KvMode::Up, KvMode::Down, KvMode::Lossy][pick % 3],
        12 => world.processes[seat].cut_vms.clear(),
        13 => engine.restart_remembering(),
        _ => swap_dead(world),
    }
}

/// Ends all faults and leaves one keeper.
fn mend(world: &mut Simulation) {
    world.kv_mode = KvMode::Up;
    for engine in world.engines.values_mut() {
        if !engine.alive {
            engine.restart();
        }
        engine.paused = false;
    }
    for seat in 0..world.processes.len() {
        world.freeze(seat, false);
        world.set_owner(seat, seat == 0);
        world.processes[seat].cut_vms.clear();
        world.processes[seat].cut_daemons = false;
        world.processes[seat].cut_kv = false;
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn no_daemon_routes_to_a_group_with_a_member_missing_beyond_the_bound(
        checks_fencing in any::<bool>(),
        steps in prop::collection::vec((0u8..17, 0usize..20, 0u64..30), 1..30),
    ) {
        let vms: Vec<Box<str>> = VMS.iter().map(|vm| (*vm).into()).collect();
        let mut world = Simulation::new(&vms, checks_fencing, 2, 2);
        world.set_owner(0, true);
        form(&mut world, "r", &["a", "b", "c"]);
        world.run_until(Duration::from_secs(8));
        prop_assert_eq!(world.routing_daemons("r"), 2);
        for (kind, pick, wait) in steps {
            disturb(&mut world, kind, pick);
            world.run_until(world.now + Duration::from_millis(100 * wait));
            prop_assert!(world.violations.is_empty(), "{}", world.violations);
        }
        mend(&mut world);
        world.run_until(world.now + Duration::from_secs(30));
        prop_assert!(world.violations.is_empty(), "{}", world.violations);
        prop_assert_eq!(world.routing_daemons("r"), 2, "{:?}", world.group("r"));
    }
}

/// Calls and messages of a second, by kind.
fn rates(world: &mut Simulation, seconds: u64) -> (u64, u64) {
    let (mut kv, mut sent) = (0, 0);
    for _ in 0..seconds {
        let before = (world.kv_calls, world.messages_sent);
        world.run_until(world.now + Duration::from_secs(1));
        kv = kv.max(world.kv_calls - before.0);
        sent = sent.max(world.messages_sent - before.1);
    }
    (kv, sent)
}

#[test]
fn recovery_of_a_dark_domain_is_no_storm() {
    let vms: Vec<Box<str>> = (0..160).map(|i| format!("vm{i:03}").into()).collect();
    let mut world = Simulation::new(&vms, true, 1, 2);
    world.set_owner(0, true);
    for i in 0..20 {
        let members: Vec<&str> = vms[i * 8..(i + 1) * 8].iter().map(|vm| &**vm).collect();
        form(&mut world, &format!("r{i}"), &members);
    }
    world.run_until(Duration::from_secs(10));
    let steady = rates(&mut world, 10);
    world.kv_mode = KvMode::Down;
    vms.iter().for_each(|vm| world.engines.get_mut(vm).unwrap().alive = false);
    let dark = rates(&mut world, 20);
    vms.iter().for_each(|vm| world.engines.get_mut(vm).unwrap().restart());
    world.kv_mode = KvMode::Up;
    let recovery = rates(&mut world, 20);
    println!("kv calls and messages a second: {steady:?} steady, {dark:?} dark, {recovery:?} back");
    assert!((0..20).all(|i| world.routing_daemons(&format!("r{i}")) == 2));
    assert!(world.violations.is_empty(), "{}", world.violations);
    // A probe of each VM each half period, and one order for each.
    assert!(recovery.1 <= 160 * 4 + 160, "{recovery:?}");
    assert!(dark.0 <= 4 && recovery.0 <= 12, "{dark:?} {recovery:?}");
}

#[test]
fn the_detection_bound_is_under_two_seconds_and_follows_from_the_settings() {
    let settings = ControllerSettings::default();
    assert!(settings.verify().is_empty(), "{}", settings.verify());
    assert!(settings.detection_bound() <= Duration::from_secs(2));
    let short = ControllerSettings { lease_ttl: Duration::from_secs(1), ..settings };
    assert_eq!(short.verify().len(), 1);
}
