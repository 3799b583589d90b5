//! Permission for requests that may crash a group: asking, and deciding as coordinator.

use base::prelude::*;
use group::view::GroupView;

use crate::choose;
use crate::choose::Candidate;
use crate::hot::version_key;
use crate::need::Need;
use crate::need::RefusalReason;
use crate::poison::Verdict;
use crate::trial::Grant;
use crate::trial::Lane;
use crate::trial::TRIAL_RETRY;
use crate::trial::TrialAsk;

use super::RouteAction;
use super::Router;
use super::Stage;
use super::VETTING_WINDOW;
use super::place::refusal;

/// When to come back if the coordinator of trials does not answer.
const NO_ANSWER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Router {
    /// Returns whether the request may be one that crashed its first-choice group.
    pub(super) fn needs_permission(&self, need: &Need, now: Mono) -> bool {
        if self.verdict(need, now) == Verdict::Suspect {
            return true;
        }
        let lapsed = self.table.groups.iter().filter(|view| {
            !view.is_routable(now) && now < view.vouched_until.saturating_add(VETTING_WINDOW)
        });
        let down = self.downs.values().filter_map(|down| down.view.as_ref());
        let gone: Vec<&GroupView> =
            down.chain(lapsed).filter(|view| choose::holds(view, need)).collect();
        if gone.is_empty() {
            return false;
        }
        // Groups that are gone rank among those that are left, as they did when they served.
        let left = self.table.groups.iter().filter(|view| {
            let down = self.downs.get(&view.id);
            let is_gone = down.is_some_and(|down| down.generation >= view.generation);
            choose::holds(view, need) && view.is_routable(now) && !is_gone
        });
        let all: Vec<&GroupView> = left.chain(gone.iter().copied()).collect();
        let is_gone = |home: &GroupView| gone.iter().any(|view| view.id == home.id);
        // Another process may split the prefix into more or fewer versions than this one.
        let most = self.versions(need) * 2;
        let counts = std::iter::successors(Some(1), |count| Some(count * 2));
        let keys = counts
            .take_while(|count| *count <= most)
            .map(|count| version_key(need.affinity_key(), need.fingerprint, count));
        keys.filter_map(|key| choose::home(all.iter().copied(), key)).any(is_gone)
    }

    pub(super) fn ask_trial(
        &mut self,
        request: RequestId,
        wait: Duration,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        let node = self.node.clone();
        let Some(row) = self.rows.get_mut(&request) else { return };
        row.stage = Stage::Vetting { again_at: None, wait };
        row.vetted = true;
        let need = &row.need;
        let ask = TrialAsk {
            node,
            model: need.model.clone(),
            version: need.version.clone(),
            adapter: need.adapter.clone(),
            excluded: need.excluded.clone(),
            fact: self.quarantine.fact(need.fingerprint),
            patience: need.deadline.saturating_sub(now),
        };
        out.push(RouteAction::AskTrial { request, ask });
    }

    pub(super) fn granted(
        &mut self,
        request: RequestId,
        grant: Grant,
        now: Mono,
        draw: u64,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(row) = self.rows.get_mut(&request) else { return };
        let Stage::Vetting { again_at: None, wait } = row.stage else { return };
        match grant {
            Grant::Run { group } => self.dispatch(request, group, wait, now, draw, out),
            Grant::Wait { retry_after } => {
                row.vetted = false;
                let is_late = now + retry_after >= row.need.deadline;
                if is_late {
                    let refusal = refusal(RefusalReason::Suspect, Some(retry_after));
                    return self.refuse(request, refusal, now, out);
                }
                row.stage = Stage::Vetting { again_at: Some(now + retry_after), wait };
            }
            Grant::NoAnswer => {
                let refusal = refusal(RefusalReason::Suspect, Some(NO_ANSWER_RETRY_AFTER));
                self.refuse(request, refusal, now, out);
            }
            Grant::Convicted => {
                row.vetted = false;
                self.refuse(request, refusal(RefusalReason::Quarantined, None), now, out);
            }
        }
    }

    /// Asks again for the requests whose waiting time is over, if they are not decided by now.
    pub(super) fn vet_again(&mut self, now: Mono, out: &mut Vec<RouteAction>) {
        let due = self.rows.values().filter_map(|row| match row.stage {
            Stage::Vetting { again_at: Some(at), wait } if at <= now => {
                Some((row.need.request, wait))
            }
            _ => None,
        });
        for (request, wait) in due.collect::<Vec<_>>() {
            let Some(row) = self.rows.get(&request) else { continue };
            if now + self.least_service(&row.need, now) > row.need.deadline {
                let refusal = refusal(RefusalReason::Suspect, Some(TRIAL_RETRY));
                self.refuse(request, refusal, now, out);
            } else if let Err(refusal) = self.check_verdict(&row.need, now) {
                self.refuse(request, refusal, now, out);
            } else {
                self.ask_trial(request, wait, now, out);
            }
        }
    }

    /// Decides as coordinator on another process's ask.
    pub(super) fn coordinate(
        &mut self,
        ask: &TrialAsk,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) -> Grant {
        self.merge_poison(&ask.fact, now, out);
        let fingerprint = ask.fact.fingerprint;
        match self.quarantine.verdict(fingerprint, self.wall_millis(now)) {
            Verdict::Convicted => Grant::Convicted,
            Verdict::Clear => self.trials.start(fingerprint, ask.node.clone(), ask.patience, now),
            Verdict::Suspect => {
                let lanes = self.lanes(ask, now);
                self.trials.start_suspect(fingerprint, ask.node.clone(), lanes, ask.patience, now)
            }
        }
    }

    /// Returns the groups at which a suspect may be tried, the least loaded first.
    fn lanes(&self, ask: &TrialAsk, now: Mono) -> Vec<Lane> {
        let mut need = Need::new(0, "", &ask.model, &ask.version, &[]);
        need.adapter = ask.adapter.clone();
        need.excluded = ask.excluded.clone();
        let mut open = self.candidates(&need, now);
        open.sort_by_key(|candidate| candidate.estimate);
        let lane = |candidate: Candidate<'_>| Lane {
            group: candidate.view.id.clone(),
            generation: candidate.view.generation,
        };
        open.into_iter().map(lane).collect()
    }
}
