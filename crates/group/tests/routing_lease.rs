//! Tests of routing leases over messages that are delayed, reordered, duplicated and lost.

use std::collections::BTreeMap;
use std::time::Duration;

use group::prelude::*;
use group::routing_lease::LeaseMessage;
use proptest::prelude::*;

const TTL: Duration = Duration::from_secs(2);
const GROUPS: [&str; 3] = ["g0", "g1", "g2"];
/// Offset of the clock of the daemon's first instance to the issuer's clock; the offset of
/// instance n is an n-th of it.
const CLOCK_OFFSET: Duration = Duration::from_secs(500);

fn endpoint(group: &str, generation: u64) -> GroupEndpoint {
    GroupEndpoint {
        id: group.into(),
        model: "m".into(),
        version: "v".into(),
        adapters: vec![],
        generation,
        leader: ([127, 0, 0, 1], 1).into(),
    }
}

/// A message that was sent, with the boot id of its sender.
struct Sent {
    boot: u64,
    message: LeaseMessage,
}

/// One issuing process, one daemon, and all messages ever sent between them.
struct Link {
    now: Duration,
    boot: u64,
    daemon_boot: u64,
    issuer: LeaseIssuer,
    table: RoutingLeaseTable,
    /// For each group with a lease, when the oldest probe that supports it was sent.
    probes: BTreeMap<&'static str, Duration>,
    /// For each group, the latest time until which any message sent so far supports its lease.
    supported: BTreeMap<&'static str, Duration>,
    /// The boot id and number of the last revocation of each group that reached the daemon.
    last_revoked: BTreeMap<&'static str, (u64, u64)>,
    /// The boot id and number of the last grant of each group that reached the daemon.
    last_granted: BTreeMap<&'static str, (u64, u64)>,
    sent: Vec<Sent>,
    polls: Vec<group::routing_lease::LeasePoll>,
}

impl Link {
    fn new() -> Self {
        Link {
            now: Duration::from_secs(10),
            boot: 1,
            daemon_boot: 1,
            issuer: LeaseIssuer::new("issuer".into(), 1, TTL),
            table: RoutingLeaseTable::new("daemon".into(), 1),
            probes: BTreeMap::new(),
            supported: BTreeMap::new(),
            last_revoked: BTreeMap::new(),
            last_granted: BTreeMap::new(),
            sent: Vec::new(),
            polls: Vec::new(),
        }
    }

    /// Returns the daemon's clock.
    fn clock(&self) -> Duration {
        self.now + CLOCK_OFFSET / self.daemon_boot as u32
    }

    fn step(&mut self, kind: u8, pick: usize) {
        let group = GROUPS[pick % GROUPS.len()];
        match kind {
            0 => self.grant(group),
            1 => {
                if self.probes.remove(group).is_some() {
                    self.issuer.revoke(&group.into(), 1);
                }
            }
            2 => self.probes.values_mut().for_each(|sent_at| *sent_at = self.now),
            3 | 4 => self.send(),
            5..=8 if !self.sent.is_empty() => {
                // Any earlier message: mostly late ones, often duplicates.
                self.deliver(pick % self.sent.len());
            }
            9 => {
                let poll = self.table.poll("issuer", self.clock());
                self.polls.push(poll);
            }
            10 if !self.polls.is_empty() => {
                self.issuer.poll(&self.polls[pick % self.polls.len()].clone());
            }
            11 => {
                self.boot += 1;
                self.issuer = LeaseIssuer::new("issuer".into(), self.boot, TTL);
                self.probes.clear();
            }
            12 => {
                self.daemon_boot += 1;
                self.table = RoutingLeaseTable::new("daemon".into(), self.daemon_boot);
                self.last_revoked.clear();
                self.last_granted.clear();
            }
            _ => self.now += Duration::from_millis(pick as u64 * 40),
        }
    }

    fn grant(&mut self, group: &'static str) {
        self.probes.insert(group, self.now);
        self.issuer.grant(endpoint(group, 1), self.now);
    }

    fn send(&mut self) {
        let oldest = self.probes.values().min().copied();
        let message = self.issuer.message("daemon", oldest, self.now);
        for (group, probe) in &self.probes {
            let until = self.supported.entry(group).or_default();
            *until = (*until).max(*probe + TTL);
        }
        self.sent.push(Sent { boot: self.boot, message });
    }

