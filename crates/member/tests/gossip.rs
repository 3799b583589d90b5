//! Property tests of the membership protocol over a simulated network with faults.

mod net;

use member::packet::Update;
use member::prelude::*;
use member::settings::RING_NEIGHBOURS;
use member::settings::TICK;
use net::LinkFaults;
use net::Net;
use net::group_down;
use net::name;
use proptest::prelude::*;

/// Time in which the processes find each other after they start.
const STARTUP_TIME: Duration = Duration::from_secs(20);
/// Time in which a few processes agree again after all faults have ended.
const CONVERGENCE_TIME: Duration = Duration::from_secs(90);

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn reliable_links() -> LinkFaults {
    LinkFaults { max_delay: Duration::from_millis(40), ..LinkFaults::default() }
}

fn link_faults() -> impl Strategy<Value = LinkFaults> {
    (0.0..0.3, 0.0..0.2, 1_u64..400).prop_map(|(loss, duplicates, delay)| LinkFaults {
        loss,
        duplicates,
        max_delay: Duration::from_millis(delay),
    })
}

/// A change of the faults.
#[derive(Clone, Debug)]
enum Step {
    Pause(usize),
    Resume(usize),
    BlockOneWay(usize, usize),
    Partition(Vec<bool>),
    ClearFaults,
}

/// Steps with the number of seconds until the next one.
fn steps() -> impl Strategy<Value = Vec<(Step, u64)>> {
    let step = prop_oneof![
        (0..8_usize).prop_map(Step::Pause),
        (0..8_usize).prop_map(Step::Resume),
        (0..8_usize, 0..8_usize).prop_map(|(a, b)| Step::BlockOneWay(a, b)),
        proptest::collection::vec(any::<bool>(), 8).prop_map(Step::Partition),
        Just(Step::ClearFaults),
    ];
    proptest::collection::vec((step, 1..20_u64), 1..8)
}

