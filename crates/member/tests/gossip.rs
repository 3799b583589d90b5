//! Property tests of the membership over a faulty network.

mod net;

use member::packet::Update;
use member::prelude::*;
use member::settings::RING_NEIGHBOURS;
use member::settings::TICK;
use net::Net;
use net::Weather;
use net::group_down;
use net::name;
use proptest::prelude::*;

const SETTLE: Duration = Duration::from_secs(20);
/// Time in which a healed fleet of a few processes agrees again.
const HEAL: Duration = Duration::from_secs(90);

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn calm() -> Weather {
    Weather { max_delay: Duration::from_millis(40), ..Weather::default() }
}

fn weather() -> impl Strategy<Value = Weather> {
    (0.0..0.3, 0.0..0.2, 1_u64..400).prop_map(|(loss, duplicates, delay)| Weather {
        loss,
        duplicates,
        max_delay: Duration::from_millis(delay),
    })
}

/// A fault, and how long until the next step.
#[derive(Clone, Debug)]
enum Step {
    Pause(usize),
    Resume(usize),
    CutOneWay(usize, usize),
    Split(Vec<bool>),
    Mend,
}

fn steps() -> impl Strategy<Value = Vec<(Step, u64)>> {
    let step = prop_oneof![
        (0..8_usize).prop_map(Step::Pause),
        (0..8_usize).prop_map(Step::Resume),
        (0..8_usize, 0..8_usize).prop_map(|(a, b)| Step::CutOneWay(a, b)),
        proptest::collection::vec(any::<bool>(), 8).prop_map(Step::Split),
        Just(Step::Mend),
    ];
    proptest::collection::vec((step, 1..20_u64), 1..8)
}