    fn deliver(&mut self, index: usize) {
        let Sent { boot, message } = &self.sent[index];
        self.table.receive(message, self.clock());
        if message.echo.is_none_or(|echo| echo.boot != self.daemon_boot) {
            return;
        }
        for change in &message.changes {
            let group = GROUPS.iter().find(|group| **group == &*change.group).unwrap();
            let position = (*boot, change.number);
            let list = match change.change {
                group::routing_lease::LeaseChangeKind::Granted { .. } => &mut self.last_granted,
                _ => &mut self.last_revoked,
            };
            let last = list.entry(group).or_default();
            *last = position.max(*last);
        }
    }

    fn check(&self) {
        for group in GROUPS {
            if !self.table.is_routable(group, self.clock()) {
                continue;
            }
            let until = self.supported.get(group).copied().unwrap_or_default();
            assert!(self.now < until, "{group} is routable at {:?}, after {until:?}", self.now);
            let granted = self.last_granted.get(group);
            let revoked = self.last_revoked.get(group);
            assert!(granted > revoked, "{group}: granted at {granted:?}, revoked at {revoked:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4096))]

    #[test]
    fn no_message_restores_a_revoked_lease_or_outlasts_its_probes(
        steps in prop::collection::vec((0u8..16, 0usize..30), 1..120),
    ) {
        let mut link = Link::new();
        for (kind, pick) in steps {
            link.step(kind, pick);
            link.check();
        }
    }
}

#[test]
fn a_daemon_that_lags_far_behind_gets_a_snapshot() {
    let mut link = Link::new();
    link.step(9, 0);
    link.step(10, 0);
    link.grant("g0");
    for _ in 0..700 {
        link.step(0, 1);
        link.step(1, 1);
    }
    link.grant("g2");
    link.send();
    assert!(link.sent[0].message.full);
    link.deliver(0);
    let routable = GROUPS.map(|group| link.table.is_routable(group, link.clock()));
    assert_eq!(routable, [true, false, true]);
}

#[test]
fn the_size_of_a_heartbeat_does_not_grow_with_the_number_of_groups() {
    let size = |groups: usize| {
        let mut link = Link::new();
        link.step(9, 0);
        link.step(10, 0);
        (0..groups).for_each(|i| link.issuer.grant(endpoint(&format!("g{i}"), 1), link.now));
        link.send();
        link.table.receive(&link.sent[0].message, link.clock());
        link.step(9, 0);
        link.step(10, 1);
        link.send();
        serde_json::to_vec(&link.sent[1].message).unwrap().len()
    };
    println!("{} bytes for 1 group, {} for 1000", size(1), size(1000));
    assert!(size(1000) <= size(1) + 8);
}

#[test]
fn a_lease_that_is_no_longer_renewed_expires() {
    let mut link = Link::new();
    link.step(9, 0);
    link.step(10, 0);
    link.grant("g0");
    link.issuer.let_expire(&"g0".into());
    link.grant("g1");
    link.send();
    link.deliver(0);
    assert!(link.table.is_routable("g0", link.clock()));
    link.now += TTL / 2;
    link.step(2, 0);
    link.step(9, 0);
    link.step(10, 1);
    link.send();
    link.deliver(1);
    link.now += TTL / 2;
    let routable = ["g0", "g1"].map(|group| link.table.is_routable(group, link.clock()));
    assert_eq!(routable, [false, true]);
}

#[test]
fn a_message_after_a_gap_renews_no_lease_and_earlier_heartbeats_do_not_renew_its_own() {
    let mut link = Link::new();
    link.step(9, 0);
    link.step(10, 0);
    link.grant("g0");
    link.send();
    link.deliver(0);
    link.grant("g1");
    let mut late = link.issuer.message("daemon", None, link.now);
    // Change 2, possibly a revocation of g0, is lost; change 3 is valid for a tenth of a second.
    let granted = late.changes.last_mut().unwrap();
    granted.number = 3;
    if let group::routing_lease::LeaseChangeKind::Granted { valid_for, .. } = &mut granted.change {
        *valid_for = Duration::from_millis(100);
    }
    late.changes.remove(0);
    (late.after, late.number, late.valid_for) = (2, 3, TTL * 10);
    link.table.receive(&late, link.clock());
    link.now += TTL / 2;
    let routable = ["g0", "g1"].map(|group| link.table.is_routable(group, link.clock()));
    assert_eq!(routable, [true, false]);
    link.now += TTL / 2;
    assert!(!link.table.is_routable("g0", link.clock()));
}