fn apply(net: &mut Net, step: &Step) {
    let count = net.nodes.len();
    match step {
        Step::Pause(index) => net.pause(index % count),
        Step::Resume(index) if net.nodes[index % count].is_paused => net.resume(index % count),
        Step::Resume(_) => {}
        Step::BlockOneWay(a, b) => {
            net.blocked_links.insert((a % count, b % count));
        }
        Step::Partition(side) => net.partition(&side[..count]),
        Step::ClearFaults => net.blocked_links.clear(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn live_reachable_process_does_not_stay_dead_after_faults(
        count in 3..8_usize,
        faults in link_faults(),
        steps in steps(),
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, faults, seed);
        net.run(STARTUP_TIME);
        for (step, wait) in &steps {
            apply(&mut net, step);
            net.run(secs(*wait));
        }
        net.blocked_links.clear();
        net.link_faults = reliable_links();
        for index in 0..count {
            if net.nodes[index].is_paused {
                net.resume(index);
            }
        }
        net.run(CONVERGENCE_TIME);
        prop_assert_eq!(net.disagreements(), Vec::<String>::new());
    }

    #[test]
    fn only_crashed_processes_are_declared_dead_and_within_the_bound(
        count in 2..24_usize,
        crashes in proptest::collection::btree_set(0..24_usize, 1..4),
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, reliable_links(), seed);
        net.run(STARTUP_TIME);
        let crashes: Vec<usize> = crashes.into_iter().filter(|index| *index < count).collect();
        for index in &crashes {
            net.crash(*index);
        }
        let settings = Settings::default();
        let up: Vec<usize> = (0..count).filter(|index| !crashes.contains(index)).collect();
        let seen_dead_by = |net: &Net, of: usize| {
            up.iter().filter(|by| net.status_seen_by(**by, of) == Some(Status::Dead)).count()
        };
        net.run(settings.detection_bound(count));
        for of in &crashes {
            prop_assert!(up.is_empty() || seen_dead_by(&net, *of) > 0, "nobody declared {of} dead");
        }
        net.run(settings.dissemination_bound(count) - settings.detection_bound(count));
        for of in &crashes {
            prop_assert_eq!(seen_dead_by(&net, *of), up.len(), "not all consider {} dead", of);
        }
        for by in &up {
            let declared_dead = net.nodes[*by].log.iter().any(|(_, action)| {
                matches!(action, Action::Member { record } if record.status == Status::Dead
                    && up.iter().any(|of| name(*of) == record.name))
            });
            prop_assert!(!declared_dead, "{by} declared a running process dead");
        }
    }

    #[test]
    fn restarted_process_is_not_replaced_by_its_earlier_instance(
        count in 3..7_usize,
        who in 0..7_usize,
        away_secs in 0..40_u64,
        clock in prop_oneof![Just(400_u64), Just(1000), Just(60_000)],
        max_delay_ms in 1..5000_u64,
        seed in any::<u64>(),
    ) {
        let who = who % count;
        let mut net = Net::new(count, reliable_links(), seed);
        net.run(STARTUP_TIME);
        net.link_faults.max_delay = Duration::from_millis(max_delay_ms);
        net.run(secs(3));
        net.crash(who);
        net.run(secs(away_secs));
        let boot = 4711;
        net.restart(who, boot, clock);
        let mut knows_new_instance = vec![false; count];
        let mut went_back = false;
        net.run_with(secs(40), |net| {
            for by in (0..count).filter(|by| *by != who) {
                if let Some(peer) = net.nodes[by].state.peer(&name(who)) {
                    went_back |= knows_new_instance[by] && peer.instance.boot != boot;
                    knows_new_instance[by] |= peer.instance.boot == boot;
                }
            }
        });
        prop_assert!(!went_back, "a process replaced the new instance by the earlier one");
        net.link_faults = reliable_links();
        net.run(CONVERGENCE_TIME);
        prop_assert_eq!(net.disagreements(), Vec::<String>::new());
        for by in (0..count).filter(|by| *by != who) {
            prop_assert_eq!(net.nodes[by].state.peer(&name(who)).unwrap().instance.boot, boot);
        }
    }

    #[test]
    fn fact_reaches_all_members_within_the_transmit_limit(
        count in 2..32_usize,
        publisher in 0..32_usize,
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, reliable_links(), seed);
        net.run(STARTUP_TIME);
        net.event(publisher % count, Event::Publish(group_down("g", 7)));
        let rounds = Settings::default().transmit_limit(count);
        net.run(Settings::default().probe_period() * rounds);
        for facts in net.facts() {
            prop_assert_eq!(facts.get(&FactKey::GroupDown("g".into())), Some(&7));
        }
    }

    #[test]
    fn healed_partition_converges(
        side in proptest::collection::vec(any::<bool>(), 2..9),
        cut_secs in 1..120_u64,
        faults in link_faults(),
        seed in any::<u64>(),
    ) {
        let count = side.len();
        let mut net = Net::new(count, faults, seed);
        net.run(STARTUP_TIME);
        for index in 0..count {
            // Without seeds, only the probes of dead members reconnect the partition.
            net.event(index, Event::Seeds(Vec::new()));
        }
        net.partition(&side);
        for (index, side) in side.iter().enumerate() {
            let version = 1 + index as u64;
            net.event(index, Event::Publish(group_down(if *side { "a" } else { "b" }, version)));
            net.event(index, Event::Publish(group_down("both", version)));
        }
        net.run(secs(cut_secs));
        net.blocked_links.clear();
        net.link_faults = reliable_links();
        net.run(CONVERGENCE_TIME);
        prop_assert_eq!(net.disagreements(), Vec::<String>::new());
        let facts = net.facts();
        for other in &facts {
            prop_assert_eq!(other, &facts[0]);
        }
        prop_assert_eq!(facts[0][&FactKey::GroupDown("both".into())], count as u64);
    }

    #[test]
    fn broken_link_between_one_pair_causes_no_suspicion(
        count in 4..9_usize,
        pair in (0..9_usize, 0..9_usize),
        both_ways in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let (a, b) = (pair.0 % count, pair.1 % count);
        prop_assume!(a != b);
        let mut net = Net::new(count, reliable_links(), seed);
        net.run(STARTUP_TIME);
        net.blocked_links.insert((a, b));
        if both_ways {
            net.blocked_links.insert((b, a));
        }
        net.run_with(secs(60), |net| {
            let alive = |by, of| by == of || net.status_seen_by(by, of) == Some(Status::Alive);
            assert!(
                (0..count).all(|by| alive(by, a) && alive(by, b)),
                "suspected although other members could reach it"
            );
        });
    }

    #[test]
    fn every_member_is_probed_within_one_ring_turn(
        count in 24..32_usize,
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, reliable_links(), seed);
        net.run(STARTUP_TIME);
        let begin = net.now;
        net.run(secs(60));
        let turn = Settings::default().probe_period() * 2 * RING_NEIGHBOURS as u32;
        for index in 0..count {
            let pings = net.pings.iter().filter(|(at, to)| *at >= begin && *to == name(index));
            let mut last = begin;
            for at in pings.map(|(at, _)| *at).chain([net.now]) {
                prop_assert!(at - last <= turn + TICK, "{index} not probed for {:?}", at - last);
                last = at;
            }
        }
    }

    #[test]
    fn paused_process_suspects_no_live_member(
        count in 3..7_usize,
        pause_secs in 5..120_u64,
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, reliable_links(), seed);
        net.run(STARTUP_TIME);
        net.pause(0);
        net.run(secs(pause_secs));
        net.resume(0);
        let resumed_at = net.now;
        net.run(CONVERGENCE_TIME);
        prop_assert_eq!(net.disagreements(), Vec::<String>::new());
        let log = &net.nodes[0].log;
        let suspected = log.iter().any(|(at, action)| {
            *at >= resumed_at && matches!(action, Action::Member { record }
                if matches!(record.status, Status::Dead | Status::Suspect))
        });
        prop_assert!(!suspected, "{:?}", log);
        let noticed = log.iter().any(|(_, action)| matches!(action, Action::Paused { .. }));
        prop_assert!(noticed, "the pause was not detected");
    }

    #[test]
    fn leaving_process_is_never_declared_dead(
        count in 2..9_usize,
        who in 0..9_usize,
        grace_ms in 200..2000_u64,
        seed in any::<u64>(),
    ) {
        let who = who % count;
        let mut net = Net::new(count, reliable_links(), seed);
        net.run(STARTUP_TIME);
        net.event(who, Event::Leave);
        net.run(Duration::from_millis(grace_ms));
        net.crash(who);
        net.run(secs(30));
        for by in (0..count).filter(|by| *by != who) {
            prop_assert_eq!(net.status_seen_by(by, who), Some(Status::Left));
            let declared_dead = net.nodes[by].log.iter().any(|(_, action)| matches!(
                action, Action::Member { record } if record.status == Status::Dead));
            prop_assert!(!declared_dead);
        }
    }
}

