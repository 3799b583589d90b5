//! Existing groups: those that must be opened, closed or dissolved.
//!
//! - A group that serves is left as it is.
//! - An open group with a draining member is closed if all its members still report it; any other
//!   open group that does not serve is dissolved.
//! - A closing group is dissolved if a member no longer reports it or if its requests take too long
//!   to finish.
//! - A group whose members have all joined, but which this owner did not form, is adopted: its members are ordered to join it
//!   once more, and it is opened when all have replied. It is dissolved if they don't in time, or if an order of this owner may
//!   still take one of them away.
//! - A group that its head has given up needs no order: its members are free.
//! - Any other group is incomplete, and is dissolved after a grace period. Groups of a single
//!   server are exempt, since they are warm spares.
//!
//! A group is dissolved by ordering its head to leave.

use base::prelude::*;

use super::Command;
use super::INCOMPLETE_GRACE;
use super::JOINING_GRACE;
use super::ObservedState;
use super::Order;
use super::Owner;
use super::forming::FormingGroup;
use super::head_in_name;
use crate::observed_groups::Group;
use crate::server::Phase;
use crate::server::Server;
use crate::server::ServerState;

/// How long a closing group may take to finish its requests: a little less than a member that drains waits.
const MAX_CLOSE_TIME: Duration = Duration::from_secs(9);
/// How long a spare that another owner has warmed up may take to confirm its state.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);
/// How long the adoption of a group may take, with some orders that go unanswered.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(4);

impl Owner {
    /// Opens groups that are ready, closes those with a draining member, and dissolves incomplete
    /// ones.
    pub(super) fn maintain_groups(
        &mut self,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        for (key, group) in &observed.groups.by_key {
            if self.forming.contains(&key.0) || self.is_released(group) {
                continue;
            }
            let head = group.head().and_then(|head| observed.servers.get(head));
            if self.retiring_groups.contains(key) {
                self.retire(group, head, observed, commands);
                continue;
            }
            match group.head_phase {
                Some(Phase::Open) if group.is_serving(observed.engine) => {}
                Some(Phase::Open) if group.is_draining && has_all_members(group, observed) => {
                    self.close(group, head, observed, commands);
                }
                Some(Phase::Open) => self.dissolve(group, commands),
                Some(Phase::Closing) => self.finish_closing(group, observed, commands),
                Some(Phase::Ready) if self.is_adoptable(group, observed) => {
                    self.adopt(group, observed, commands);
                }
                Some(Phase::Joining | Phase::Ready) | None => {
                    self.dissolve_incomplete(group, head, observed, commands);
                }
                Some(Phase::Broken) => {}
            }
        }
    }

    /// Continues the retirement of a group whose members will serve in other groups.
    fn retire(
        &mut self,
        group: &Group,
        head: Option<&Server>,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let key = group.key();
        match group.head_phase {
            Some(Phase::Open) => self.close(group, head, observed, commands),
            Some(Phase::Closing) => self.finish_closing(group, observed, commands),
            // An order to open the group may still be in transit: only leaving the group rules that
            // out.
            Some(Phase::Ready) if self.closed_at.contains_key(&key) => {
                self.dissolve(group, commands);
            }
            _ => {
                self.retiring_groups.remove(&key);
            }
        }
    }

    fn close(
        &mut self,
        group: &Group,
        head: Option<&Server>,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let Some(head) = head else { return };
        let key = group.key();
        let order = Order::Close { group: key.0.clone(), epoch: key.1 };
        if self.send_order(head, order, commands) {
            self.closed_at.entry(key).or_insert(observed.now);
        }
    }

    fn finish_closing(
        &mut self,
        group: &Group,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let key = group.key();
        let since = *self.closed_at.entry(key).or_insert(observed.now);
        if !has_all_members(group, observed) || observed.now > since + MAX_CLOSE_TIME {
            self.dissolve(group, commands);
        }
    }

    /// Orders the head to leave the group, which aborts the requests that still run there.
    pub(super) fn dissolve(&mut self, group: &Group, commands: &mut Vec<Command>) {
        // A group that was not formed by an owner of this system is left alone.
        let Some((head, address)) = head_in_name(&group.name) else { return };
        let order = Order::Leave { group: group.name.clone(), epoch: group.epoch };
        self.send_order_to(head, address, order, commands);
    }

    fn dissolve_incomplete(
        &mut self,
        group: &Group,
        head: Option<&Server>,
        observed: &ObservedState<'_>,
        commands: &mut Vec<Command>,
    ) {
        let key = group.key();
        let since = *self.incomplete_since.entry(key).or_insert(observed.now);
        let is_joining = group.head_phase.is_some() && !group.all_joined;
        let is_head_unresponsive = head.is_none() && self.unanswered.contains_key(&group.key());
        let grace = match is_joining {
            true => JOINING_GRACE,
            false if is_head_unresponsive => Duration::ZERO,
            false => INCOMPLETE_GRACE,
        };
        let is_kept = head.is_some_and(|head| self.keeps_spare(head, group, observed));
        if observed.now < since + grace || is_kept {
            return;
        }
        // The head may serve although its report is old or missing: only its reply to the order
        // counts.
        if !self.is_head_gone(&group.key(), observed) {
            self.dissolve(group, commands);
        }
    }

    /// Returns whether a group only needs to be opened, as far as orders of this owner are concerned.
    fn is_adoptable(&self, group: &Group, observed: &ObservedState<'_>) -> bool {
        has_all_members(group, observed) && !group.is_draining && !self.outstanding.can_split(group)
    }

    /// Returns whether a group is left to its head, a spare that was warmed up: this owner hasn't ordered it to open, and it
    /// confirms in time that no former owner has.
    fn keeps_spare(&self, head: &Server, group: &Group, observed: &ObservedState<'_>) -> bool {
        let key = group.key();
        let is_usable = head.state == ServerState::Ready && !observed.is_evacuated(head);
        let since = self.incomplete_since.get(&key).copied().unwrap_or(observed.now);
        let is_sure = || {
            self.outstanding.has_formed(&key)
                || self.outstanding.is_confirmed(head)
                || observed.now < since + CONFIRM_TIMEOUT
        };
        group.members.len() < 2 && !self.outstanding.is_opened(&key) && (!is_usable || is_sure())
    }

    /// Orders the members of a group to join it once more, which shows that no order of a former owner can take one away.
    fn adopt(&mut self, group: &Group, observed: &ObservedState<'_>, commands: &mut Vec<Command>) {
        let since = *self.adopting_since.entry(group.key()).or_insert(observed.now);
        let deadline = since + ADOPTION_TIMEOUT;
        if observed.now >= deadline {
            return self.dissolve(group, commands);
        }
        let instances =
            group.members.values().map(|id| observed.servers[id].instance_id()).collect();
        let forming = FormingGroup::adopted(group, instances, deadline);
        self.forming.insert(group.name.clone(), forming);
    }
}

/// Returns whether all members of a group report it and have joined.
fn has_all_members(group: &Group, observed: &ObservedState<'_>) -> bool {
    let model = group.model.as_deref().and_then(|model| observed.engine.model(model));
    group.all_joined && model.is_some_and(|model| group.is_complete(model.group_size))
}