fn apply(net: &mut Net, step: &Step) {
    let count = net.nodes.len();
    match step {
        Step::Pause(index) => net.pause(index % count),
        Step::Resume(index) if net.nodes[index % count].is_paused => net.resume(index % count),
        Step::Resume(_) => {}
        Step::CutOneWay(a, b) => {
            net.cuts.insert((a % count, b % count));
        }
        Step::Split(side) => net.split(&side[..count]),
        Step::Mend => net.cuts.clear(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn a_live_reachable_process_is_never_held_dead_for_good(
        count in 3..8_usize,
        weather in weather(),
        steps in steps(),
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, weather, seed);
        net.run(SETTLE);
        for (step, wait) in &steps {
            apply(&mut net, step);
            net.run(secs(*wait));
        }
        net.cuts.clear();
        net.weather = calm();
        for index in 0..count {
            if net.nodes[index].is_paused {
                net.resume(index);
            }
        }
        net.run(HEAL);
        prop_assert_eq!(net.disagreements(), Vec::<String>::new());
    }

    #[test]
    fn a_dead_process_is_found_within_the_bound_and_no_other(
        count in 2..24_usize,
        crashes in proptest::collection::btree_set(0..24_usize, 1..4),
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, calm(), seed);
        net.run(SETTLE);
        let crashes: Vec<usize> = crashes.into_iter().filter(|index| *index < count).collect();
        for index in &crashes {
            net.crash(*index);
        }
        let settings = Settings::default();
        let up: Vec<usize> = (0..count).filter(|index| !crashes.contains(index)).collect();
        let dead_to = |net: &Net, of: usize| {
            up.iter().filter(|by| net.held(**by, of) == Some(Status::Dead)).count()
        };
        net.run(settings.detection_bound(count));
        for of in &crashes {
            prop_assert!(up.is_empty() || dead_to(&net, *of) > 0, "nobody found {of} dead");
        }
        net.run(settings.dissemination_bound(count) - settings.detection_bound(count));
        for of in &crashes {
            prop_assert_eq!(dead_to(&net, *of), up.len(), "not all hold {} dead", of);
        }
        for by in &up {
            let blamed = net.nodes[*by].log.iter().any(|(_, action)| {
                matches!(action, Action::Member { record } if record.status == Status::Dead
                    && up.iter().any(|of| name(*of) == record.name))
            });
            prop_assert!(!blamed, "{by} held a live process dead");
        }
    }

    #[test]
    fn a_rejoining_process_is_not_confused_with_its_earlier_life(
        count in 3..7_usize,
        who in 0..7_usize,
        away_secs in 0..40_u64,
        clock in prop_oneof![Just(400_u64), Just(1000), Just(60_000)],
        max_delay_ms in 1..5000_u64,
        seed in any::<u64>(),
    ) {
        let who = who % count;
        let mut net = Net::new(count, calm(), seed);
        net.run(SETTLE);
        net.weather.max_delay = Duration::from_millis(max_delay_ms);
        net.run(secs(3));
        net.crash(who);
        net.run(secs(away_secs));
        let boot = 4711;
        net.restart(who, boot, clock);
        let mut has_met = vec![false; count];
        let mut went_back = false;
        net.run_with(secs(40), |net| {
            for by in (0..count).filter(|by| *by != who) {
                if let Some(peer) = net.nodes[by].state.peer(&name(who)) {
                    went_back |= has_met[by] && peer.instance.boot != boot;
                    has_met[by] |= peer.instance.boot == boot;
                }
            }
        });
        prop_assert!(!went_back, "a process went back to the earlier life");
        net.weather = calm();
        net.run(HEAL);
        prop_assert_eq!(net.disagreements(), Vec::<String>::new());
        for by in (0..count).filter(|by| *by != who) {
            prop_assert_eq!(net.nodes[by].state.peer(&name(who)).unwrap().instance.boot, boot);
        }
    }

    #[test]
    fn a_fact_is_known_to_all_within_the_transmissions(
        count in 2..32_usize,
        teller in 0..32_usize,
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, calm(), seed);
        net.run(SETTLE);
        net.event(teller % count, Event::Publish(group_down("g", 7)));
        let rounds = Settings::default().transmit_limit(count);
        net.run(Settings::default().probe_period() * rounds);
        for facts in net.facts() {
            prop_assert_eq!(facts.get(&FactKey::GroupDown("g".into())), Some(&7));
        }
    }

    #[test]
    fn a_healed_partition_converges(
        side in proptest::collection::vec(any::<bool>(), 2..9),
        cut_secs in 1..120_u64,
        weather in weather(),
        seed in any::<u64>(),
    ) {
        let count = side.len();
        let mut net = Net::new(count, weather, seed);
        net.run(SETTLE);
        for index in 0..count {
            // Without seeds, only the probes of dead members bridge the healed partition.
            net.event(index, Event::Seeds(Vec::new()));
        }
        net.split(&side);
        for (index, side) in side.iter().enumerate() {
            let version = 1 + index as u64;
            net.event(index, Event::Publish(group_down(if *side { "a" } else { "b" }, version)));
            net.event(index, Event::Publish(group_down("both", version)));
        }
        net.run(secs(cut_secs));
        net.cuts.clear();
        net.weather = calm();
        net.run(HEAL);
        prop_assert_eq!(net.disagreements(), Vec::<String>::new());
        let facts = net.facts();
        for other in &facts {
            prop_assert_eq!(other, &facts[0]);
        }
        prop_assert_eq!(facts[0][&FactKey::GroupDown("both".into())], count as u64);
    }

    #[test]
    fn a_cut_between_one_pair_is_bridged_by_the_others(
        count in 4..9_usize,
        pair in (0..9_usize, 0..9_usize),
        both_ways in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let (a, b) = (pair.0 % count, pair.1 % count);
        prop_assume!(a != b);
        let mut net = Net::new(count, calm(), seed);
        net.run(SETTLE);
        net.cuts.insert((a, b));
        if both_ways {
            net.cuts.insert((b, a));
        }
        net.run_with(secs(60), |net| {
            let alive = |by, of| by == of || net.held(by, of) == Some(Status::Alive);
            assert!((0..count).all(|by| alive(by, a) && alive(by, b)), "blamed over a bridge");
        });
    }

    #[test]
    fn every_member_is_probed_once_in_a_turn_of_the_ring(
        count in 24..32_usize,
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, calm(), seed);
        net.run(SETTLE);
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
    fn a_process_that_was_paused_blames_nobody(
        count in 3..7_usize,
        pause_secs in 5..120_u64,
        seed in any::<u64>(),
    ) {
        let mut net = Net::new(count, calm(), seed);
        net.run(SETTLE);
        net.pause(0);
        net.run(secs(pause_secs));
        net.resume(0);
        let thawed_at = net.now;
        net.run(HEAL);
        prop_assert_eq!(net.disagreements(), Vec::<String>::new());
        let log = &net.nodes[0].log;
        let blamed = log.iter().any(|(at, action)| {
            *at >= thawed_at && matches!(action, Action::Member { record }
                if matches!(record.status, Status::Dead | Status::Suspect))
        });
        prop_assert!(!blamed, "{:?}", log);
        let noticed = log.iter().any(|(_, action)| matches!(action, Action::Paused { .. }));
        prop_assert!(noticed, "the pause went unnoticed");
    }

    #[test]
    fn a_process_that_leaves_is_never_held_dead(
        count in 2..9_usize,
        who in 0..9_usize,
        grace_ms in 200..2000_u64,
        seed in any::<u64>(),
    ) {
        let who = who % count;
        let mut net = Net::new(count, calm(), seed);
        net.run(SETTLE);
        net.event(who, Event::Leave);
        net.run(Duration::from_millis(grace_ms));
        net.crash(who);
        net.run(secs(30));
        for by in (0..count).filter(|by| *by != who) {
            prop_assert_eq!(net.held(by, who), Some(Status::Left));
            let blamed = net.nodes[by].log.iter().any(|(_, action)| matches!(
                action, Action::Member { record } if record.status == Status::Dead));
            prop_assert!(!blamed);
        }
    }
}

