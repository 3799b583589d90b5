//! The entry point for all events, and the handlers of all but submissions.

use base::prelude::*;
use group::record::GroupState;
use group::view::GroupTable;
use group::view::GroupView;

use crate::quarantine::Crash;
use crate::quarantine::CrashHistory;
use crate::quarantine::Verdict;
use crate::request::Fingerprint;
use crate::request::RequestSpec;
use crate::share::PUBLISH_PERIOD;

use super::FailedGroup;
use super::Failure;
use super::LOCAL_FAILURE_HOLDOFF;
use super::REFUSAL_HOLDOFF;
use super::RequestEntry;
use super::RouteAction;
use super::RouteEvent;
use super::Router;
use super::Stage;
use super::TRIAL_WINDOW;

impl Router {
    /// Handles an event at `now` and returns the actions to execute, in order.
    ///
    /// `random` is a random number, drawn anew for each event.
    pub fn decide(&mut self, event: RouteEvent, now: Mono, random: u64) -> Vec<RouteAction> {
        let mut out = Vec::new();
        match event {
            RouteEvent::Submit(spec) => self.submit(spec, now, random, &mut out),
            RouteEvent::FirstToken(request) => self.first_token(request, now),
            RouteEvent::Tokens(request, count) => self.tokens(request, count, now),
            RouteEvent::Measured { request, first_token, tokens, streaming } => {
                self.measured(request, first_token, tokens, streaming, now);
            }
            RouteEvent::Finished(request) => self.finished(request, now, &mut out),
            RouteEvent::Failed(request, failure) => self.failed(request, failure, now, &mut out),
            RouteEvent::Abandoned(request) => self.abandoned(request, now, &mut out),
            RouteEvent::TrialDecided(request, decision) => {
                self.trial_decided(request, decision, now, random, &mut out);
            }
            RouteEvent::TrialRequested { correlation_id, trial_request } => {
                let decision = self.decide_trial(&trial_request, now, &mut out);
                out.push(RouteAction::AnswerTrial { correlation_id, decision });
            }
            RouteEvent::TrialReleased(history) => {
                self.merge_history(&history, now, &mut out);
                self.trials.release(history.fingerprint);
            }
            RouteEvent::Groups(table) => self.update_groups(table, now, &mut out),
            RouteEvent::Limits(limits) => {
                self.limits.set(&limits, now);
                self.limits.refresh(&self.shares, self.settings.token_capacity, now);
            }
            RouteEvent::Peers { live, known } => {
                let own = self.node.clone();
                self.trials.end_for_dead_holders(|holder| *holder == own || live.contains(holder));
                self.loads.set_peers(live.len());
                self.shares.set_live_peers(live, known);
                self.limits.refresh(&self.shares, self.settings.token_capacity, now);
            }
            RouteEvent::PeerUsage(report) => {
                self.shares.merge(&report);
                self.limits.refresh(&self.shares, self.settings.token_capacity, now);
            }
            RouteEvent::PeerCrashHistory(history) => self.merge_history(&history, now, &mut out),
            RouteEvent::LiftQuarantine(fingerprint) => self.lift(fingerprint, now, &mut out),
            RouteEvent::Tick => self.tick(now, &mut out),
        }
        self.drain_queue(now, random, &mut out);
        out
    }

    fn first_token(&mut self, request: RequestId, now: Mono) {
        let Some(RequestEntry { stage: Stage::Sent(attempt), .. }) =
            self.requests.get_mut(&request)
        else {
            return;
        };
        let took = now.saturating_sub(attempt.sent_at);
        attempt.last_token_at = Some(now);
        attempt.tokens += 1;
        self.loads.record_first_token(&attempt.group, took);
    }

    fn tokens(&mut self, request: RequestId, count: u32, now: Mono) {
        let Some(RequestEntry { stage: Stage::Sent(attempt), .. }) =
            self.requests.get_mut(&request)
        else {
            return;
        };
        attempt.tokens += count;
        if let Some(last) = attempt.last_token_at.replace(now)
            && count > 0
        {
            self.loads.record_token_gap(&attempt.group, now.saturating_sub(last) / count, now);
        }
    }

