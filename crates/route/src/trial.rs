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

use crate::quarantine::CrashHistory;
use crate::request::Fingerprint;

/// When to ask again while the request or all groups are in other trials.
pub const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(250);
/// The longest time that one permission lasts.
const MAX_TRIAL_DURATION: Duration = Duration::from_secs(120);

/// Asks for permission to run a request.
#[wire]
pub struct TrialRequest {
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
    #[serde(rename = "fact")]
    pub history: CrashHistory,
    /// Time until the request's deadline, after which the trial has ended in any case.
    #[serde(rename = "patience")]
    pub time_to_deadline: Duration,
}

/// The coordinator's answer.
#[wire]
pub enum TrialDecision {
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
    #[serde(rename = "Convicted")]
    Quarantined,
    /// The coordinator did not answer; nothing may be run.
    NoAnswer,
}

/// A group at which a suspect runs.
#[wire]
pub struct TrialTarget {
    /// The group.
    pub group: GroupId,
    /// Its generation.
    pub generation: Generation,
}

#[data]
struct Trial {
    /// The process that runs it.
    holder: NodeId,
    target: Option<TrialTarget>,
    expires_at: Mono,
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
        time_to_deadline: Duration,
        now: Mono,
    ) -> TrialDecision {
        if self.is_running(fingerprint, now) {
            return TrialDecision::Wait { retry_after: TRIAL_RETRY_AFTER };
        }
        let trial = Trial {
            holder,
            target: None,
            expires_at: now + time_to_deadline.min(MAX_TRIAL_DURATION),
        };
        self.running.insert(fingerprint, trial);
        TrialDecision::Run { group: None }
    }

    /// Starts a trial of a suspect at the first of `lanes` at which no other suspect runs.
    pub fn start_suspect(
        &mut self,
        fingerprint: Fingerprint,
        holder: NodeId,
        targets: impl IntoIterator<Item = TrialTarget>,
        time_to_deadline: Duration,
        now: Mono,
    ) -> TrialDecision {
        if self.is_running(fingerprint, now) {
            return TrialDecision::Wait { retry_after: TRIAL_RETRY_AFTER };
        }
        let Some(target) = targets.into_iter().find(|target| self.is_free(&target.group, now))
        else {
            return TrialDecision::Wait { retry_after: TRIAL_RETRY_AFTER };
        };
        let group = Some(target.group.clone());
        let trial = Trial {
            holder,
            target: Some(target),
            expires_at: now + time_to_deadline.min(MAX_TRIAL_DURATION),
        };
        self.running.insert(fingerprint, trial);
        TrialDecision::Run { group }
    }

    /// Ends the trial of a request.
    pub fn release(&mut self, fingerprint: Fingerprint) {
        self.running.remove(&fingerprint);
    }

    /// Ends the trials at groups for which `is_gone` holds and returns them.
    pub fn end_where(
        &mut self,
        is_gone: impl Fn(&TrialTarget) -> bool,
    ) -> Vec<(Fingerprint, TrialTarget)> {
        let running = self.running.iter();
        let ended: Vec<(Fingerprint, TrialTarget)> = running
            .filter_map(|(fingerprint, trial)| Some((*fingerprint, trial.target.clone()?)))
            .filter(|(_, target)| is_gone(target))
            .collect();
        ended.iter().for_each(|(fingerprint, _)| self.release(*fingerprint));
        ended
    }

    /// Ends the trials of processes for which `is_live` does not hold: nobody else will.
    pub fn end_for_dead_holders(&mut self, is_live: impl Fn(&NodeId) -> bool) {
        self.running.retain(|_, trial| is_live(&trial.holder));
    }

    /// Drops trials whose deadline is over.
    pub fn expire(&mut self, now: Mono) {
        self.running.retain(|_, trial| now < trial.expires_at);
    }

    fn is_running(&self, fingerprint: Fingerprint, now: Mono) -> bool {
        self.running.get(&fingerprint).is_some_and(|trial| now < trial.expires_at)
    }

    fn is_free(&self, group: &str, now: Mono) -> bool {
        let holds =
            |trial: &Trial| trial.target.as_ref().is_some_and(|target| &*target.group == group);
        !self.running.values().any(|trial| now < trial.expires_at && holds(trial))
    }
}

/// Returns the key whose soft owner coordinates the trials of a model version.
pub fn coordinator_key(model: &str, version: &str) -> String {
    format!("trial/{model}/{version}")
}
