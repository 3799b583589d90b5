//! Permission to run a request that may crash its group.
//!
//! One process coordinates the trials of a model version: the soft owner of [`coordinator_key`]
//! by rendezvous hashing over the membership. Before another process runs a suspect it asks the
//! coordinator, with what it knows of it, and runs it only as granted:
//!
//! - each fingerprint is run at most once at a time over all processes;
//! - the end of a trial is told together with what came of it, so no other trial of the request
//!   is granted without that; if that message is lost, the next trial waits for the deadline;
//! - each suspect runs at a group of its own, so a crash names its culprit, and many suspects are
//!   cleared at the same time while only the culprit's group is at risk.
//!
//! A resend may reach a process that gossip has not told yet. Such a process sees at least that
//! the request's first-choice group is gone, and asks as well; the coordinator knows the suspect
//! from the first ask. Without an answer of the coordinator nothing is run.
//!
//! Invariants: no two running trials have the same fingerprint, and no two suspects the same
//! group. A trial ends when it is released, when its verdict changes, when the process that runs it
//! is no longer live, or when the deadline of the request is over.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::need::Fingerprint;
use crate::poison::PoisonFact;

/// When to ask again while the request or all groups are in other trials.
pub const TRIAL_RETRY: Duration = Duration::from_millis(250);
/// The longest time that one permission lasts.
const MAX_TRIAL: Duration = Duration::from_secs(120);

/// Asks for permission to run a request.
#[wire]
pub struct TrialAsk {
    /// The process that asks.
    pub node: NodeId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Groups at which the request failed.
    pub excluded: Vec<GroupId>,
    /// What the asking process knows of the request.
    pub fact: PoisonFact,
    /// Time until the request's deadline, after which the trial has ended in any case.
    pub patience: Duration,
}

/// The coordinator's answer.
#[wire]
pub enum Grant {
    /// Run it; a suspect at this group only, else at any.
    Run {
        /// The group for a suspect.
        group: Option<GroupId>,
    },
    /// Ask again later.
    Wait {
        /// When.
        retry_after: Duration,
    },
    /// Refuse it: it is convicted.
    Convicted,
    /// The coordinator did not answer; nothing may be run.
    NoAnswer,
}

/// A group at which a suspect runs.
#[wire]
pub struct Lane {
    /// The group.
    pub group: GroupId,
    /// Its generation.
    pub generation: Generation,
}

#[data]
struct Trial {
    /// The process that runs it.
    holder: NodeId,
    lane: Option<Lane>,
    until: Mono,
}

/// The running trials that this process granted.
#[data]
#[derive(Default)]
pub struct Trials {
    running: BTreeMap<Fingerprint, Trial>,
}

impl Trials {
    /// Starts a trial of a request that is no suspect, at any group.
    pub fn start(
        &mut self,
        fingerprint: Fingerprint,
        holder: NodeId,
        patience: Duration,
        now: Mono,
    ) -> Grant {
        if self.is_running(fingerprint, now) {
            return Grant::Wait { retry_after: TRIAL_RETRY };
        }
        let trial = Trial { holder, lane: None, until: now + patience.min(MAX_TRIAL) };
        self.running.insert(fingerprint, trial);
        Grant::Run { group: None }
    }

    /// Starts a trial of a suspect at the first of `lanes` at which no other suspect runs.
    pub fn start_suspect(
        &mut self,
        fingerprint: Fingerprint,
        holder: NodeId,
        lanes: impl IntoIterator<Item = Lane>,
        patience: Duration,
        now: Mono,
    ) -> Grant {
        if self.is_running(fingerprint, now) {
            return Grant::Wait { retry_after: TRIAL_RETRY };
        }
        let Some(lane) = lanes.into_iter().find(|lane| self.is_free(&lane.group, now)) else {
            return Grant::Wait { retry_after: TRIAL_RETRY };
        };
        let group = Some(lane.group.clone());
        let trial = Trial { holder, lane: Some(lane), until: now + patience.min(MAX_TRIAL) };
        self.running.insert(fingerprint, trial);
        Grant::Run { group }
    }

    /// Ends the trial of a request.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.running.remove(&fingerprint);
    }

    /// Ends the trials at groups for which `is_gone` holds and returns them.
    pub fn end_at(&mut self, is_gone: impl Fn(&Lane) -> bool) -> Vec<(Fingerprint, Lane)> {
        let running = self.running.iter();
        let ended: Vec<(Fingerprint, Lane)> = running
            .filter_map(|(fingerprint, trial)| Some((*fingerprint, trial.lane.clone()?)))
            .filter(|(_, lane)| is_gone(lane))
            .collect();
        ended.iter().for_each(|(fingerprint, _)| self.release(*fingerprint));
        ended
    }

    /// Ends the trials of processes for which `is_live` does not hold: nobody else will.
    pub fn end_of_dead(&mut self, is_live: impl Fn(&NodeId) -> bool) {
        self.running.retain(|_, trial| is_live(&trial.holder));
    }

    /// Drops trials whose deadline is over.
    pub fn expire(&mut self, now: Mono) {
        self.running.retain(|_, trial| now < trial.until);
    }

    fn is_running(&self, fingerprint: Fingerprint, now: Mono) -> bool {
        self.running.get(&fingerprint).is_some_and(|trial| now < trial.until)
    }

    fn is_free(&self, group: &str, now: Mono) -> bool {
        let holds = |trial: &Trial| trial.lane.as_ref().is_some_and(|lane| &*lane.group == group);
        !self.running.values().any(|trial| now < trial.until && holds(trial))
    }
}

/// Returns the key whose soft owner coordinates the trials of a model version.
pub fn coordinator_key(model: &str, version: &str) -> String {
    format!("trial/{model}/{version}")
}
