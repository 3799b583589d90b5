//! The attempts of one request, until one gives the final response.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use base::prelude::*;
use pass::prelude::*;
use web::prelude::*;

use super::ActiveRequest;
use super::STOPPING_RETRY_AFTER;
use super::ServerId;
use super::attempt::Attempt;
use super::attempt::FailedAttempt;
use super::carrier::Carrier;
use super::hand_over::Declined;
use super::hand_over::Origin;
use super::log_failed;
use super::race::Race;
use super::responses;
use crate::decision_log;
use crate::decision_log::Record;

/// Number of processes that may decline a request before that counts as an attempt.
const MAX_DECLINED: u32 = 2;
/// Number of attempts beyond those of its route that a request may take if some have not run.
const MAX_NOT_RUN: u32 = 2;

/// Returns whether a response declines a request that another process handed over.
fn is_declined(response: &Response) -> bool {
    response.extensions().get::<Declined>().is_some()
}

/// The attempts of a request that have ended.
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
    pub(super) fn add(&mut self, failed: &FailedAttempt) {
        self.servers.extend(failed.server.clone());
        if !matches!(failed.outcome, AttemptOutcome::NotSent | AttemptOutcome::NotTried) {
            self.reached.extend(failed.server.clone());
        }
        if !failed.outcome.is_not_run() {
            self.may_have_run += 1;
        }
    }

    /// Returns these, with those that still run at the servers `running`; `may_have_run` counts them all.
    pub(super) fn with_running<'a>(
        &self,
        running: impl Iterator<Item = &'a ServerId>,
        may_have_run: u32,
    ) -> Tries {
        let mut tries = Tries { may_have_run, ..self.clone() };
        for server in running {
            tries.servers.push(server.clone());
            tries.reached.push(server.clone());
        }
        tries
    }
}

/// How many attempts of a request have begun, wherever it was served.
#[data]
#[derive(Copy, Default)]
pub(super) struct AttemptCount {
    /// Attempts that have begun.
    begun: u32,
    /// Attempts that have run or may run.
    may_run: u32,
    /// Processes that declined the request.
    declined: u32,
}

impl AttemptCount {
    /// Returns the count of a request with `may_have_run` attempts at another process.
    pub(super) fn after(may_have_run: u32) -> Self {
        AttemptCount { begun: may_have_run, may_run: may_have_run, declined: 0 }
    }

    /// Counts an attempt that begins; returns its number, from 1.
    fn begin(&mut self) -> u32 {
        self.begun += 1;
        self.may_run += 1;
        self.begun
    }

    fn fail(&mut self, failed: &FailedAttempt) {
        if failed.outcome.is_not_run() {
            self.may_run = self.may_run.saturating_sub(1);
        }
        if failed.was_declined() && self.declined < MAX_DECLINED {
            self.declined += 1;
            self.begun = self.begun.saturating_sub(1);
        }
    }

    /// Returns whether one more attempt may begin on a route with `max_attempts`.
    fn allows_another(self, max_attempts: u32) -> bool {
        self.may_run < max_attempts && self.begun < max_attempts + MAX_NOT_RUN
    }
}

/// The serving of a request by one attempt after the other, and by several at a time while servers are
/// silent.
struct Attempts {
    active: Arc<ActiveRequest>,
    tries: Tries,
    race: Race<Response>,
    /// The last attempt that may have run. Once there is one, no response may promise that the request
    /// has not run.
    last_unknown: Option<FailedAttempt>,
    /// The error of a server, while another attempt may still succeed.
    error_response: Option<Response>,
}

impl Attempts {
    fn new(active: Arc<ActiveRequest>) -> Self {
        let tries = match &active.origin {
            Origin::Caller => Tries::default(),
            Origin::Process(progress) => progress.tries.clone(),
        };
        let last_unknown = (tries.may_have_run > 0).then_some(FailedAttempt::ELSEWHERE);
        Attempts { active, tries, race: Race::default(), last_unknown, error_response: None }
    }

    /// Begins the only attempt, once there is a carrier for it. Without one, returns the final response.
    async fn begin_first(&mut self) -> Result<(), Response> {
        let waiting = self.active.wait_for_carrier(&self.tries.servers, self.active.arrived);
        // What may have run is tried to the end: its caller can't be told to come back.
        let may_leave = self.last_unknown.is_none();
        let waited = tokio::select! {
            biased;
            () = self.active.must_leave(), if may_leave => Err(self.active.leave()),
            waited = waiting => waited,
        };
        let mut refused = match waited {
            Ok(carrier) => {
                self.begin(carrier);
                return Ok(());
            }
            Err(refused) => refused,
        };
        if is_declined(&refused) && self.tries.may_have_run == self.active.runs_elsewhere() {
            let returns_request = self.active.stop_earning().is_some();
            refused.extensions_mut().insert(Declined { returns_request });
            return Err(refused);
        }
        Err(self.last_unknown.as_ref().map_or(refused, |failed| self.active.fail(failed)))
    }

    fn begin(&mut self, carrier: Carrier) {
        let active = self.active.clone();
        let tries = self.tries.with_running(self.race.servers(), active.may_run());
        let number = active.begin_attempt();
        active.log_sent(number, &carrier);
        self.race.begin(Attempt::new(active, carrier, number, tries), Attempt::run);
    }

    /// Returns the outcome of the next attempt that counts, and begins others while servers are silent.
    async fn next_end(&mut self) -> Result<Response, FailedAttempt> {
        loop {
            let running = self.race.servers();
            let tried: Vec<ServerId> = self.tries.servers.iter().chain(running).cloned().collect();
            let another = self.active.another_carrier(self.race.newest_silence(), &tried);
            tokio::select! {
                // A response that has come needs no other attempt.
                biased;
                ended = self.race.next() => match ended {
                    Ok(response) if is_error(&response) && !self.race.is_empty() => {
                        self.error_response = Some(response);
                    }
                    ended => return ended,
                },
                carrier = another => self.begin(carrier),
            }
        }
    }

