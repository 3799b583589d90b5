//! The attempts of one request, until one gives the final response.

use std::sync::Arc;

use base::prelude::*;
use pass::dispatch::Decision;
use pass::dispatch::PendingRequest;
use pass::dispatch::Refusal;
use pass::endpoints::EndpointRequirements;
use pass::prelude::*;
use route::prompt_parts::PartRefusal;
use web::prelude::*;

use super::ActiveRequest;
use super::ServerId;
use super::UNCONFIGURED_RETRY_AFTER;
use super::attempt::Attempt;
use super::attempt::FailedAttempt;
use super::carrier::Carrier;
use super::hand_over::Declined;
use super::hand_over::HandOver;
use super::hand_over::Origin;
use super::log_failed;
use super::reservation::Reservation;
use super::responses;
use crate::clock::wall_millis;
use crate::decision_log;
use crate::decision_log::PartRefusalRecord;
use crate::decision_log::Record;

/// Number of processes that may decline a request before that counts as an attempt.
const MAX_DECLINED: u32 = 2;
/// Retry-After of requests that no other process can take over.
const NO_HELPER_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Returns whether a response declines a request that another process handed over.
fn is_declined(response: &Response) -> bool {
    response.extensions().get::<Declined>().is_some()
}

/// The attempts of a request so far.
#[data]
#[derive(Default)]
pub(crate) struct Tries {
    /// The servers that this process must not try again.
    pub(super) servers: Vec<ServerId>,
    /// Those that were reached, which no process should try again.
    pub(super) reached: Vec<ServerId>,
    /// Attempts that may have run.
    pub(super) may_have_run: u32,
}

impl Tries {
    fn add(&mut self, failed: &FailedAttempt) {
        self.servers.extend(failed.server.clone());
        if failed.outcome != AttemptOutcome::NotSent {
            self.reached.extend(failed.server.clone());
        }
        if !failed.outcome.is_not_run() {
            self.may_have_run += 1;
        }
    }
}

impl ActiveRequest {
    /// Serves the request to its final response.
    pub(super) async fn serve(self: Arc<Self>) -> Response {
        self.count_request();
        let mut tries = match &self.origin {
            Origin::Caller => Tries::default(),
            Origin::Process(progress) => progress.tries.clone(),
        };
        let earlier = tries.may_have_run;
        let (mut attempts, mut declined) = (earlier, 0);
        // The last attempt that may have run. Once there is one, no response may promise that the
        // request has not run.
        let mut may_have_run = (earlier > 0).then_some(FailedAttempt::ELSEWHERE);
        loop {
            let carrier = match self.wait_for_carrier(&tries.servers, self.arrived).await {
                Ok(carrier) => carrier,
                Err(refused) if is_declined(&refused) && tries.may_have_run == earlier => {
                    return refused;
                }
                Err(refused) => {
                    return may_have_run.as_ref().map_or(refused, |failed| self.fail(failed));
                }
            };
            attempts += 1;
            self.log_sent(attempts, &carrier);
            let attempt = Attempt { active: &self, carrier, number: attempts, tries: &tries };
            let failed = match attempt.run().await {
                Ok(response) => return response,
                Err(failed) => failed,
            };
            *self.current_server.lock() = None;
            tries.add(&failed);
            if failed.was_declined() && declined < MAX_DECLINED {
                declined += 1;
                attempts -= 1;
            }
            let is_last = !self.may_retry(&failed, attempts);
            if failed.outcome.is_not_run() && is_last {
                return self.fail(may_have_run.as_ref().unwrap_or(&failed));
            }
            if is_last {
                return self.fail(&failed);
            }
            if !failed.outcome.is_not_run() {
                may_have_run = Some(failed);
            }
        }
    }

    /// Returns the response to a request whose last attempt was `failed`.
    fn fail(&self, failed: &FailedAttempt) -> Response {
        let response = responses::failed(failed);
        let reason = format!("the last relevant attempt ended as {:?}", failed.outcome);
        log_failed(&self.id, &response, &reason, self.now().saturating_sub(self.arrived));
        response
    }

    fn count_request(&self) {
        let now = self.now();
        let mut local = self.state.shared.local.lock();
        local.requests += 1;
        local.retries.record_request(&self.routed.service.name, now);
        if let (Some(engine), Some(generation)) =
            (&self.routed.service.engine, &self.metadata.generation)
        {
            local.record_work(engine, generation, now);
        }
    }

    pub(super) fn may_retry(&self, failed: &FailedAttempt, attempts: u32) -> bool {
        let route = &self.routed.route;
        if !failed.outcome.may_retry(route.execution_policy) {
            return false;
        }
        if attempts >= route.max_attempts.max(1) && !failed.outcome.is_not_run() {
            return false;
        }
        if attempts >= route.max_attempts + 2 || self.now() >= self.deadline {
            return false;
        }
        let mut local = self.state.shared.local.lock();
        let processes = local.processes();
        // An attempt that was never sent put no load on the backend server, so it takes nothing
        // from the retry budget.
        failed.outcome == AttemptOutcome::NotSent
            || local.retries.try_take(&self.routed.service.name, processes, self.now())
    }