    fn measured(
        &mut self,
        request: RequestId,
        first_token: Duration,
        tokens: u32,
        streaming: Duration,
        now: Mono,
    ) {
        let Some(RequestEntry { stage: Stage::Sent(attempt), .. }) =
            self.requests.get_mut(&request)
        else {
            return;
        };
        attempt.tokens += tokens;
        self.loads.record_first_token(&attempt.group, first_token);
        if tokens > 1 {
            self.loads.record_token_gap(&attempt.group, streaming / (tokens - 1), now);
        }
    }

    fn finished(&mut self, request: RequestId, now: Mono, out: &mut Vec<RouteAction>) {
        let Some(entry) = self.requests.remove(&request) else { return };
        let at = self.stamp(now);
        if let Some(history) = self.quarantine.record_answer(entry.spec.fingerprint, at) {
            self.publish(vec![history], now, out);
        }
        let generated = self.end_attempt(&entry, now, out);
        self.limits.record_end(&entry.spec.workspace, entry.spec.tokens, generated, now);
    }

    fn failed(
        &mut self,
        request: RequestId,
        failure: Failure,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(mut entry) = self.requests.remove(&request) else { return };
        if let Stage::Sent(attempt) = &entry.stage {
            let (group, generation) = (attempt.group.clone(), attempt.generation);
            if matches!(failure, Failure::Crashed | Failure::NotSent) {
                self.record_group_failure(&group, generation, now);
            }
            if failure == Failure::Refused {
                self.avoid_until.insert(group.clone(), now + REFUSAL_HOLDOFF);
            }
            if failure == Failure::Crashed {
                self.record_crash(group, generation, &[entry.spec.fingerprint], now, out);
            }
        }
        self.end_attempt(&entry, now, out);
        entry.stage = Stage::BetweenAttempts;
        self.requests.insert(request, entry);
    }

    fn abandoned(&mut self, request: RequestId, now: Mono, out: &mut Vec<RouteAction>) {
        let Some(entry) = self.requests.remove(&request) else { return };
        self.queue.remove(request);
        let generated = self.end_attempt(&entry, now, out);
        self.limits.record_end(&entry.spec.workspace, entry.spec.tokens, generated, now);
    }

    /// Ends the attempt, if one is in progress, and returns the number of tokens that arrived.
    fn end_attempt(&mut self, entry: &RequestEntry, now: Mono, out: &mut Vec<RouteAction>) -> u32 {
        let Stage::Sent(attempt) = &entry.stage else {
            if entry.holds_permit {
                out.push(self.release(&entry.spec));
            }
            return 0;
        };
        self.loads.record_end(&attempt.group, now);
        if attempt.holds_permit {
            out.push(self.release(&entry.spec));
        }
        attempt.tokens
    }

    /// Holds off a failed group before the group table reports the failure, for
    /// [`LOCAL_FAILURE_HOLDOFF`] or until its generation rises.
    fn record_group_failure(&mut self, group: &GroupId, generation: Generation, now: Mono) {
        let view = self.table.groups.iter().find(|view| view.id == *group).cloned();
        let known = self.failed_groups.get(group).and_then(|failed| failed.view.clone());
        self.failed_groups.insert(
            group.clone(),
            FailedGroup { generation, failed_at: now, view: view.or(known) },
        );
    }

    fn record_crash(
        &mut self,
        group: GroupId,
        generation: Generation,
        running: &[Fingerprint],
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        let crash = Crash { at: self.stamp(now), group, generation };
        let changed = self.quarantine.record_crash(&crash, running);
        self.publish(changed, now, out);
    }

    /// Replaces the group table. The requests at a group that broke become suspects.
    fn update_groups(&mut self, table: GroupTable, now: Mono, out: &mut Vec<RouteAction>) {
        let old = std::mem::replace(&mut self.table, table);
        for was in old.groups.iter().filter(|view| view.state == GroupState::Serving) {
            if !self.serves(&was.id, was.generation) {
                let failed = FailedGroup {
                    generation: was.generation,
                    failed_at: now,
                    view: Some(was.clone()),
                };
                self.failed_groups.insert(was.id.clone(), failed);
            }
            if self.broke(&was.id, was.generation) {
                let running = self.running_at(was);
                self.record_crash(was.id.clone(), was.generation, &running, now, out);
            }
        }
        let table = &self.table;
        self.loads.retain(|group| table.groups.iter().any(|view| &*view.id == group));
        let mut trials = std::mem::take(&mut self.trials);
        for (fingerprint, target) in
            trials.end_where(|target| self.broke(&target.group, target.generation))
        {
            self.record_crash(target.group, target.generation, &[fingerprint], now, out);
        }
        self.trials = trials;
    }

