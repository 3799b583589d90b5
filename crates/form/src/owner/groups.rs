//! Groups that stand: those that must be opened, emptied or given up.

use base::prelude::*;

use super::Command;
use super::INCOMPLETE_GRACE;
use super::JOINING_GRACE;
use super::Order;
use super::Owner;
use super::View;
use super::forming::Forming;
use super::head_in_name;
use crate::census::Census;
use crate::census::Group;
use crate::server::Phase;
use crate::server::Server;

/// How long a closing group may finish what it has.
const CLOSE_WAIT: Duration = Duration::from_secs(3);

impl Owner {
    /// Opens what only waits for it, closes what a member leaves, and gives up what is not whole.
    pub(super) fn tend_groups(
        &mut self,
        view: &View<'_>,
        census: &Census,
        commands: &mut Vec<Command>,
    ) {
        for (key, group) in &census.groups {
            if self.forming.contains_key(&key.0) || self.is_released(group) {
                continue;
            }
            let head = group.head().and_then(|head| view.servers.get(head));
            if self.retiring.contains(key) {
                self.retire(group, head, view, commands);
                continue;
            }
            match group.head_phase {
                Some(Phase::Open) if group.serves(view.engine) => {}
                Some(Phase::Open) if group.leaving && is_staffed(group, view) => {
                    self.close(group, head, view, commands);
                }
                Some(Phase::Open) => self.give_up(group, commands),
                Some(Phase::Closing) => self.finish_closing(group, view, commands),
                Some(Phase::Ready) if is_adoptable(group, view) => self.adopt(group, view),
                Some(Phase::Joining | Phase::Ready) | None => {
                    self.give_up_incomplete(group, head, view, commands);
                }
                Some(Phase::Broken) => {}
            }
        }
    }

    /// Goes on with a group that is given up for another model.
    fn retire(
        &mut self,
        group: &Group,
        head: Option<&Server>,
        view: &View<'_>,
        commands: &mut Vec<Command>,
    ) {
        let key = group.key();
        match group.head_phase {
            Some(Phase::Open) => self.close(group, head, view, commands),
            Some(Phase::Closing) => self.finish_closing(group, view, commands),
            // An order to open it may still be under way: only leaving undoes that.
            Some(Phase::Ready) if self.closed_at.contains_key(&key) => {
                self.give_up(group, commands);
            }
            _ => {
                self.retiring.remove(&key);
            }
        }
    }

    fn close(
        &mut self,
        group: &Group,
        head: Option<&Server>,
        view: &View<'_>,
        commands: &mut Vec<Command>,
    ) {
        let Some(head) = head else { return };
        let key = group.key();
        let order = Order::Close { group: key.0.clone(), epoch: key.1 };
        if self.order(head, order, commands) {
            self.closed_at.entry(key).or_insert(view.now);
        }
    }

    fn finish_closing(&mut self, group: &Group, view: &View<'_>, commands: &mut Vec<Command>) {
        let key = group.key();
        let since = *self.closed_at.entry(key).or_insert(view.now);
        if !is_staffed(group, view) || view.now > since + CLOSE_WAIT {
            self.give_up(group, commands);
        }
    }

    /// Orders the head to leave, which cuts off what still runs there.
    pub(super) fn give_up(&mut self, group: &Group, commands: &mut Vec<Command>) {
        // A group that no owner of this system formed is left alone.
        let Some((head, address)) = head_in_name(&group.name) else { return };
        let order = Order::Leave { group: group.name.clone(), epoch: group.epoch };
        self.order_at(head, address, order, commands);
    }

    fn give_up_incomplete(
        &mut self,
        group: &Group,
        head: Option<&Server>,
        view: &View<'_>,
        commands: &mut Vec<Command>,
    ) {
        let key = group.key();
        let since = *self.incomplete_since.entry(key).or_insert(view.now);
        let is_joining = group.head_phase.is_some() && !group.joined;
        let is_head_silent = head.is_none() && self.unanswered.contains_key(&group.key());
        let grace = match is_joining {
            true => JOINING_GRACE,
            false if is_head_silent => Duration::ZERO,
            false => INCOMPLETE_GRACE,
        };
        // A server alone is a spare that was warmed up.
        if view.now < since + grace || (head.is_some() && group.members.len() < 2) {
            return;
        }
        // The head's report may be old or missing while the head serves: only its answer tells.
        if !self.is_head_gone(&group.key(), view) {
            self.give_up(group, commands);
        }
    }

    fn adopt(&mut self, group: &Group, view: &View<'_>) {
        let lives = group.members.values().map(|id| view.servers[id].life()).collect();
        let forming = Forming::adopted(group, lives, view.now);
        self.forming.insert(group.name.clone(), forming);
    }
}

/// Returns whether all members of a group are there and have joined.
fn is_staffed(group: &Group, view: &View<'_>) -> bool {
    let model = group.model.as_deref().and_then(|model| view.engine.model(model));
    group.joined && model.is_some_and(|model| group.is_whole(model.size))
}

/// Returns whether a group only needs to be opened.
fn is_adoptable(group: &Group, view: &View<'_>) -> bool {
    is_staffed(group, view) && !group.leaving
}