    /// Waits for an endpoint, or for another process that takes the request over; `tried` are the servers
    /// of earlier attempts, and `since` is the time from which the wait counts.
    pub(super) async fn wait_for_carrier(
        &self,
        tried: &[ServerId],
        since: Mono,
    ) -> Result<Carrier, Response> {
        if let Some(refused) = self.refuse_if_quarantined() {
            return Err(refused);
        }
        let pending = self.pending_request(tried, since);
        let decision = match self.state.shared.submit(pending, self.now()) {
            Ok(decision) => decision,
            Err(waiting) => waiting.decision().await,
        };
        match decision {
            Decision::Send(choice) => {
                let reservation = Reservation::new(self, choice);
                match self.refuse_if_quarantined() {
                    None => Ok(Carrier::Server(Box::new(reservation))),
                    Some(refused) => Err(refused),
                }
            }
            Decision::HandOver => match HandOver::choose(&self.state) {
                Some(hand_over) => Ok(Carrier::Process(hand_over)),
                None => Err(self.refuse(NO_HELPER_RETRY_AFTER, Refusal::CutOff)),
            },
            Decision::Refuse { retry_after, reason } => Err(self.refuse(retry_after, reason)),
            Decision::Wait => Err(responses::refused(UNCONFIGURED_RETRY_AFTER)),
        }
    }

    /// Returns a refusal if the request crashed the servers that ran it.
    fn refuse_if_quarantined(&self) -> Option<Response> {
        let (refused_for, part) = {
            let local = self.state.shared.local.lock();
            let refused_for = local.crash_reports.refused_for(self.fingerprint, wall_millis());
            (refused_for, local.crash_reports.part_refusal(&self.parts, wall_millis()))
        };
        if let Some((refusal, left)) = part {
            let because = self.because_of_part(&refusal);
            return Some(self.refuse_because(left, Refusal::Quarantined, Some(because)));
        }
        refused_for.map(|left| self.refuse(left, Refusal::Quarantined))
    }

    /// Returns what the log says of a part for which the request is refused.
    fn because_of_part<'a>(&'a self, refusal: &'a PartRefusal) -> PartRefusalRecord<'a> {
        let ids = self.parts.keys.iter().zip(&self.metadata.shared_parts);
        let id = ids.filter(|(key, _)| **key == refusal.part).map(|(_, id)| &**id).next();
        PartRefusalRecord {
            part_id: id.unwrap_or_default(),
            part: refusal.part,
            crashes: refusal.crashes.iter().map(|c| (&*c.group, c.at.millis)).collect(),
        }
    }

    fn pending_request(&self, tried: &[ServerId], since: Mono) -> PendingRequest {
        PendingRequest {
            requirements: EndpointRequirements {
                service: self.routed.service.name.clone(),
                model: self.model(),
                prompt_tokens: self.prompt_tokens(),
                output_tokens: self.output_tokens(),
                excluded: tried.to_vec(),
            },
            arrived_at: since,
            latency_target: self.routed.route.latency_target,
            deadline: self.deadline,
            priority: self.routed.priority,
            workspace: self.routed.workspace.clone(),
            may_hand_over: self.origin == Origin::Caller,
        }
    }

    fn refuse(&self, retry_after: Duration, reason: Refusal) -> Response {
        self.refuse_because(retry_after, reason, None)
    }

    fn refuse_because(
        &self,
        retry_after: Duration,
        reason: Refusal,
        because: Option<PartRefusalRecord<'_>>,
    ) -> Response {
        let mut response = responses::refused(retry_after);
        if reason == Refusal::CutOff && self.origin != Origin::Caller {
            // The process that wanted to hand it over asks another one.
            response.extensions_mut().insert(Declined);
            return response;
        }
        let pending = self.pending_request(&[], self.arrived);
        let (waiting, admitted) = {
            let local = self.state.shared.local.lock();
            let share = local.endpoints.admitted_share(&pending.requirements, pending.class());
            (local.dispatch.len(), share)
        };
        decision_log::write(&Record::Refused {
            request: &self.id,
            service: &self.routed.service.name,
            model: self.model().as_deref().unwrap_or_default(),
            reason: &format!("{reason:?}"),
            waited_ms: decision_log::millis(self.now().saturating_sub(self.arrived)),
            waiting,
            priority: pending.priority,
            admitted,
            retry_after_ms: decision_log::millis(retry_after),
            because,
        });
        response
    }

    fn log_sent(&self, attempt: u32, carrier: &Carrier) {
        // A hand-over has a record of its own.
        let Carrier::Server(reservation) = carrier else { return };
        let choice = reservation.choice();
        *self.current_server.lock() = Some(choice.endpoint.server.clone());
        decision_log::write(&Record::Sent {
            request: &self.id,
            attempt,
            server: &choice.endpoint.server,
            group: choice.endpoint.group.as_ref().map_or("", |(name, _)| name),
            expected_ms: decision_log::millis(choice.expected_time),
            fill: choice.utilization,
            load_age_ms: choice.load_age.map(decision_log::millis),
            waited_ms: decision_log::millis(self.now().saturating_sub(self.arrived)),
        });
    }
}
