//! The path of a submitted request to a group, the queue or a refusal.

use base::prelude::*;
use group::view::GroupView;

use crate::choose;
use crate::choose::Candidate;
use crate::hot::shard_key;
use crate::limits::LimitExceeded;
use crate::quarantine::Verdict;
use crate::queue::QueuedRequest;
use crate::request::Refusal;
use crate::request::RefusalReason;
use crate::request::RequestSpec;

use super::Attempt;
use super::RequestEntry;
use super::RouteAction;
use super::Router;
use super::Stage;

/// Time to retry after if no usable group serves the request.
const NO_GROUP_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time to retry after if the request is shed, or the queue is full.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time to retry after if no further attempt is granted.
const NO_RETRY_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Router {
    pub(super) fn submit(
        &mut self,
        spec: RequestSpec,
        now: Mono,
        random: u64,
        out: &mut Vec<RouteAction>,
    ) {
        let request = spec.request;
        let is_first = spec.attempts == 0;
        if is_first {
            self.shares.record_arrival(&spec.workspace);
            self.hot.count(spec.affinity_key(), now);
        }
        let checked = self.check_verdict(&spec, now).and_then(|()| {
            if is_first { self.admit(&spec, now) } else { self.grant_retry(&spec, now, random) }
        });
        match checked {
            Err(refusal) => self.refuse(request, refusal, now, out),
            Ok(wait) => {
                let holds_permit =
                    self.requests.get(&request).is_some_and(|entry| entry.holds_permit);
                let stage = Stage::BetweenAttempts;
                self.requests.insert(request, RequestEntry { spec, stage, holds_permit });
                self.route_request(request, wait, now, random, out);
            }
        }
    }

    pub(super) fn check_verdict(&self, spec: &RequestSpec, now: Mono) -> Result<(), Refusal> {
        match self.verdict(spec, now) {
            Verdict::Quarantined => Err(refusal(RefusalReason::Quarantined, None)),
            Verdict::Clear | Verdict::Suspect => Ok(()),
        }
    }

    fn admit(&mut self, spec: &RequestSpec, now: Mono) -> Result<Duration, Refusal> {
        if now + self.min_service_time(spec, now) > spec.deadline {
            return Err(refusal(RefusalReason::Deadline, None));
        }
        if self.settings.shed.refuses(spec.priority, self.queue.fill_level()) {
            return Err(refusal(RefusalReason::Overload, Some(OVERLOAD_RETRY_AFTER)));
        }
        self.limits.admit(&spec.workspace, spec.tokens, now).map_err(limit_refusal)?;
        self.retries.first_attempt(&spec.workspace);
        Ok(Duration::ZERO)
    }

    fn grant_retry(
        &mut self,
        spec: &RequestSpec,
        now: Mono,
        random: u64,
    ) -> Result<Duration, Refusal> {
        let service_time = self.min_service_time(spec, now);
        let granted = self.retries.retry(spec, service_time, now, random);
        granted.map_err(|_| refusal(RefusalReason::NoRetry, Some(NO_RETRY_RETRY_AFTER)))
    }

    /// Requests a trial permit if the request needs one, and dispatches it otherwise.
    fn route_request(
        &mut self,
        request: RequestId,
        wait: Duration,
        now: Mono,
        random: u64,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(entry) = self.requests.get(&request) else { return };
        if self.needs_trial_permit(&entry.spec, now) {
            self.request_trial(request, wait, now, out);
        } else {
            self.dispatch(request, None, wait, now, random, out);
        }
    }

    /// Sends the request to `target`, or to a chosen group if that is `None`, or queues or refuses
    /// it.
    pub(super) fn dispatch(
        &mut self,
        request: RequestId,
        target: Option<GroupId>,
        wait: Duration,
        now: Mono,
        random: u64,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(entry) = self.requests.get(&request) else { return };
        let spec = entry.spec.clone();
        let mut available = self.candidates(&spec, now);
        available
            .retain(|candidate| target.as_ref().is_none_or(|target| candidate.view.id == *target));
        if available.is_empty() {
            let refusal = refusal(RefusalReason::NoGroup, Some(NO_GROUP_RETRY_AFTER));
            return self.refuse(request, refusal, now, out);
        }
        let groups = available.len();
        let slots = self.settings.group_slots;
        available.retain(|candidate| target.is_some() || candidate.estimated_load < slots);
        let is_first = target.is_some() || self.queue.ahead_of(&spec) == 0;
        match choose::choose(self.settings.policy, &available, self.key(&spec), random) {
            Some(chosen) if is_first => {
                let view = available[chosen].view.clone();
                self.send(request, &view, wait, now, out);
            }
            _ => self.enqueue(spec, groups, now, out),
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
        let Some(entry) = self.requests.get_mut(&request) else { return };
        let service_time = self.loads.service_time(&view.id, entry.spec.tokens);
        if now + wait + service_time > entry.spec.deadline {
            let refusal = refusal(RefusalReason::Deadline, None);
            return self.refuse(request, refusal, now, out);
        }
        debug_assert!(view.is_routable(now), "sent to a group that is not routable");
        debug_assert!(
            !entry.spec.excluded.contains(&view.id),
            "the request is sent to an excluded group"
        );
        entry.stage = Stage::Sent(Attempt {
            group: view.id.clone(),
            generation: view.generation,
            sent_at: now + wait,
            last_token_at: None,
            tokens: 0,
            holds_permit: entry.holds_permit,
        });
        self.loads.record_send(&view.id, now);
        out.push(RouteAction::Send {
            request,
            group: view.id.clone(),
            generation: view.generation,
            leader: view.leader,
            wait,
        });
    }

    fn enqueue(&mut self, spec: RequestSpec, groups: usize, now: Mono, out: &mut Vec<RouteAction>) {
        let request = spec.request;
        let service_time = self.min_service_time(&spec, now);
        let slots = groups as f64 * f64::from(self.settings.group_slots.max(1));
        let ahead = self.queue.ahead_of(&spec) as f64 + 1.0;
        let wait = service_time.mul_f64(ahead / slots);
        let queued = QueuedRequest { spec, service_time };
        if !queued.can_finish(wait, now) {
            let refusal = refusal(RefusalReason::Deadline, Some(wait));
            return self.refuse(request, refusal, now, out);
        }
        if let Some(entry) = self.requests.get_mut(&request) {
            entry.stage = Stage::Queued;
        }
        let dropped = self.queue.push(queued);
        out.push(RouteAction::Queued { request, wait });
        if let Some(dropped) = dropped {
            let refusal = refusal(RefusalReason::QueueFull, Some(OVERLOAD_RETRY_AFTER.max(wait)));
            self.refuse(dropped.spec.request, refusal, now, out);
        }
    }

    /// Sends queued requests while there are groups with free slots.
    pub(super) fn drain_queue(&mut self, now: Mono, random: u64, out: &mut Vec<RouteAction>) {
        let mut random = random;
        while !self.queue.is_empty() {
            let mut full: Vec<(VersionId, Option<AdapterId>)> = Vec::new();
            let mut queue = std::mem::replace(&mut self.queue, crate::queue::Queue::new(0));
            let next = queue.pop(|spec| {
                let kind = (spec.version.clone(), spec.adapter.clone());
                let has_slot = !full.contains(&kind) && self.has_slot(spec, now);
                if !has_slot && !full.contains(&kind) {
                    full.push(kind);
                }
                has_slot
            });
            self.queue = queue;
            let Some(next) = next else { return };
            // Each request gets a random number of its own.
            random = random.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17);
            self.dispatch_queued(next, now, random, out);
        }
    }

    fn dispatch_queued(
        &mut self,
        next: QueuedRequest,
        now: Mono,
        random: u64,
        out: &mut Vec<RouteAction>,
    ) {
        let request = next.spec.request;
        if let Err(refusal) = self.check_verdict(&next.spec, now) {
            return self.refuse(request, refusal, now, out);
        }
        if self.needs_trial_permit(&next.spec, now) {
            return self.request_trial(request, Duration::ZERO, now, out);
        }
        let slots = self.settings.group_slots;
        let mut available = self.candidates(&next.spec, now);
        available.retain(|candidate| candidate.estimated_load < slots);
        let chosen = choose::choose(self.settings.policy, &available, self.key(&next.spec), random);
        if let Some(view) = chosen.map(|chosen| available[chosen].view.clone()) {
            self.send(request, &view, Duration::ZERO, now, out);
        }
    }

    fn has_slot(&self, spec: &RequestSpec, now: Mono) -> bool {
        let slots = self.settings.group_slots;
        self.candidates(spec, now).iter().any(|candidate| candidate.estimated_load < slots)
    }

    /// Refuses the queued requests that can't finish in time any more.
    pub(super) fn expire_queue(&mut self, now: Mono, out: &mut Vec<RouteAction>) {
        for late in self.queue.expire(now) {
            let retry_after = Some(late.service_time.max(OVERLOAD_RETRY_AFTER));
            let refusal = refusal(RefusalReason::Deadline, retry_after);
            self.refuse(late.spec.request, refusal, now, out);
        }
    }

    /// Refuses the queued requests that no group can take any more.
    pub(super) fn refuse_unroutable(&mut self, now: Mono, out: &mut Vec<RouteAction>) {
        let mut queue = std::mem::replace(&mut self.queue, crate::queue::Queue::new(0));
        let unroutable = queue.remove_where(|queued| self.candidates(&queued.spec, now).is_empty());
        self.queue = queue;
        for queued in unroutable {
            let refusal = refusal(RefusalReason::NoGroup, Some(NO_GROUP_RETRY_AFTER));
            self.refuse(queued.spec.request, refusal, now, out);
        }
    }

    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        refusal: Refusal,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        if let Some(entry) = self.requests.remove(&request) {
            self.limits.record_end(&entry.spec.workspace, entry.spec.tokens, 0, now);
            if entry.holds_permit {
                out.push(self.release(&entry.spec));
            }
        }
        out.push(RouteAction::Refuse { request, refusal });
    }

    pub(super) fn candidates(&self, spec: &RequestSpec, now: Mono) -> Vec<Candidate<'_>> {
        let mut all = choose::candidates(&self.table, &self.loads, spec, now);
        all.retain(|candidate| !self.is_held_off(candidate.view, now));
        let is_avoided = |candidate: &Candidate<'_>| {
            let until = self.avoid_until.get(&candidate.view.id);
            until.is_some_and(|until| now < *until)
        };
        if !all.iter().all(is_avoided) {
            all.retain(|candidate| !is_avoided(candidate));
        }
        all
    }

    /// Returns the key that determines the affinity: that of the prefix, or of a shard of a hot
    /// one.
    fn key(&self, spec: &RequestSpec) -> u64 {
        let key = spec.affinity_key();
        shard_key(key, spec.fingerprint, self.shards(spec))
    }

    /// Returns into how many shards the request's prefix is split.
    pub(super) fn shards(&self, spec: &RequestSpec) -> u64 {
        let compatible = self.table.groups.iter().filter(|view| choose::is_compatible(view, spec));
        self.hot.shards(spec.affinity_key(), compatible.count())
    }

    /// Returns how long the answer takes at the fastest candidate.
    pub(super) fn min_service_time(&self, spec: &RequestSpec, now: Mono) -> Duration {
        let times = self.candidates(spec, now);
        let times = times.iter().map(|c| self.loads.service_time(&c.view.id, spec.tokens));
        times.min().unwrap_or_default()
    }

    pub(super) fn verdict(&self, spec: &RequestSpec, now: Mono) -> Verdict {
        self.quarantine.verdict(spec.fingerprint, self.wall_millis(now))
    }
}

pub(super) fn refusal(reason: RefusalReason, retry_after: Option<Duration>) -> Refusal {
    Refusal { reason, retry_after }
}

fn limit_refusal(exceeded: LimitExceeded) -> Refusal {
    match exceeded {
        LimitExceeded::Rate(after) => refusal(RefusalReason::Rate, Some(after)),
        LimitExceeded::Concurrency(after) => refusal(RefusalReason::Concurrency, Some(after)),
        LimitExceeded::Tokens(after) => refusal(RefusalReason::Tokens, Some(after)),
    }
}
