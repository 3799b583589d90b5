//! Trial permits: requesting them, and deciding on them as coordinator.

use base::prelude::*;
use group::view::GroupView;

use crate::choose;
use crate::choose::Candidate;
use crate::hot::shard_key;
use crate::quarantine::Verdict;
use crate::request::RefusalReason;
use crate::request::RequestSpec;
use crate::trial::TRIAL_RETRY_AFTER;
use crate::trial::TrialDecision;
use crate::trial::TrialRequest;
use crate::trial::TrialTarget;

use super::RouteAction;
use super::Router;
use super::Stage;
use super::TRIAL_WINDOW;
use super::dispatch::refusal;

/// Time to retry after if the coordinator of trials does not answer.
const NO_ANSWER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Router {
    /// Returns whether the request is a suspect, or may have crashed its first-choice group.
    ///
    /// Gossip about a crash may not have arrived yet, so this includes every request whose
    /// first-choice group failed within [`TRIAL_WINDOW`], or is not routable and had a routing
    /// lease within it.
    pub(super) fn needs_trial_permit(&self, spec: &RequestSpec, now: Mono) -> bool {
        if self.verdict(spec, now) == Verdict::Suspect {
            return true;
        }
        let expired = self.table.groups.iter().filter(|view| {
            !view.is_routable(now) && now < view.lease_expiry.saturating_add(TRIAL_WINDOW)
        });
        let failed = self.failed_groups.values().filter_map(|failed| failed.view.as_ref());
        let unavailable: Vec<&GroupView> =
            failed.chain(expired).filter(|view| choose::is_compatible(view, spec)).collect();
        if unavailable.is_empty() {
            return false;
        }
        // Failed groups are ranked together with the remaining ones, as when they served.
        let remaining = self.table.groups.iter().filter(|view| {
            let failed = self.failed_groups.get(&view.id);
            let is_unavailable = failed.is_some_and(|failed| failed.generation >= view.generation);
            choose::is_compatible(view, spec) && view.is_routable(now) && !is_unavailable
        });
        let all: Vec<&GroupView> = remaining.chain(unavailable.iter().copied()).collect();
        let is_unavailable =
            |first_choice: &GroupView| unavailable.iter().any(|view| view.id == first_choice.id);
        // Another process may split the prefix into more or fewer shards than this one.
        let max_shards = self.shards(spec) * 2;
        let counts = std::iter::successors(Some(1), |count| Some(count * 2));
        let keys = counts
            .take_while(|count| *count <= max_shards)
            .map(|count| shard_key(spec.affinity_key(), spec.fingerprint, count));
        keys.filter_map(|key| choose::first_choice(all.iter().copied(), key)).any(is_unavailable)
    }

    pub(super) fn request_trial(
        &mut self,
        request: RequestId,
        wait: Duration,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        let node = self.node.clone();
        let Some(entry) = self.requests.get_mut(&request) else { return };
        entry.stage = Stage::AwaitingTrial { again_at: None, wait };
        entry.holds_permit = true;
        let spec = &entry.spec;
        let trial_request = TrialRequest {
            node,
            model: spec.model.clone(),
            version: spec.version.clone(),
            adapter: spec.adapter.clone(),
            excluded: spec.excluded.clone(),
            history: self.quarantine.history(spec.fingerprint),
            time_to_deadline: spec.deadline.saturating_sub(now),
        };
        out.push(RouteAction::RequestTrial { request, trial_request });
    }

    pub(super) fn trial_decided(
        &mut self,
        request: RequestId,
        decision: TrialDecision,
        now: Mono,
        random: u64,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        let Stage::AwaitingTrial { again_at: None, wait } = entry.stage else { return };
        match decision {
            TrialDecision::Run { group } => self.dispatch(request, group, wait, now, random, out),
            TrialDecision::Wait { retry_after } => {
                entry.holds_permit = false;
                let is_late = now + retry_after >= entry.spec.deadline;
                if is_late {
                    let refusal = refusal(RefusalReason::Suspect, Some(retry_after));
                    return self.refuse(request, refusal, now, out);
                }
                entry.stage = Stage::AwaitingTrial { again_at: Some(now + retry_after), wait };
            }
            TrialDecision::NoAnswer => {
                let refusal = refusal(RefusalReason::Suspect, Some(NO_ANSWER_RETRY_AFTER));
                self.refuse(request, refusal, now, out);
            }
            TrialDecision::Quarantined => {
                entry.holds_permit = false;
                self.refuse(request, refusal(RefusalReason::Quarantined, None), now, out);
            }
        }
    }

    /// Sends the trial requests whose retry time has come again, unless the request is refused by
    /// now.
    pub(super) fn retry_trial_requests(&mut self, now: Mono, out: &mut Vec<RouteAction>) {
        let due = self.requests.values().filter_map(|entry| match entry.stage {
            Stage::AwaitingTrial { again_at: Some(at), wait } if at <= now => {
                Some((entry.spec.request, wait))
            }
            _ => None,
        });
        for (request, wait) in due.collect::<Vec<_>>() {
            let Some(entry) = self.requests.get(&request) else { continue };
            if now + self.min_service_time(&entry.spec, now) > entry.spec.deadline {
                let refusal = refusal(RefusalReason::Suspect, Some(TRIAL_RETRY_AFTER));
                self.refuse(request, refusal, now, out);
            } else if let Err(refusal) = self.check_verdict(&entry.spec, now) {
                self.refuse(request, refusal, now, out);
            } else {
                self.request_trial(request, wait, now, out);
            }
        }
    }

    /// Decides on a trial request as coordinator.
    pub(super) fn decide_trial(
        &mut self,
        trial_request: &TrialRequest,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) -> TrialDecision {
        self.merge_history(&trial_request.history, now, out);
        let fingerprint = trial_request.history.fingerprint;
        match self.quarantine.verdict(fingerprint, self.wall_millis(now)) {
            Verdict::Quarantined => TrialDecision::Quarantined,
            Verdict::Clear => self.trials.start(
                fingerprint,
                trial_request.node.clone(),
                trial_request.time_to_deadline,
                now,
            ),
            Verdict::Suspect => {
                let targets = self.targets(trial_request, now);
                self.trials.start_suspect(
                    fingerprint,
                    trial_request.node.clone(),
                    targets,
                    trial_request.time_to_deadline,
                    now,
                )
            }
        }
    }

    /// Returns the groups at which a suspect may be run, the least loaded first.
    fn targets(&self, trial_request: &TrialRequest, now: Mono) -> Vec<TrialTarget> {
        let mut spec = RequestSpec::new(0, "", &trial_request.model, &trial_request.version, &[]);
        spec.adapter = trial_request.adapter.clone();
        spec.excluded = trial_request.excluded.clone();
        let mut available = self.candidates(&spec, now);
        available.sort_by_key(|candidate| candidate.estimated_load);
        let target = |candidate: Candidate<'_>| TrialTarget {
            group: candidate.view.id.clone(),
            generation: candidate.view.generation,
        };
        available.into_iter().map(target).collect()
    }
}
