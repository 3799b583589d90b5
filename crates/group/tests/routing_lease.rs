//! Tests of vouchers over messages that are delayed, reordered, doubled and lost.

use std::collections::BTreeMap;
use std::time::Duration;

use group::prelude::*;
use group::routing_lease::LeaseMessage;
use proptest::prelude::*;

const TTL: Duration = Duration::from_secs(2);
const GROUPS: [&str; 3] = ["g0", "g1", "g2"];
/// How far the clock of the daemon's first life is ahead of the keeper's; each life's is less.
const AHEAD: Duration = Duration::from_secs(500);

fn facts(group: &str, generation: u64) -> GroupEndpoint {
    GroupEndpoint {
        id: group.into(),
        model: "m".into(),
        version: "v".into(),
        adapters: vec![],
        generation,
        leader: ([127, 0, 0, 1], 1).into(),
    }
}

/// A message with the place of its making: the life of its sender and the number of its list.
struct Sent {
    life: u64,
    message: LeaseMessage,
}

/// One keeper's process, one daemon, and all messages ever sent between them.
struct Line {
    now: Duration,
    life: u64,
    daemon_life: u64,
    ledger: LeaseIssuer,
    table: RoutingLeaseTable,
    /// When the oldest probe behind each vouched group was sent.
    probes: BTreeMap<&'static str, Duration>,
    /// For each group, until when some list sent so far supports it.
    supported: BTreeMap<&'static str, Duration>,
    /// The life and number of the last withdrawal of each group that reached the daemon.
    withdrawn: BTreeMap<&'static str, (u64, u64)>,
    /// The life and number of the last change of each group in the sender's list.
    last_up: BTreeMap<&'static str, (u64, u64)>,
    sent: Vec<Sent>,
    polls: Vec<group::routing_lease::LeasePoll>,
}

impl Line {
    fn new() -> Self {
        Line {
            now: Duration::from_secs(10),
            life: 1,
            daemon_life: 1,
            ledger: LeaseIssuer::new("k".into(), 1, TTL),
            table: RoutingLeaseTable::new("d".into(), 1),
            probes: BTreeMap::new(),
            supported: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            last_up: BTreeMap::new(),
            sent: Vec::new(),
            polls: Vec::new(),
        }
    }

    /// Returns the daemon's clock.
    fn clock(&self) -> Duration {
        self.now + AHEAD / self.daemon_life as u32
    }

    fn act(&mut self, kind: u8, pick: usize) {
        let group = GROUPS[pick % GROUPS.len()];
        match kind {
            0 => self.up(group),
            1 => {
                if self.probes.remove(group).is_some() {
                    self.ledger.revoke(&group.into(), 1);
                }
            }
            2 => self.probes.values_mut().for_each(|sent_at| *sent_at = self.now),
            3 | 4 => self.send(),
            5..=8 if !self.sent.is_empty() => {
                // Mostly late messages, often doubled ones.
                self.deliver(pick % self.sent.len());
            }
            9 => {
                let poll = self.table.poll("k", self.clock());
                self.polls.push(poll);
            }
            10 if !self.polls.is_empty() => {
                self.ledger.poll(&self.polls[pick % self.polls.len()].clone());
            }
            11 => {
                self.life += 1;
                self.ledger = LeaseIssuer::new("k".into(), self.life, TTL);
                self.probes.clear();
            }
            12 => {
                self.daemon_life += 1;
                self.table = RoutingLeaseTable::new("d".into(), self.daemon_life);
                self.withdrawn.clear();
                self.last_up.clear();
            }
            _ => self.now += Duration::from_millis(pick as u64 * 40),
        }
    }

    fn up(&mut self, group: &'static str) {
        self.probes.insert(group, self.now);
        self.ledger.grant(facts(group, 1), self.now);
    }

    fn send(&mut self) {
        let oldest = self.probes.values().min().copied();
        let message = self.ledger.message("d", oldest, self.now);
        for (group, probe) in &self.probes {
            let until = self.supported.entry(group).or_default();
            *until = (*until).max(*probe + TTL);
        }
        self.sent.push(Sent { life: self.life, message });
    }

