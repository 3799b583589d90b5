//! Tests of plans over random fleets and faults: validity, determinism, convergence.

use std::time::Duration;

use plan::fleet::Fleet;
use plan::prelude::*;
use proptest::prelude::*;

const STEP: Duration = Duration::from_secs(1);

struct Run {
    fleet: Fleet,
    scratch: Scratch,
    settings: PlanSettings,
    now: Duration,
}

impl Run {
    fn new(fabrics: &[(u8, u8)], replicas: &[(u8, u8, u8, u8)]) -> Self {
        let mut world = World::default();
        for (i, (domain, vms)) in fabrics.iter().enumerate() {
            let fabric = world.add_fabric(&format!("f{i}"), &format!("d{domain}"));
            for vm in 0..*vms {
                world.add_vm(&format!("f{i}-{vm}"), fabric, 8);
            }
        }
        for (i, (count, vms, spares, weight)) in replicas.iter().enumerate() {
            let need = ReplicaNeed::new(&format!("r{i}"), (*count).into(), (*vms).into());
            let downtime_weight = f64::from(*weight) / 10.0;
            world.add_replica(ReplicaNeed { spares: (*spares).into(), downtime_weight, ..need });
        }
        let fleet = Fleet::new(world);
        let settings = PlanSettings::default();
        Run { fleet, scratch: Scratch::default(), settings, now: Duration::ZERO }
    }

    /// Plans once, checks the plan and carries it out; returns whether anything was wanted.
    fn step(&mut self) -> bool {
        self.now += STEP;
        self.fleet.settle(self.now);
        let world = &self.fleet.world;
        let commands = plan(world, &self.settings, self.now, &mut self.scratch);
        let again = plan(world, &self.settings, self.now, &mut Scratch::default());
        assert_eq!(commands, again, "the plan depends on more than its arguments");
        let findings = check(world, &commands);
        assert!(findings.is_empty(), "{findings}");
        self.check_drains(&commands);
        self.fleet.carry_out(&commands, self.now);
        !commands.is_empty()
    }

    fn steps(&mut self, count: u32) {
        for _ in 0..count {
            self.step();
        }
    }

    /// Checks that a serving group is only drained if its replica can spare it or allows it.
    fn check_drains(&self, commands: &[Command]) {
        let world = &self.fleet.world;
        for (replica, need) in world.replicas.iter().enumerate() {
            let serving = world.groups.iter().filter(|group| {
                group.replica == Some(replica as u32) && group.phase == Phase::Serving
            });
            let drained = commands.iter().filter(|command| match command {
                Command::Drain { group, .. } => {
                    world.groups[*group as usize].replica == Some(replica as u32)
                }
                _ => false,
            });
            let spared = serving.count().saturating_sub(need.count as usize);
            let allowed = if need.downtime_weight < self.settings.in_place_below { 1 } else { 0 };
            assert!(drained.count() <= spared.max(allowed), "too many groups are drained");
        }
    }

    fn disturb(&mut self, kind: u8, pick: usize) {
        let world = &mut self.fleet.world;
        let vm = pick % world.vms.len();
        let replica = pick % world.replicas.len();
        match kind {
            0 | 1 => world.vms[vm].state = VmState::Silent(self.now),
            2 => world.vms[vm].state = VmState::Up,
            3 => world.vms[vm].state = VmState::Leaving,
            4 => world.replicas[replica].count = pick as u32 % 5,
            5 => world.replicas[replica].version += 1,
            6 => {
                let fabric = world.vms[vm].fabric;
                let now = self.now;
                let same = world.vms.iter_mut().filter(|vm| vm.fabric == fabric);
                same.for_each(|vm| vm.state = VmState::Silent(now));
            }
            _ => {}
        }
    }

    /// Runs until nothing was wanted for `quiet` steps; panics if that takes too long.
    fn run_to_silence(&mut self, quiet: u32) {
        let mut silent = 0;
        for _ in 0..20_000 {
            silent = if self.step() { 0 } else { silent + 1 };
            if silent == quiet {
                return;
            }
        }
        panic!("the planner does not fall silent: {:?}", self.fleet.world.groups);
    }
}

/// Returns whether a fabric domain has `vms` free VMs beside the most spares that it may need.
fn has_room(world: &World, vms: usize) -> bool {
    let spares = world.replicas.iter().map(|need| need.spares as usize).max().unwrap_or(0);
    (0..world.fabrics.len()).any(|fabric| {
        let inside = world.vms.iter().filter(|vm| vm.fabric as usize == fabric);
        inside.filter(|vm| vm.group.is_none()).count() >= vms + spares
    })
}

fn fabrics() -> impl Strategy<Value = Vec<(u8, u8)>> {
    prop::collection::vec((0u8..3, 2u8..9), 1..5)
}

fn replicas() -> impl Strategy<Value = Vec<(u8, u8, u8, u8)>> {
    prop::collection::vec((0u8..4, 1u8..4, 0u8..2, 0u8..=10), 1..4)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn plans_are_sound_and_fall_silent(
        fabrics in fabrics(),
        replicas in replicas(),
        events in prop::collection::vec((0u8..9, 0usize..64, 0u32..40), 0..25),
    ) {
        let mut run = Run::new(&fabrics, &replicas);
        for (kind, pick, steps) in events {
            run.disturb(kind, pick);
            run.steps(steps);
        }
        run.run_to_silence(300);
    }

    #[test]
    fn with_all_vms_back_every_declared_group_serves_or_has_no_room(
        fabrics in fabrics(),
        replicas in replicas(),
        events in prop::collection::vec((0u8..9, 0usize..64, 0u32..40), 0..15),
    ) {
        let mut run = Run::new(&fabrics, &replicas);
        for (kind, pick, steps) in events {
            run.disturb(kind, pick);
            run.steps(steps);
        }
        run.fleet.world.vms.iter_mut().for_each(|vm| vm.state = VmState::Up);
        run.run_to_silence(300);
        let world = &run.fleet.world;
        let silent = plan(world, &run.settings, run.now, &mut run.scratch);
        prop_assert_eq!(silent, vec![]);
        for (replica, need) in world.replicas.iter().enumerate() {
            let groups = world.groups.iter().filter(|group| group.replica == Some(replica as u32));
            let serving = groups.filter(|group| group.phase == Phase::Serving).count();
            prop_assert!(serving <= need.count as usize);
            prop_assert!(serving == need.count as usize || !has_room(world, need.vms as usize));
        }
    }
}