    /// Takes a failed attempt into account; returns the final response if nothing may follow.
    fn fail(&mut self, failed: FailedAttempt) -> Option<Response> {
        self.active.count_failure(&failed);
        self.tries.add(&failed);
        let is_not_run = failed.outcome.is_not_run();
        if !self.race.is_empty() {
            self.last_unknown = Some(failed).filter(|_| !is_not_run).or(self.last_unknown.take());
            return None;
        }
        *self.active.current_server.lock() = None;
        if let Some(response) = self.error_response.take() {
            return Some(response);
        }
        let is_last = !self.active.may_retry(&failed);
        if is_last && is_not_run {
            return Some(self.active.fail(self.last_unknown.as_ref().unwrap_or(&failed)));
        }
        if is_last {
            return Some(self.active.fail(&failed));
        }
        if !is_not_run {
            self.last_unknown = Some(failed);
        }
        None
    }
}

/// Returns whether a response is the error of a server.
fn is_error(response: &Response) -> bool {
    response.status().is_server_error()
}

impl ActiveRequest {
    /// Serves the request to its final response.
    pub(super) async fn serve(self: Arc<Self>) -> Response {
        self.count_request();
        let mut attempts = Attempts::new(self);
        loop {
            if attempts.race.is_empty()
                && let Err(refused) = attempts.begin_first().await
            {
                return refused;
            }
            let response = match attempts.next_end().await {
                Ok(response) => Some(response),
                Err(failed) => attempts.fail(failed),
            };
            if let Some(response) = response {
                attempts.race.end(&attempts.active.id);
                return response;
            }
        }
    }

    /// Resolves when the process stops and the request, which may take until its deadline, can't finish
    /// here.
    async fn must_leave(&self) {
        self.state.stop.closed_too_early(self.deadline).await;
    }

    /// Returns the response to a request that must go to another process.
    fn leave(&self) -> Response {
        let response = responses::refused(STOPPING_RETRY_AFTER);
        self.end(response, "its deadline is after the end of the stop")
    }

    /// Returns the number of attempts that may have run at another process.
    fn runs_elsewhere(&self) -> u32 {
        match &self.origin {
            Origin::Caller => 0,
            Origin::Process(progress) => progress.tries.may_have_run,
        }
    }

    /// Returns the number of attempts that have run or may run.
    pub(super) fn may_run(&self) -> u32 {
        self.attempts.lock().may_run
    }

    /// Counts an attempt that begins; returns its number.
    pub(super) fn begin_attempt(&self) -> u32 {
        self.attempts.lock().begin()
    }

    /// Counts a failed attempt.
    pub(super) fn count_failure(&self, failed: &FailedAttempt) {
        self.attempts.lock().fail(failed);
    }

    /// Returns whether another attempt may begin though earlier ones may run or have run.
    pub(super) fn may_add_attempt(&self) -> bool {
        let route = &self.routed.route;
        AttemptOutcome::Unknown.may_retry(route.execution_policy)
            && self.attempts.lock().allows_another(route.max_attempts)
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
        let earns_here = match &self.origin {
            Origin::Caller => true,
            Origin::Process(progress) => progress.earning_age.is_some(),
        };
        if earns_here {
            self.earn();
        }
        let mut local = self.state.shared.local.lock();
        local.requests += 1;
        if let (Some(engine), Some(generation)) =
            (&self.routed.service.engine, &self.metadata.generation)
        {
            local.record_work(engine, generation, now);
        }
    }

    /// Lets the request earn retries at this process, and at no other.
    pub(super) fn earn(&self) {
        self.earns.store(true, Ordering::Relaxed);
        let (service, age) = (&self.routed.service.name, self.age());
        self.state.shared.local.lock().count_request(service, age);
    }

    /// Ends that, so that it may earn at another process; returns the time since the caller's request arrived,
    /// or `None` if it earns nothing here, or has been used.
    pub(super) fn stop_earning(&self) -> Option<Duration> {
        let (service, age) = (&self.routed.service.name, self.age());
        if !self.earns.load(Ordering::Relaxed) {
            return None;
        }
        let is_taken = self.state.shared.local.lock().take_back_request(service, age);
        self.earns.store(!is_taken, Ordering::Relaxed);
        is_taken.then_some(age)
    }

    /// Returns the time since the caller's request arrived, wherever that was.
    fn age(&self) -> Duration {
        let age = self.now().saturating_sub(self.arrived);
        match &self.origin {
            Origin::Caller => age,
            // That of a resumed stream counts from its interruption.
            Origin::Process(progress) => {
                let here = age.saturating_sub(progress.waited);
                progress.earning_age.unwrap_or(progress.waited) + here
            }
        }
    }

    /// Returns whether another attempt may follow the failed one, and takes it from the retry budget.
    pub(super) fn may_retry(&self, failed: &FailedAttempt) -> bool {
        let route = &self.routed.route;
        if !failed.outcome.may_retry(route.execution_policy) {
            return false;
        }
        let AttemptCount { begun, may_run, .. } = *self.attempts.lock();
        if may_run >= route.max_attempts.max(1) && !failed.outcome.is_not_run() {
            return false;
        }
        if begun >= route.max_attempts + MAX_NOT_RUN || self.now() >= self.deadline {
            return false;
        }
        // An attempt that was never sent put no load on the backend server, so it takes nothing
        // from the retry budget.
        failed.outcome == AttemptOutcome::NotSent || self.take_retry()
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
