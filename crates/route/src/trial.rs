//! Trial permits: permission to run a request that may crash its group.
//!
//! One process coordinates the trials of a model version: the owner of [`coordinator_key`] by
//! rendezvous hashing over the membership. The ownership is soft, since processes may briefly
//! disagree on the membership. Before another process runs a suspect, it sends the coordinator a
//! [`TrialRequest`] with the crash history that it knows, and runs the suspect only as permitted:
//!
//! - Each fingerprint is run at most once at a time over all processes.
//! - A process that ends a trial reports the crash history together with the end, so no other trial
//!   of the request is permitted without knowledge of its outcome. If that message is lost, the
//!   next trial waits for the deadline of the lost one.
//! - Each suspect runs at a group without other suspects. So a crash identifies the request that
//!   caused it, and many suspects are cleared at the same time while only the group of the poison
//!   request is at risk.
//!
//! A resent request may reach a process that gossip has not informed yet. That process sees at
//! least that the first-choice group of the request has failed, and therefore requests a permit
//! too; the coordinator knows the suspect from the first trial request. Without an answer from the
//! coordinator nothing is run.
//!
//! Invariants: no two running trials have the same fingerprint, and no two suspects run at the same
//! group. A trial ends when it is released, when the verdict on its request changes, when the
//! process that runs it is no longer live, or when the deadline of the request has passed.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::quarantine::CrashHistory;
use crate::request::Fingerprint;

/// Time to retry after while the request or every group is in another trial.
pub const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum time for which a trial permit is valid.
const MAX_TRIAL_DURATION: Duration = Duration::from_secs(120);

/// A request for a trial permit.
#[wire]
pub struct TrialRequest {
    /// The process that sends it.
    pub node: NodeId,
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Groups at which an attempt of the request failed.
    pub excluded: Vec<GroupId>,
    /// The crash history of the request as known to the sender.
    #[serde(rename = "fact")]
    pub history: CrashHistory,
    /// Time until the deadline of the request, at which the trial ends in any case.
    #[serde(rename = "patience")]
    pub time_to_deadline: Duration,
}

/// The coordinator's answer to a [`TrialRequest`].
#[wire]
pub enum TrialDecision {
    /// The request may be run: a suspect at the given group only, any other request at any group.
    Run {
        /// The group, for a suspect.
        group: Option<GroupId>,
    },
    /// The sender should send its trial request again later.
    Wait {
        /// The time to retry after.
        retry_after: Duration,
    },
    /// The request is quarantined and must be refused.
    #[serde(rename = "Convicted")]
    Quarantined,
    /// The coordinator did not answer, so the request must not be run.
    NoAnswer,
}

/// A group, at one generation, at which a suspect runs.
#[wire]
pub struct TrialTarget {
    /// The group.
    pub group: GroupId,
    /// Its generation.
    pub generation: Generation,
}

/// A running trial.
#[data]
struct Trial {
    /// The process that runs it.
    holder: NodeId,
    /// The group, for a suspect.
    target: Option<TrialTarget>,
    expires_at: Mono,
}

/// The running trials that this process permitted as coordinator.
#[data]
#[derive(Default)]
pub struct Trials {
    running: BTreeMap<Fingerprint, Trial>,
}

impl Trials {
    /// Starts a trial of a request that is not a suspect, at any group, unless one is running.
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

    /// Starts a trial of a suspect at the first of `targets` at which no other suspect runs, unless
    /// a trial of the same request is running.
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

    /// Ends and returns the trials of suspects at groups for which `has_failed` holds.
    pub fn end_where(
        &mut self,
        has_failed: impl Fn(&TrialTarget) -> bool,
    ) -> Vec<(Fingerprint, TrialTarget)> {
        let running = self.running.iter();
        let ended: Vec<(Fingerprint, TrialTarget)> = running
            .filter_map(|(fingerprint, trial)| Some((*fingerprint, trial.target.clone()?)))
            .filter(|(_, target)| has_failed(target))
            .collect();
        ended.iter().for_each(|(fingerprint, _)| self.release(*fingerprint));
        ended
    }

    /// Ends the trials of processes for which `is_live` does not hold, which can't release them.
    pub fn end_for_dead_holders(&mut self, is_live: impl Fn(&NodeId) -> bool) {
        self.running.retain(|_, trial| is_live(&trial.holder));
    }

    /// Drops the trials whose deadline has passed.
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

/// Returns the key whose owner by rendezvous hashing coordinates the trials of a model version.
pub fn coordinator_key(model: &str, version: &str) -> String {
    format!("trial/{model}/{version}")
}