#[test]
fn pause_extends_the_deadline_of_earlier_suspicions() {
    let mut net = Net::new(4, reliable_links(), 4);
    net.run(STARTUP_TIME);
    net.pause(1);
    while net.status_seen_by(0, 1) != Some(Status::Suspect) {
        net.run(TICK);
    }
    net.pause(0);
    net.resume(1);
    net.run(secs(60));
    // The tick is processed before the buffered datagrams, which include the refutation.
    net.nodes[0].is_paused = false;
    net.event(0, Event::Tick);
    assert_eq!(net.status_seen_by(0, 1), Some(Status::Suspect));
    net.resume(0);
    net.run(CONVERGENCE_TIME);
    assert_eq!(net.disagreements(), Vec::<String>::new());
    let declared_dead = net.nodes[0].log.iter().any(
        |(_, action)| matches!(action, Action::Member { record } if record.status == Status::Dead),
    );
    assert!(!declared_dead, "a suspicion expired during a pause of the suspecting process");
}

#[test]
fn new_revision_is_pushed_within_a_few_ticks() {
    let mut net = Net::new(8, reliable_links(), 5);
    net.run(STARTUP_TIME);
    net.event(0, Event::InForce(5));
    net.run(TICK * 4);
    let peers = net.nodes.iter().filter_map(|node| node.state.peer("node-0"));
    let informed = peers.filter(|peer| peer.revision == 5).count();
    assert!(informed >= Settings::default().fanout, "only {informed} processes know the revision");
}