    fn serves(&self, group: &str, generation: Generation) -> bool {
        let is_match = |view: &&GroupView| &*view.id == group && view.generation == generation;
        let view = self.table.groups.iter().find(is_match);
        view.is_some_and(|view| view.state == GroupState::Serving)
    }

    /// Returns whether the group lost a member at `generation`, according to the table.
    fn broke(&self, group: &str, generation: Generation) -> bool {
        let view = self.table.groups.iter().find(|view| &*view.id == group);
        view.is_some_and(|view| view.state == GroupState::Broken || view.generation > generation)
    }

    fn running_at(&self, view: &GroupView) -> Vec<Fingerprint> {
        let requests = self.requests.values().filter(|entry| match &entry.stage {
            Stage::Sent(attempt) => {
                attempt.group == view.id && attempt.generation == view.generation
            }
            _ => false,
        });
        requests.map(|entry| entry.spec.fingerprint).collect()
    }

    pub(super) fn merge_history(
        &mut self,
        history: &CrashHistory,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        history.crashes.iter().for_each(|crash| self.clock.observe(crash.at));
        self.clock.observe(history.cleared);
        let changed = self.quarantine.merge(history, self.wall_millis(now));
        self.publish(changed, now, out);
    }

    fn lift(&mut self, fingerprint: Fingerprint, now: Mono, out: &mut Vec<RouteAction>) {
        let at = self.stamp(now);
        if let Some(history) = self.quarantine.lift(fingerprint, at) {
            self.publish(vec![history], now, out);
        }
    }

    /// Publishes and records changed histories, and ends the trials of requests that are no longer
    /// suspects.
    fn publish(&mut self, changed: Vec<CrashHistory>, now: Mono, out: &mut Vec<RouteAction>) {
        let millis = self.wall_millis(now);
        for history in changed {
            let verdict = history.verdict(millis);
            if verdict != Verdict::Suspect {
                self.trials.release(history.fingerprint);
            }
            let state = match verdict {
                Verdict::Clear => "cleared",
                Verdict::Suspect => "suspect",
                Verdict::Quarantined => "quarantined",
            };
            out.push(RouteAction::Record(Event::Quarantine {
                fingerprint: history.fingerprint,
                state: state.into(),
            }));
            out.push(RouteAction::PublishCrashHistory(history));
        }
    }

    fn tick(&mut self, now: Mono, out: &mut Vec<RouteAction>) {
        self.quarantine.expire(self.wall_millis(now));
        self.trials.expire(now);
        self.failed_groups.retain(|_, failed| now.saturating_sub(failed.failed_at) < TRIAL_WINDOW);
        self.avoid_until.retain(|_, until| now < *until);
        if self.shares.is_due(now, PUBLISH_PERIOD) {
            out.push(RouteAction::PublishUsage(self.shares.publish(now)));
            self.limits.refresh(&self.shares, self.settings.token_capacity, now);
        }
        self.expire_queue(now, out);
        self.refuse_unroutable(now, out);
        self.retry_trial_requests(now, out);
    }

    /// Returns whether the group gets no requests because this process saw it fail or stop serving.
    pub(super) fn is_held_off(&self, view: &GroupView, now: Mono) -> bool {
        self.failed_groups.get(&view.id).is_some_and(|failed| {
            failed.generation >= view.generation
                && now.saturating_sub(failed.failed_at) < LOCAL_FAILURE_HOLDOFF
        })
    }

    /// Returns the action that reports the end of a trial to the coordinator.
    pub(super) fn release(&self, spec: &RequestSpec) -> RouteAction {
        RouteAction::ReleaseTrial {
            model: spec.model.clone(),
            version: spec.version.clone(),
            history: self.quarantine.history(spec.fingerprint),
        }
    }
}
