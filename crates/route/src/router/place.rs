//! From a request's ask to a group, the queue or a refusal.

use base::prelude::*;
use group::view::GroupView;

use crate::choose;
use crate::choose::Candidate;
use crate::hot::version_key;
use crate::limits::Denial;
use crate::need::Need;
use crate::need::Refusal;
use crate::need::RefusalReason;
use crate::poison::Verdict;
use crate::queue::Waiting;

use super::Flight;
use super::RouteAction;
use super::Router;
use super::Row;
use super::Stage;

/// When to come back if no group holds what is needed.
const NO_GROUP_RETRY_AFTER: Duration = Duration::from_secs(2);
/// When to come back if the class is shed, or the queue is full.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// When to come back if the retry budget is spent.
const NO_RETRY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Router {
    pub(super) fn ask(&mut self, need: Need, now: Mono, draw: u64, out: &mut Vec<RouteAction>) {
        let request = need.request;
        let is_first = need.attempts == 0;
        if is_first {
            self.shares.arrived(&need.workspace);
            self.hot.count(need.affinity_key(), now);
        }
        let checked = self.check_verdict(&need, now).and_then(|()| {
            if is_first { self.admit(&need, now) } else { self.grant_retry(&need, now, draw) }
        });
        match checked {
            Err(refusal) => self.refuse(request, refusal, now, out),
            Ok(wait) => {
                let vetted = self.rows.get(&request).is_some_and(|row| row.vetted);
                let stage = Stage::Between;
                self.rows.insert(request, Row { need, stage, vetted });
                self.place(request, wait, now, draw, out);
            }
        }
    }

    pub(super) fn check_verdict(&self, need: &Need, now: Mono) -> Result<(), Refusal> {
        match self.verdict(need, now) {
            Verdict::Convicted => Err(refusal(RefusalReason::Quarantined, None)),
            Verdict::Clear | Verdict::Suspect => Ok(()),
        }
    }

    fn admit(&mut self, need: &Need, now: Mono) -> Result<Duration, Refusal> {
        if now + self.least_service(need, now) > need.deadline {
            return Err(refusal(RefusalReason::Deadline, None));
        }
        if self.settings.shed.refuses(need.priority, self.queue.fullness()) {
            return Err(refusal(RefusalReason::Overload, Some(OVERLOAD_RETRY_AFTER)));
        }
        self.limits.admit(&need.workspace, need.tokens, now).map_err(denied)?;
        self.retries.first_attempt(&need.workspace);
        Ok(Duration::ZERO)
    }

    fn grant_retry(&mut self, need: &Need, now: Mono, draw: u64) -> Result<Duration, Refusal> {
        let service = self.least_service(need, now);
        let granted = self.retries.retry(need, service, now, draw);
        granted.map_err(|_| refusal(RefusalReason::NoRetry, Some(NO_RETRY_RETRY_AFTER)))
    }

    /// Sends the request, queues it, asks for permission, or refuses it.
    fn place(
        &mut self,
        request: RequestId,
        wait: Duration,
        now: Mono,
        draw: u64,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(row) = self.rows.get(&request) else { return };
        if self.needs_permission(&row.need, now) {
            self.ask_trial(request, wait, now, out);
        } else {
            self.dispatch(request, None, wait, now, draw, out);
        }
    }

    /// Sends the request to `lane`, or to a chosen group, or queues or refuses it.
    pub(super) fn dispatch(
        &mut self,
        request: RequestId,
        lane: Option<GroupId>,
        wait: Duration,
        now: Mono,
        draw: u64,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(row) = self.rows.get(&request) else { return };
        let need = row.need.clone();
        let mut open = self.candidates(&need, now);
        open.retain(|candidate| lane.as_ref().is_none_or(|lane| candidate.view.id == *lane));
        if open.is_empty() {
            let refusal = refusal(RefusalReason::NoGroup, Some(NO_GROUP_RETRY_AFTER));
            return self.refuse(request, refusal, now, out);
        }
        let groups = open.len();
        let slots = self.settings.group_slots;
        open.retain(|candidate| lane.is_some() || candidate.estimate < slots);
        let is_first = lane.is_some() || self.queue.ahead_of(&need) == 0;
        match choose::choose(self.settings.policy, &open, self.key(&need), draw) {
            Some(chosen) if is_first => {
                let view = open[chosen].view.clone();
                self.send(request, &view, wait, now, out);
            }
            _ => self.enqueue(need, groups, now, out),
        }
    }

    fn send(
        &mut self,
        request: RequestId,
        view: &GroupView,
        wait: Duration,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(row) = self.rows.get_mut(&request) else { return };
        let service = self.loads.service_time(&view.id, row.need.tokens);
        if now + wait + service > row.need.deadline {
            let refusal = refusal(RefusalReason::Deadline, None);
            return self.refuse(request, refusal, now, out);
        }
        debug_assert!(view.is_routable(now), "sent to a group that is not routable");
        debug_assert!(!row.need.excluded.contains(&view.id), "sent to an excluded group");
        row.stage = Stage::Sent(Flight {
            group: view.id.clone(),
            generation: view.generation,
            sent_at: now + wait,
            last_token_at: None,
            tokens: 0,
            vetted: row.vetted,
        });
        self.loads.sent(&view.id, now);
        out.push(RouteAction::Send {
            request,
            group: view.id.clone(),
            generation: view.generation,
            leader: view.leader,
            wait,
        });
    }

    fn enqueue(&mut self, need: Need, groups: usize, now: Mono, out: &mut Vec<RouteAction>) {
        let request = need.request;
        let service = self.least_service(&need, now);
        let slots = groups as f64 * f64::from(self.settings.group_slots.max(1));
        let ahead = self.queue.ahead_of(&need) as f64 + 1.0;
        let wait = service.mul_f64(ahead / slots);
        let waiting = Waiting { need, service };
        if !waiting.can_end(wait, now) {
            let refusal = refusal(RefusalReason::Deadline, Some(wait));
            return self.refuse(request, refusal, now, out);
        }
        if let Some(row) = self.rows.get_mut(&request) {
            row.stage = Stage::Queued;
        }
        let given_up = self.queue.push(waiting);
        out.push(RouteAction::Queued { request, wait });
        if let Some(last) = given_up {
            let refusal = refusal(RefusalReason::QueueFull, Some(OVERLOAD_RETRY_AFTER.max(wait)));
            self.refuse(last.need.request, refusal, now, out);
        }
    }

    /// Sends waiting requests while there are groups with free slots.
    pub(super) fn drain_queue(&mut self, now: Mono, draw: u64, out: &mut Vec<RouteAction>) {
        let mut number = draw;
        while !self.queue.is_empty() {
            let mut full: Vec<(VersionId, Option<AdapterId>)> = Vec::new();
            let mut queue = std::mem::replace(&mut self.queue, crate::queue::Queue::new(0));
            let next = queue.pop(|need| {
                let kind = (need.version.clone(), need.adapter.clone());
                let is_open = !full.contains(&kind) && self.has_slot(need, now);
                if !is_open && !full.contains(&kind) {
                    full.push(kind);
                }
                is_open
            });
            self.queue = queue;
            let Some(next) = next else { return };
            number = number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17);
            self.release_waiting(next, now, number, out);
        }
    }

    fn release_waiting(&mut self, next: Waiting, now: Mono, draw: u64, out: &mut Vec<RouteAction>) {
        let request = next.need.request;
        if let Err(refusal) = self.check_verdict(&next.need, now) {
            return self.refuse(request, refusal, now, out);
        }
        if self.needs_permission(&next.need, now) {
            return self.ask_trial(request, Duration::ZERO, now, out);
        }
        let slots = self.settings.group_slots;
        let mut open = self.candidates(&next.need, now);
        open.retain(|candidate| candidate.estimate < slots);
        let chosen = choose::choose(self.settings.policy, &open, self.key(&next.need), draw);
        if let Some(view) = chosen.map(|chosen| open[chosen].view.clone()) {
            self.send(request, &view, Duration::ZERO, now, out);
        }
    }

    fn has_slot(&self, need: &Need, now: Mono) -> bool {
        let slots = self.settings.group_slots;
        self.candidates(need, now).iter().any(|candidate| candidate.estimate < slots)
    }

    /// Gives up the waiting requests that can't end in time any more.
    pub(super) fn expire_queue(&mut self, now: Mono, out: &mut Vec<RouteAction>) {
        for late in self.queue.expire(now) {
            let retry_after = Some(late.service.max(OVERLOAD_RETRY_AFTER));
            let refusal = refusal(RefusalReason::Deadline, retry_after);
            self.refuse(late.need.request, refusal, now, out);
        }
    }

    /// Gives up the waiting requests that no group can take any more.
    pub(super) fn refuse_groupless(&mut self, now: Mono, out: &mut Vec<RouteAction>) {
        let mut queue = std::mem::replace(&mut self.queue, crate::queue::Queue::new(0));
        let groupless = queue.take_where(|waiting| self.candidates(&waiting.need, now).is_empty());
        self.queue = queue;
        for waiting in groupless {
            let refusal = refusal(RefusalReason::NoGroup, Some(NO_GROUP_RETRY_AFTER));
            self.refuse(waiting.need.request, refusal, now, out);
        }
    }

    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        refusal: Refusal,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        if let Some(row) = self.rows.remove(&request) {
            self.limits.ended(&row.need.workspace, row.need.tokens, 0, now);
            if row.vetted {
                out.push(self.release(&row.need));
            }
        }
        out.push(RouteAction::Refuse { request, refusal });
    }

    pub(super) fn candidates(&self, need: &Need, now: Mono) -> Vec<Candidate<'_>> {
        let mut all = choose::candidates(&self.table, &self.loads, need, now);
        all.retain(|candidate| !self.is_down_here(candidate.view, now));
        let is_paused = |candidate: &Candidate<'_>| {
            let until = self.paused_until.get(&candidate.view.id);
            until.is_some_and(|until| now < *until)
        };
        if !all.iter().all(is_paused) {
            all.retain(|candidate| !is_paused(candidate));
        }
        all
    }

    /// Returns the key that decides about affinity: the prefix, or a version of a hot one.
    fn key(&self, need: &Need) -> u64 {
        let key = need.affinity_key();
        version_key(key, need.fingerprint, self.versions(need))
    }

    /// Returns into how many versions the request's prefix is split.
    pub(super) fn versions(&self, need: &Need) -> u64 {
        let held = self.table.groups.iter().filter(|view| choose::holds(view, need));
        self.hot.versions(need.affinity_key(), held.count())
    }

    /// Returns how long the answer takes at the fastest group.
    pub(super) fn least_service(&self, need: &Need, now: Mono) -> Duration {
        let times = self.candidates(need, now);
        let times = times.iter().map(|c| self.loads.service_time(&c.view.id, need.tokens));
        times.min().unwrap_or_default()
    }

    pub(super) fn verdict(&self, need: &Need, now: Mono) -> Verdict {
        self.quarantine.verdict(need.fingerprint, self.wall_millis(now))
    }
}

pub(super) fn refusal(reason: RefusalReason, retry_after: Option<Duration>) -> Refusal {
    Refusal { reason, retry_after }
}

fn denied(denial: Denial) -> Refusal {
    match denial {
        Denial::Rate(after) => refusal(RefusalReason::Rate, Some(after)),
        Denial::Concurrency(after) => refusal(RefusalReason::Concurrency, Some(after)),
        Denial::Tokens(after) => refusal(RefusalReason::Tokens, Some(after)),
    }
}
