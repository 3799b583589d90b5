//! Orders that servers may still carry out, although their senders have given up waiting for a reply.
//!
//! A report shows the past. A server may change after it by an order of a former owner, or by one of this owner that went
//! unanswered. Two things rule that out:
//!
//! - Orders of former owners: the instance has replied to an order of this owner, so that it refuses lower fencing tokens. Such
//!   a reply also has to show what the report shows, since the report may be older: an order to join says that the server is in
//!   the group, and [`Order::Confirm`](super::Order::Confirm) that it is where its report shows it.
//! - Joins of this owner: the instance has seen an epoch at least as high as that of each join that was sent to it, so that it
//!   refuses the others. Only orders to join name other groups than the one that they affect.
//!
//! What was sent is remembered by server, and forgotten once the server's report has been missing for so long that the
//! server is forgotten too. An order isn't carried out by a later instance, so what an instance has proved holds only for that
//! instance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::prelude::*;

use super::ObservedState;
use super::head_in_name;
use super::is_head;
use crate::observed_groups::Group;
use crate::observed_groups::GroupKey;
use crate::server::InstanceId;
use crate::server::Server;
use crate::server::ServerId;

/// The orders to join that this owner has sent to a server.
#[data]
#[derive(Default)]
struct SentJoins {
    /// The highest epoch among them.
    highest_epoch: Generation,
    /// The groups of those that went unanswered.
    unanswered: BTreeSet<GroupKey>,
}

/// What an owner knows of orders that servers may still carry out.
#[derive(Clone, Debug, Default)]
pub(super) struct OutstandingOrders {
    joins: BTreeMap<ServerId, SentJoins>,
    /// The groups whose heads were ordered to join them.
    formed: BTreeSet<GroupKey>,
    /// The groups that were ordered to open.
    opened: BTreeSet<GroupKey>,
    /// The instances that have confirmed their reports, and refuse orders of former owners.
    confirmed: BTreeSet<InstanceId>,
}

impl OutstandingOrders {
    /// Notes that an order to join `key` is sent to a server.
    pub(super) fn note_join(&mut self, server: &str, key: &GroupKey) {
        let joins = self.joins.entry(server.into()).or_default();
        joins.highest_epoch = joins.highest_epoch.max(key.1);
        if is_head(server, key) {
            self.formed.insert(key.clone());
        }
    }

    /// Notes that an order to join `key` went unanswered.
    pub(super) fn note_unanswered_join(&mut self, server: &str, key: GroupKey) {
        self.joins.entry(server.into()).or_default().unanswered.insert(key);
    }

    /// Notes that a group is ordered to open.
    pub(super) fn note_open(&mut self, key: GroupKey) {
        self.opened.insert(key);
    }

    /// Notes that an instance has confirmed its report.
    pub(super) fn note_confirmed(&mut self, instance: InstanceId) {
        self.confirmed.insert(instance);
    }

    /// Returns whether no order of a former owner can change what `server`, a report, says.
    pub(super) fn is_confirmed(&self, server: &Server) -> bool {
        self.confirmed.contains(&server.instance_id())
    }

    /// Returns whether an order to open the group was sent, which may still be carried out unless the head has left the group.
    pub(super) fn is_opened(&self, key: &GroupKey) -> bool {
        self.opened.contains(key)
    }

    /// Returns whether this owner has sent the head of a group the order to join it, so that no former owner knows the group.
    pub(super) fn has_formed(&self, key: &GroupKey) -> bool {
        self.formed.contains(key)
    }

    /// Returns whether an order of this owner may still take a member away from the group, or bring back its head once that has
    /// left.
    pub(super) fn can_split(&self, group: &Group) -> bool {
        let takes_away = |id: &ServerId| {
            self.joins.get(id).is_some_and(|joins| joins.highest_epoch > group.epoch)
        };
        let key = group.key();
        let brings_back =
            |id: &ServerId| self.joins.get(id).is_some_and(|joins| joins.unanswered.contains(&key));
        group.members.values().any(takes_away) || group.head().is_some_and(brings_back)
    }

    /// Forgets servers whose reports have been missing for too long, and the proofs of instances that others have replaced.
    pub(super) fn forget(&mut self, observed: &ObservedState<'_>) {
        let epoch = |id: &str| {
            let report = observed.latest_report(id)?;
            Some(report.membership.as_ref().map_or(0, |membership| membership.epoch))
        };
        self.joins.retain(|id, joins| {
            let reported = epoch(id);
            joins.unanswered.retain(|key| reported.is_some_and(|reported| key.1 >= reported));
            reported.is_some()
        });
        self.confirmed.retain(|instance| {
            observed
                .latest_report(&instance.0)
                .is_some_and(|server| server.instance_id() == *instance)
        });
        let may_be_led = |key: &GroupKey| {
            let reported = head_in_name(&key.0).and_then(|(head, _)| epoch(head));
            reported.is_some_and(|reported| key.1 >= reported)
        };
        self.formed.retain(may_be_led);
        self.opened.retain(may_be_led);
    }
}