/// Returns the event of receiving a packet of process `index`, sent by its current instance.
fn packet(net: &Net, index: usize, message: Message, updates: Vec<Update>) -> Event {
    let me = net.nodes[index].state.me();
    let instance = Instance { incarnation: me.incarnation, boot: me.boot };
    let location = Some(me.location.clone());
    let sender = MemberRecord { name: name(index), instance, status: Status::Alive, location };
    let packet = Box::new(Packet { sender, revision: 0, message, updates });
    Event::Received { from: net::address(index), packet }
}

#[test]
fn duplicate_process_name_is_reported() {
    let mut net = Net::new(3, reliable_links(), 1);
    net.run(STARTUP_TIME);
    let other = MemberRecord {
        name: name(0),
        instance: Instance { incarnation: 2000, boot: 99 },
        status: Status::Alive,
        location: None,
    };
    let event = packet(&net, 1, Message::Gossip, vec![Update::Member(other)]);
    net.event(0, event);
    assert_eq!(net.nodes[0].log.last().unwrap().1, Action::NameConflict { boot: 99 });
    assert_eq!(net.nodes[0].state.me().incarnation, 2001);
}

#[test]
fn process_declared_dead_receives_the_record_to_refute() {
    let mut net = Net::new(3, reliable_links(), 3);
    net.run(STARTUP_TIME);
    net.pause(1);
    net.run(secs(30));
    assert_eq!(net.status_seen_by(0, 1), Some(Status::Dead));
    let target = name(0);
    for message in [Message::Ping { seq: 1, target }, Message::Gossip] {
        let event = packet(&net, 1, message, Vec::new());
        let state = &mut net.nodes[0].state;
        let actions = decide(state, event, net.now);
        let Some(Action::Send { packet, .. }) = actions.first() else { panic!("{actions:?}") };
        let Some(Update::Member(record)) = packet.updates.first() else { panic!("{packet:?}") };
        assert_eq!((&record.name, record.status), (&name(1), Status::Dead));
    }
}

#[test]
fn usage_of_an_earlier_instance_does_not_mask_the_new_one() {
    let mut net = Net::new(3, reliable_links(), 2);
    net.run(STARTUP_TIME);
    let key = FactKey::Usage { owner: name(2), workspace: "ferries".into() };
    let usage = |version, body: &[u8]| Fact {
        key: key.clone(),
        owner: name(2),
        version,
        lifetime: secs(300),
        body: body.into(),
    };
    net.event(2, Event::Publish(usage(500, b"old")));
    net.run(secs(10));
    net.restart(2, 77, 90_000);
    net.run(STARTUP_TIME);
    net.event(2, Event::Publish(usage(1, b"new")));
    net.run(secs(60));
    // Usage is not part of anti-entropy. Members that receive the first publication send back the
    // higher version of the earlier instance, and only the second publication exceeds it.
    net.event(2, Event::Publish(usage(2, b"new")));
    net.run(secs(60));
    for node in &net.nodes {
        assert_eq!(&*node.state.fact(&key).unwrap().body, b"new");
    }
}
