//! Groups from which nothing comes any more.
//!
//! A group stands still as soon as one member is lost, seconds before that member's report goes
//! missing; requests notice at once. So each member of a group that callers find silent, or of
//! which a report is missing, is asked for a sign of life. Only if the head answers and another
//! member that was asked doesn't is the group given up: a slow group, or an owner that is cut off
//! itself, hardly looks like that. The member that gave no sign is left alone for a while.
//!
//! A head that gives no sign can't be told to leave, and may serve again: its members stay until
//! its report has gone missing too.

use std::collections::BTreeSet;

use base::prelude::*;

use super::Command;
use super::ObservedState;
use super::Order;
use super::Owner;
use super::Reply;
use super::is_head;
use crate::observed_groups::Group;
use crate::observed_groups::ObservedGroups;
use crate::server::InstanceId;
use crate::server::ServerId;

/// Time between two rounds of questions to a group.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a server that gave no sign of life is left alone: its report goes missing before.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(4);

/// Questions to the members of a group.
#[data]
pub(super) struct ProbeRound {
    /// When they were asked.
    sent_at: Mono,
    /// Members whose answers are awaited.
    pending: BTreeSet<ServerId>,
    /// Members that answered.
    responsive: BTreeSet<ServerId>,
    /// Members that gave no answer.
    unresponsive: BTreeSet<ServerId>,
}

impl ProbeRound {
    fn is_over(&self) -> bool {
        self.pending.is_empty()
    }
}

impl Owner {
    /// Asks the members of silent groups, and gives up those that have lost a member.
    pub(super) fn check_stalled_groups(
        &mut self,
        observed: &ObservedState<'_>,
        observed_groups: &ObservedGroups,
        commands: &mut Vec<Command>,
    ) {
        let now = observed.now;
        self.unresponsive_until.retain(|_, until| *until > now);
        self.probe_rounds.retain(|key, round| {
            observed_groups.by_key.contains_key(key) && now < round.sent_at + PROBE_INTERVAL
        });
        for (key, group) in &observed_groups.by_key {
            let is_silent = group.head().is_some_and(|head| observed.stalled_heads.contains(head));
            let is_doubtful = is_silent || group.has_missing_report;
            if !is_doubtful || !group.is_serving(observed.engine) || self.is_released(group) {
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
        let mut awaited = BTreeSet::new();
        for id in group.members.values() {
            let Some(server) = observed.latest_report(id) else { continue };
            if self.send_order(server, Order::Probe, commands) {
                awaited.insert(id.clone());
            }
        }
        let key = group.key();
        let (alive, silent) = (BTreeSet::new(), BTreeSet::new());
        self.probe_rounds.insert(
            key,
            ProbeRound {
                sent_at: observed.now,
                pending: awaited,
                responsive: alive,
                unresponsive: silent,
            },
        );
    }

    /// Gives `group` up if its head answered and another member that was asked didn't.
    fn evaluate_probes(
        &mut self,
        group: &Group,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let key = group.key();
        let round = &self.probe_rounds[&key];
        let is_head_alive = group.head().is_some_and(|head| round.responsive.contains(head));
        let lost: Vec<InstanceId> = round
            .unresponsive
            .iter()
            .filter_map(|id| Some(observed.latest_report(id)?.instance_id()))
            .collect();
        if !is_head_alive || lost.is_empty() {
            return;
        }
        let until = observed.now + UNRESPONSIVE_COOLDOWN;
        self.unresponsive_until.extend(lost.into_iter().map(|life| (life, until)));
        self.dissolve(group, commands);
    }

    /// Takes the answer to a question.
    pub(super) fn handle_probe_reply(&mut self, server: &ServerId, reply: Reply, now: Mono) {
        let is_alive = !matches!(reply, Reply::Unanswered | Reply::Refused | Reply::Elsewhere);
        let mut silent_heads = Vec::new();
        for (key, round) in &mut self.probe_rounds {
            if !round.pending.remove(server) {
                continue;
            }
            if is_alive {
                round.responsive.insert(server.clone());
                continue;
            }
            round.unresponsive.insert(server.clone());
            if is_head(server, key) {
                silent_heads.push(key.clone());
            }
        }
        for key in silent_heads {
            self.note_unanswered(key, now);
        }
    }
}
