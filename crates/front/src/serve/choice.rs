//! Chooses what carries an attempt: an endpoint, or another process.

use base::prelude::*;
use pass::budget::RetryAccount;
use pass::dispatch::Decision;
use pass::dispatch::PendingRequest;
use pass::dispatch::Refusal;
use pass::endpoints::EndpointRequirements;
use route::prompt_parts::PartRefusal;
use web::prelude::*;

use super::ActiveRequest;
use super::ServerId;
use super::UNCONFIGURED_RETRY_AFTER;
use super::carrier::Carrier;
use super::hand_over::Declined;
use super::hand_over::HandOver;
use super::hand_over::Origin;
use super::reservation::Reservation;
use super::responses;
use super::silence::CHECK_PERIOD;
use super::silence::Silence;
use super::silence::SilenceReceiver;
use crate::clock::wall_millis;
use crate::decision_log;
use crate::decision_log::PartRefusalRecord;
use crate::decision_log::Record;
use crate::metrics::retry_state;

/// Retry-After of requests that no other process can take over.
const NO_HELPER_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Why a request is not sent.
enum NotSent {
    /// It is refused.
    Refused { retry_after: Duration, reason: Refusal },
    /// Nothing was decided.
    Undecided,
}

/// Resolves when an attempt says that its server is silent; never, if it ends before.
async fn silent(mut silence: SilenceReceiver) -> Silence {
    match silence.wait_for(Option::is_some).await.ok().and_then(|silence| *silence) {
        Some(silence) => silence,
        None => std::future::pending().await,
    }
}

impl ActiveRequest {
    /// Waits until the attempt of `silence` has a silent server and another one can take the request; never
    /// resolves if no attempt runs, or no other may begin.
    ///
    /// Only what is free now is taken from others that wait; but if the server has probably been lost, the
    /// request waits its turn once.
    pub(super) async fn another_carrier(
        &self,
        silence: Option<SilenceReceiver>,
        tried: &[ServerId],
    ) -> Carrier {
        let Some(silence) = silence.filter(|_| self.may_add_attempt()) else {
            return std::future::pending().await;
        };
        let mut has_waited = false;
        loop {
            let is_loss = silent(silence.clone()).await.is_loss();
            let carrier = match is_loss && !has_waited {
                true => self.queued_carrier(tried).await,
                false => self.free_carrier(tried),
            };
            has_waited |= is_loss;
            match carrier {
                Some(carrier) => return carrier,
                None => tokio::time::sleep(CHECK_PERIOD).await,
            }
        }
    }

    /// Takes a retry from the budget; returns false if none is left.
    pub(super) fn take_retry(&self) -> bool {
        let service = &*self.routed.service.name;
        let (source, account, processes) = {
            let mut local = self.state.shared.local.lock();
            let source = local.take_retry(service);
            (source, local.retry_account(service), local.processes())
        };
        self.state.metrics.record_retry(service, source);
        let RetryAccount { requests, sent, earned, granted } = account;
        decision_log::write(&Record::Retry {
            request: &self.id,
            service,
            state: retry_state(source),
            requests,
            sent,
            earned,
            granted,
            processes,
        });
        source.is_some()
    }

    /// Returns a carrier for one more attempt beside those at the servers `tried`, if one is free now and
    /// the retry budget allows it.
    pub(super) fn free_carrier(&self, tried: &[ServerId]) -> Option<Carrier> {
        if !self.has_retry() || self.is_quarantined() {
            return None;
        }
        let pending = self.pending_request(tried, self.now());
        let decision = self.state.shared.decide_at_once(&pending, self.now());
        self.carrier_of(decision).ok().filter(|_| self.take_retry())
    }

    /// Does what [`ActiveRequest::free_carrier`] does, but waits in the queue until one is free.
    pub(super) async fn queued_carrier(&self, tried: &[ServerId]) -> Option<Carrier> {
        if !self.has_retry() || self.is_quarantined() {
            return None;
        }
        let decision = self.decision(self.pending_request(tried, self.now())).await;
        self.carrier_of(decision).ok().filter(|_| self.take_retry())
    }

    fn has_retry(&self) -> bool {
        let mut local = self.state.shared.local.lock();
        local.retry_account(&self.routed.service.name).left() >= 1.0
    }

    async fn decision(&self, pending: PendingRequest) -> Decision {
        match self.state.shared.submit(pending, self.now()) {
            Ok(decision) => decision,
            Err(waiting) => waiting.decision().await,
        }
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
        let decision = self.decision(self.pending_request(tried, since)).await;
        let carrier = self.carrier_of(decision).map_err(|not_sent| match not_sent {
            NotSent::Refused { retry_after, reason } => self.refuse(retry_after, reason),
            NotSent::Undecided => responses::refused(UNCONFIGURED_RETRY_AFTER),
        })?;
        match (&carrier, self.refuse_if_quarantined()) {
            (Carrier::Server(_), Some(refused)) => Err(refused),
            _ => Ok(carrier),
        }
    }

    /// Returns what carries the request, as it was decided.
    fn carrier_of(&self, decision: Decision) -> Result<Carrier, NotSent> {
        match decision {
            Decision::Send(choice) => Ok(Carrier::Server(Box::new(Reservation::new(self, choice)))),
            Decision::HandOver => match HandOver::choose(&self.state) {
                Some(hand_over) => Ok(Carrier::Process(hand_over)),
                None => Err(NotSent::Refused {
                    retry_after: NO_HELPER_RETRY_AFTER,
                    reason: Refusal::CutOff,
                }),
            },
            Decision::Refuse { retry_after, reason } => {
                Err(NotSent::Refused { retry_after, reason })
            }
            Decision::Wait => Err(NotSent::Undecided),
        }
    }

    /// Returns whether the request, or a part of its prompt, crashed the servers that ran it.
    fn is_quarantined(&self) -> bool {
        let local = self.state.shared.local.lock();
        local.crash_reports.refused_for(self.fingerprint, wall_millis()).is_some()
            || local.crash_reports.part_refusal(&self.parts, wall_millis()).is_some()
    }

    /// Returns a refusal if the request crashed the servers that ran it.
    fn refuse_if_quarantined(&self) -> Option<Response> {
        let (refused_for, part) = {
            let local = self.state.shared.local.lock();
            let refused_for = local.crash_reports.refused_for(self.fingerprint, wall_millis());
            (refused_for, local.crash_reports.part_refusal(&self.parts, wall_millis()))
        };
        if let Some(refusal) = part {
            let because = self.because_of_part(&refusal);
            return Some(self.refuse_because(refusal.left, Refusal::Quarantined, Some(because)));
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
            suspects: refusal.suspects,
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
            response.extensions_mut().insert(Declined { returns_request: false });
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
}
