//! Property tests of plans over random clusters and faults: validity, determinism, convergence.

use std::time::Duration;

use plan::prelude::*;
use plan::simulation::ClusterSimulation;
use proptest::prelude::*;

const STEP: Duration = Duration::from_secs(1);

struct Run {
    simulation: ClusterSimulation,
    scratch: Scratch,
    settings: PlanSettings,
    now: Duration,
}

impl Run {
    fn new(fabrics: &[(u8, u8)], replicas: &[(u8, u8, u8, u8)]) -> Self {
        let mut cluster = ClusterState::default();
        for (i, (domain, vms)) in fabrics.iter().enumerate() {
            let fabric = cluster.add_fabric(&format!("f{i}"), &format!("d{domain}"));
            for vm in 0..*vms {
                cluster.add_vm(&format!("f{i}-{vm}"), fabric, 8);
            }
        }
        for (i, (count, vms, spares, weight)) in replicas.iter().enumerate() {
            let spec = ReplicaSpec::new(&format!("r{i}"), (*count).into(), (*vms).into());
            let downtime_weight = f64::from(*weight) / 10.0;
            cluster.add_replica(ReplicaSpec { spares: (*spares).into(), downtime_weight, ..spec });
        }
        let simulation = ClusterSimulation::new(cluster);
        let settings = PlanSettings::default();
        Run { simulation, scratch: Scratch::default(), settings, now: Duration::ZERO }
    }

    /// Plans once, checks the plan and executes it; returns whether it had any command.
    fn step(&mut self) -> bool {
        self.now += STEP;
        self.simulation.advance(self.now);
        let cluster = &self.simulation.cluster;
        let commands = plan(cluster, &self.settings, self.now, &mut self.scratch);
        let again = plan(cluster, &self.settings, self.now, &mut Scratch::default());
        assert_eq!(
            commands, again,
            "the plan depends on the previous contents of the scratch tables"
        );
        let findings = check(cluster, &commands);
        assert!(findings.is_empty(), "{findings}");
        self.check_drains(&commands);
        self.simulation.apply(&commands, self.now);
        !commands.is_empty()
    }

    fn steps(&mut self, count: u32) {
        for _ in 0..count {
            self.step();
        }
    }

    /// Checks that serving groups are drained only beyond the declared count, or one at a time if
    /// the replica's downtime weight allows a roll-out in place.
    fn check_drains(&self, commands: &[Command]) {
        let cluster = &self.simulation.cluster;
        for (replica, spec) in cluster.replicas.iter().enumerate() {
            let serving = cluster.groups.iter().filter(|group| {
                group.replica == Some(replica as u32) && group.phase == Phase::Serving
            });
            let drained = commands.iter().filter(|command| match command {
                Command::Drain { group, .. } => {
                    cluster.groups[*group as usize].replica == Some(replica as u32)
                }
                _ => false,
            });
            let spared = serving.count().saturating_sub(spec.count as usize);
            let allowed =
                if spec.downtime_weight < self.settings.in_place_weight_limit { 1 } else { 0 };
            assert!(
                drained.count() <= spared.max(allowed),
                "more serving groups are drained than allowed"
            );
        }
    }

    /// Injects the fault or declares the change that `kind` and `pick` stand for; some kinds do
    /// nothing.
    fn inject(&mut self, kind: u8, pick: usize) {
        let cluster = &mut self.simulation.cluster;
        let vm = pick % cluster.vms.len();
        let replica = pick % cluster.replicas.len();
        match kind {
            0 | 1 => cluster.vms[vm].state = VmState::Unresponsive(self.now),
            2 => cluster.vms[vm].state = VmState::Up,
            3 => cluster.vms[vm].state = VmState::Leaving,
            4 => cluster.replicas[replica].count = pick as u32 % 5,
            5 => cluster.replicas[replica].version += 1,
            6 => {
                let fabric = cluster.vms[vm].fabric;
                let now = self.now;
                let same = cluster.vms.iter_mut().filter(|vm| vm.fabric == fabric);
                same.for_each(|vm| vm.state = VmState::Unresponsive(now));
            }
            _ => {}
        }
    }

    /// Runs until the planner returned no commands for `idle_steps` steps; panics after 20,000
    /// steps.
    fn run_until_idle(&mut self, idle_steps: u32) {
        let mut idle = 0;
        for _ in 0..20_000 {
            idle = if self.step() { 0 } else { idle + 1 };
            if idle == idle_steps {
                return;
            }
        }
        panic!("the planner does not become idle: {:?}", self.simulation.cluster.groups);
    }
}

/// Returns whether a fabric domain has `vms` VMs in no group beside the most spares that any
/// replica wants.
fn has_room(cluster: &ClusterState, vms: usize) -> bool {
    let spares = cluster.replicas.iter().map(|spec| spec.spares as usize).max().unwrap_or(0);
    (0..cluster.fabrics.len()).any(|fabric| {
        let inside = cluster.vms.iter().filter(|vm| vm.fabric as usize == fabric);
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
    fn plans_are_valid_and_the_planner_becomes_idle(
        fabrics in fabrics(),
        replicas in replicas(),
        events in prop::collection::vec((0u8..9, 0usize..64, 0u32..40), 0..25),
    ) {
        let mut run = Run::new(&fabrics, &replicas);
        for (kind, pick, steps) in events {
            run.inject(kind, pick);
            run.steps(steps);
        }
        run.run_until_idle(300);
    }

    #[test]
    fn once_all_vms_are_up_every_declared_group_serves_unless_no_fabric_domain_has_room(
        fabrics in fabrics(),
        replicas in replicas(),
        events in prop::collection::vec((0u8..9, 0usize..64, 0u32..40), 0..15),
    ) {
        let mut run = Run::new(&fabrics, &replicas);
        for (kind, pick, steps) in events {
            run.inject(kind, pick);
            run.steps(steps);
        }
        run.simulation.cluster.vms.iter_mut().for_each(|vm| vm.state = VmState::Up);
        run.run_until_idle(300);
        let cluster = &run.simulation.cluster;
        let idle = plan(cluster, &run.settings, run.now, &mut run.scratch);
        prop_assert_eq!(idle, vec![]);
        for (replica, spec) in cluster.replicas.iter().enumerate() {
            let groups = cluster.groups.iter().filter(|group| group.replica == Some(replica as u32));
            let serving = groups.filter(|group| group.phase == Phase::Serving).count();
            prop_assert!(serving <= spec.count as usize);
            prop_assert!(serving == spec.count as usize || !has_room(cluster, spec.vms as usize));
        }
    }
}