#[test]
fn a_suspicion_from_before_a_pause_gets_its_time_after_it() {
    let mut net = Net::new(4, calm(), 4);
    net.run(SETTLE);
    net.pause(1);
    while net.held(0, 1) != Some(Status::Suspect) {
        net.run(TICK);
    }
    net.pause(0);
    net.resume(1);
    net.run(secs(60));
    // The tick comes before the datagrams that wait, among them the refutation.
    net.nodes[0].is_paused = false;
    net.event(0, Event::Tick);
    assert_eq!(net.held(0, 1), Some(Status::Suspect));
    net.resume(0);
    net.run(HEAL);
    assert_eq!(net.disagreements(), Vec::<String>::new());
    let blamed = net.nodes[0].log.iter().any(
        |(_, action)| matches!(action, Action::Member { record } if record.status == Status::Dead),
    );
    assert!(!blamed, "a process was held dead for the time of another one's pause");
}

#[test]
fn a_revision_in_force_is_told_within_a_few_ticks() {
    let mut net = Net::new(8, calm(), 5);
    net.run(SETTLE);
    net.event(0, Event::InForce(5));
    net.run(TICK * 4);
    let peers = net.nodes.iter().filter_map(|node| node.state.peer("node-0"));
    let told = peers.filter(|peer| peer.revision == 5).count();
    assert!(told >= Settings::default().fanout, "only {told} were told");
}

/// Returns a packet of process `index`, at the life that it has.
fn packet(net: &Net, index: usize, message: Message, updates: Vec<Update>) -> Event {
    let me = net.nodes[index].state.me();
    let life = Instance { incarnation: me.incarnation, boot: me.boot };
    let place = Some(me.location.clone());
    let sender =
        MemberRecord { name: name(index), instance: life, status: Status::Alive, location: place };
    let packet = Box::new(Packet { sender, revision: 0, message, updates });
    Event::Received { from: net::address(index), packet }
}

#[test]
fn two_processes_of_one_name_are_reported() {
    let mut net = Net::new(3, calm(), 1);
    net.run(SETTLE);
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
fn a_process_that_is_held_dead_is_told_so_when_it_speaks() {
    let mut net = Net::new(3, calm(), 3);
    net.run(SETTLE);
    net.pause(1);
    net.run(secs(30));
    assert_eq!(net.held(0, 1), Some(Status::Dead));
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
fn usage_of_an_earlier_life_does_not_hide_that_of_the_new_one() {
    let mut net = Net::new(3, calm(), 2);
    net.run(SETTLE);
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
    net.run(SETTLE);
    net.event(2, Event::Publish(usage(1, b"new")));
    net.run(secs(60));
    // Usage is not part of exchanges, so it takes a second word to get above the earlier life.
    net.event(2, Event::Publish(usage(2, b"new")));
    net.run(secs(60));
    for node in &net.nodes {
        assert_eq!(&*node.state.fact(&key).unwrap().body, b"new");
    }
}
