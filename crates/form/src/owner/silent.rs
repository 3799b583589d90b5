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
use super::Order;
use super::Owner;
use super::Reply;
use super::View;
use super::is_head;
use crate::census::Census;
use crate::census::Group;
use crate::server::Life;
use crate::server::ServerId;

/// Time between two rounds of questions to a group.
const ROUND_PAUSE: Duration = Duration::from_millis(1_500);
/// How long a server that gave no sign of life is left alone: its report goes missing before.
const LEFT_ALONE: Duration = Duration::from_secs(4);

/// Questions to the members of a group.
#[data]
pub(super) struct Round {
    /// When they were asked.
    asked: Mono,
    /// Members whose answers are awaited.
    awaited: BTreeSet<ServerId>,
    /// Members that answered.
    alive: BTreeSet<ServerId>,
    /// Members that gave no answer.
    silent: BTreeSet<ServerId>,
}

impl Round {
    fn is_over(&self) -> bool {
        self.awaited.is_empty()
    }
}

impl Owner {
    /// Asks the members of silent groups, and gives up those that have lost a member.
    pub(super) fn tend_silent(
        &mut self,
        view: &View<'_>,
        census: &Census,
        commands: &mut Vec<Command>,
    ) {
        let now = view.now;
        self.left_alone.retain(|_, until| *until > now);
        self.rounds.retain(|key, round| {
            census.groups.contains_key(key) && now < round.asked + ROUND_PAUSE
        });
        for (key, group) in &census.groups {
            let is_silent = group.head().is_some_and(|head| view.silent.contains(head));
            let is_doubtful = is_silent || group.is_missing_report;
            if !is_doubtful || !group.serves(view.engine) || self.is_released(group) {
                continue;
            }
            match self.rounds.get(key) {
                None => self.ask_members(group, view, commands),
                Some(round) if round.is_over() => self.judge(group, view, commands),
                Some(_) => {}
            }
        }
    }

    fn ask_members(&mut self, group: &Group, view: &View<'_>, commands: &mut Vec<Command>) {
        let mut awaited = BTreeSet::new();
        for id in group.members.values() {
            let Some(server) = view.known(id) else { continue };
            if self.order(server, Order::Probe, commands) {
                awaited.insert(id.clone());
            }
        }
        let key = group.key();
        let (alive, silent) = (BTreeSet::new(), BTreeSet::new());
        self.rounds.insert(key, Round { asked: view.now, awaited, alive, silent });
    }

    /// Gives `group` up if its head answered and another member that was asked didn't.
    fn judge(&mut self, group: &Group, view: &View<'_>, commands: &mut Vec<Command>) {
        let key = group.key();
        let round = &self.rounds[&key];
        let is_head_alive = group.head().is_some_and(|head| round.alive.contains(head));
        let lost: Vec<Life> =
            round.silent.iter().filter_map(|id| Some(view.known(id)?.life())).collect();
        if !is_head_alive || lost.is_empty() {
            return;
        }
        let until = view.now + LEFT_ALONE;
        self.left_alone.extend(lost.into_iter().map(|life| (life, until)));
        self.give_up(group, commands);
    }

    /// Takes the answer to a question.
    pub(super) fn probed(&mut self, server: &ServerId, reply: Reply, now: Mono) {
        let is_alive = !matches!(reply, Reply::Unanswered | Reply::Refused | Reply::Elsewhere);
        let mut silent_heads = Vec::new();
        for (key, round) in &mut self.rounds {
            if !round.awaited.remove(server) {
                continue;
            }
            if is_alive {
                round.alive.insert(server.clone());
                continue;
            }
            round.silent.insert(server.clone());
            if is_head(server, key) {
                silent_heads.push(key.clone());
            }
        }
        for key in silent_heads {
            self.note_unanswered(key, now);
        }
    }
}
