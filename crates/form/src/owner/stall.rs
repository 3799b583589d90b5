//! Detection of stalled groups.
//!
//! A group stalls as soon as one member is lost, seconds before that member's report goes missing;
//! requests notice at once. So the members of a group are probed when callers find it stalled or
//! when the report of a member is missing. The group is dissolved only if the head replies and
//! another probed member doesn't: neither a slow group nor an owner that is itself partitioned is
//! likely to cause this pattern. A sound member may be silent for a second or so, so one that doesn't reply
//! is probed twice, unless its connections are refused. The unresponsive member joins no group for a while.
//!
//! An unresponsive head can't be told to leave, and may serve again: its members stay in the group
//! until the head's report has gone missing too.

use std::collections::BTreeSet;

use base::prelude::*;

use super::Command;
use super::ObservedState;
use super::Order;
use super::Owner;
use super::Reply;
use super::is_head;
use crate::observed_groups::Group;
use crate::observed_groups::GroupKey;
use crate::server::InstanceId;
use crate::server::ServerId;

/// Time between two rounds of probes to a group.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long an unresponsive server joins no group; if it is lost, its report goes missing before
/// that.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(4);

/// One round of probes to the members of a group.
#[data]
pub(super) struct ProbeRound {
    /// Time when the probes were sent.
    sent_at: Mono,
    /// Members whose replies are pending.
    pending: BTreeSet<ServerId>,
    /// Members that replied.
    responsive: BTreeSet<ServerId>,
    /// Members that didn't reply to the first probe.
    silent: BTreeSet<ServerId>,
    /// Members that are gone, or didn't reply to the second probe either.
    unresponsive: BTreeSet<ServerId>,
    /// Whether the silent members have been probed again.
    is_repeated: bool,
}

impl ProbeRound {
    fn new(pending: BTreeSet<ServerId>, now: Mono) -> Self {
        ProbeRound {
            sent_at: now,
            pending,
            responsive: BTreeSet::new(),
            silent: BTreeSet::new(),
            unresponsive: BTreeSet::new(),
            is_repeated: false,
        }
    }

    fn is_over(&self) -> bool {
        self.pending.is_empty()
    }

    /// Records the reply of a member; returns whether it has replied.
    fn record(&mut self, server: &ServerId, reply: Reply) -> bool {
        match reply {
            Reply::Unanswered(_) if !self.is_repeated => self.silent.insert(server.clone()),
            Reply::Unanswered(_) | Reply::Refused | Reply::Elsewhere => {
                self.unresponsive.insert(server.clone())
            }
            _ => return self.responsive.insert(server.clone()),
        };
        false
    }
}

impl Owner {
    /// Probes the members of stalled groups, and dissolves groups that have lost a member.
    pub(super) fn check_stalled_groups(
        &mut self,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let now = observed.now;
        self.unresponsive_until.retain(|_, until| *until > now);
        self.probe_rounds.retain(|key, round| {
            observed.groups.by_key.contains_key(key) && now < round.sent_at + PROBE_INTERVAL
        });
        for (key, group) in &observed.groups.by_key {
            let is_stalled = group.head().is_some_and(|head| observed.stalled_heads.contains(head));
            let is_suspect = is_stalled || group.has_missing_report;
            if !is_suspect || !group.is_serving(observed.engine) || self.is_released(group) {
                continue;
            }
            match self.probe_rounds.get(key) {
                None => self.probe_members(group, observed, commands),
                Some(round) if round.is_over() => self.evaluate_probes(group, observed, commands),
                Some(_) => {}
            }
        }
    }

    fn probe_members(
        &mut self,
        group: &Group,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let pending = self.probe(group.members.values(), observed, commands);
        self.probe_rounds.insert(group.key(), ProbeRound::new(pending, observed.now));
    }

    /// Probes `members`; returns those that get a probe now.
    fn probe<'a>(
        &mut self,
        members: impl Iterator<Item = &'a ServerId>,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) -> BTreeSet<ServerId> {
        let mut pending = BTreeSet::new();
        for id in members {
            let Some(server) = observed.latest_report(id) else { continue };
            if self.send_order(server, Order::Probe, commands) {
                pending.insert(id.clone());
            }
        }
        pending
    }

    /// Dissolves `group` if its head replied and another probed member didn't.
    fn evaluate_probes(
        &mut self,
        group: &Group,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let key = group.key();
        let round = &self.probe_rounds[&key];
        let is_head_responsive = group.head().is_some_and(|head| round.responsive.contains(head));
        let lost: Vec<InstanceId> = round
            .unresponsive
            .iter()
            .filter_map(|id| Some(observed.latest_report(id)?.instance_id()))
            .collect();
        if !is_head_responsive {
            return;
        }
        if lost.is_empty() {
            return self.probe_again(&key, observed, commands);
        }
        let until = observed.now + UNRESPONSIVE_COOLDOWN;
        self.unresponsive_until.extend(lost.into_iter().map(|instance| (instance, until)));
        self.dissolve(group, commands);
    }

    /// Probes the silent members of a group once more.
    fn probe_again(
        &mut self,
        key: &GroupKey,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let Some(mut round) = self.probe_rounds.remove(key) else { return };
        if !round.is_repeated && !round.silent.is_empty() {
            round.pending = self.probe(round.silent.iter(), observed, commands);
            round.sent_at = observed.now;
            round.is_repeated = true;
        }
        self.probe_rounds.insert(key.clone(), round);
    }

    /// Processes the reply to a probe.
    pub(super) fn handle_probe_reply(&mut self, server: &ServerId, reply: Reply) {
        let mut unresponsive_heads = Vec::new();
        for (key, round) in &mut self.probe_rounds {
            if !round.pending.remove(server) {
                continue;
            }
            if !round.record(server, reply) && is_head(server, key) {
                unresponsive_heads.push(key.clone());
            }
        }
        for key in unresponsive_heads {
            self.unanswered.entry(key).or_default();
        }
    }
}