    fn deliver(&mut self, index: usize) {
        let Sent { life, message } = &self.sent[index];
        self.table.receive(message, self.clock());
        if message.echo.is_none_or(|echo| echo.boot != self.daemon_life) {
            return;
        }
        for change in &message.changes {
            let group = GROUPS.iter().find(|group| **group == &*change.group).unwrap();
            let place = (*life, change.number);
            let list = match change.change {
                group::routing_lease::LeaseChangeKind::Granted { .. } => &mut self.last_up,
                _ => &mut self.withdrawn,
            };
            let last = list.entry(group).or_default();
            *last = place.max(*last);
        }
    }

    fn check(&self) {
        for group in GROUPS {
            if !self.table.is_routable(group, self.clock()) {
                continue;
            }
            let until = self.supported.get(group).copied().unwrap_or_default();
            assert!(self.now < until, "{group} counts at {:?}, supported to {until:?}", self.now);
            let up = self.last_up.get(group);
            let down = self.withdrawn.get(group);
            assert!(up > down, "{group} was revived: up {up:?}, withdrawn {down:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4096))]

    #[test]
    fn no_message_revives_a_withdrawn_group_or_outlasts_its_probes(
        steps in prop::collection::vec((0u8..16, 0usize..30), 1..120),
    ) {
        let mut line = Line::new();
        for (kind, pick) in steps {
            line.act(kind, pick);
            line.check();
        }
    }
}

#[test]
fn a_daemon_that_is_far_behind_gets_the_whole_list() {
    let mut line = Line::new();
    line.act(9, 0);
    line.act(10, 0);
    line.up("g0");
    for _ in 0..700 {
        line.act(0, 1);
        line.act(1, 1);
    }
    line.up("g2");
    line.send();
    assert!(line.sent[0].message.full);
    line.deliver(0);
    let routable = GROUPS.map(|group| line.table.is_routable(group, line.clock()));
    assert_eq!(routable, [true, false, true]);
}

#[test]
fn one_heartbeat_costs_the_same_for_one_group_and_for_a_thousand() {
    let size = |groups: usize| {
        let mut line = Line::new();
        line.act(9, 0);
        line.act(10, 0);
        (0..groups).for_each(|i| line.ledger.grant(facts(&format!("g{i}"), 1), line.now));
        line.send();
        line.table.receive(&line.sent[0].message, line.clock());
        line.act(9, 0);
        line.act(10, 1);
        line.send();
        serde_json::to_vec(&line.sent[1].message).unwrap().len()
    };
    println!("{} bytes for 1 group, {} for 1000", size(1), size(1000));
    assert!(size(1000) <= size(1) + 8);
}

#[test]
fn a_released_voucher_runs_out_by_itself() {
    let mut line = Line::new();
    line.act(9, 0);
    line.act(10, 0);
    line.up("g0");
    line.ledger.let_expire(&"g0".into());
    line.up("g1");
    line.send();
    line.deliver(0);
    assert!(line.table.is_routable("g0", line.clock()));
    line.now += TTL / 2;
    line.act(2, 0);
    line.act(9, 0);
    line.act(10, 1);
    line.send();
    line.deliver(1);
    line.now += TTL / 2;
    let routable = ["g0", "g1"].map(|group| line.table.is_routable(group, line.clock()));
    assert_eq!(routable, [false, true]);
}

#[test]
fn a_message_after_a_gap_extends_nothing_and_is_covered_by_nothing_older() {
    let mut line = Line::new();
    line.act(9, 0);
    line.act(10, 0);
    line.up("g0");
    line.send();
    line.deliver(0);
    line.up("g1");
    let mut late = line.ledger.message("d", None, line.now);
    // Change 2 was lost, perhaps a withdrawal of g0; change 3 holds for a tenth of a second.
    let up = late.changes.last_mut().unwrap();
    up.number = 3;
    if let group::routing_lease::LeaseChangeKind::Granted { valid_for, .. } = &mut up.change {
        *valid_for = Duration::from_millis(100);
    }
    late.changes.remove(0);
    (late.after, late.number, late.valid_for) = (2, 3, TTL * 10);
    line.table.receive(&late, line.clock());
    line.now += TTL / 2;
    let routable = ["g0", "g1"].map(|group| line.table.is_routable(group, line.clock()));
    assert_eq!(routable, [true, false]);
    line.now += TTL / 2;
    assert!(!line.table.is_routable("g0", line.clock()));
}
