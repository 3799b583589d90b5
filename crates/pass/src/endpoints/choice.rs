//! The choice of an endpoint for a request.

use base::prelude::*;

use super::EndpointChoice;
use super::EndpointPool;
use super::EndpointRequirements;
use super::flow_of;
use crate::endpoint::Candidate;
use crate::endpoint::Evaluation;
use crate::endpoint::evaluate;

/// With many processes, an endpoint is nearly as good as the best if its expected time exceeds the
/// best by at most this ratio plus [`NEAR_BEST_MARGIN`].
const NEAR_BEST_RATIO: f64 = 0.3;
/// See [`NEAR_BEST_RATIO`].
const NEAR_BEST_MARGIN: Duration = Duration::from_millis(30);
/// Number of processes from which on the full ratio and margin apply; below it they are scaled down
/// in proportion.
const MANY_PROCESSES: f64 = 40.0;
/// Age of what is known of a server's limit from which on a request is sent to learn whether it
/// still holds.
const MAX_LIMIT_AGE: Duration = Duration::from_secs(2);

impl EndpointPool {
    /// Chooses an endpoint whose server has a limit that allows a request: one that is hardly slower
    /// than the best, since the permit would lapse soon, or one of which no response has told for a
    /// while whether the limit holds, or one in warm-up if callers wait.
    pub fn choose_limited(
        &self,
        requirements: &EndpointRequirements,
        now: Mono,
    ) -> Option<EndpointChoice> {
        if self.limits.is_empty() && self.warm_ups.len(now) == 0 {
            return None;
        }
        let candidates = self.available(requirements, now);
        let best = candidates.iter().map(|candidate| candidate.expected_time).min()?;
        let has_waiting = !self.takes_all(requirements);
        let is_preferred = |candidate: &Candidate<'_>| {
            let endpoint = candidate.endpoint;
            let is_fast = candidate.expected_time <= best + NEAR_BEST_MARGIN;
            let (server, started_at_ms) = (&endpoint.server, endpoint.started_at_ms);
            let age = self.limits.limit_age(server, started_at_ms, now);
            let is_warming = self.warm_ups.fleet_rate(server, started_at_ms, now).is_some();
            // Where callers wait, no permit of a server in warm-up is left to lapse.
            let is_wanted = is_warming && (is_fast || has_waiting);
            is_wanted || age.is_some_and(|age| is_fast || age > MAX_LIMIT_AGE)
        };
        let preferred = candidates.into_iter().filter(is_preferred);
        preferred.min_by_key(|candidate| candidate.expected_time).map(EndpointChoice::from)
    }

    /// Chooses an endpoint with a nearly optimal expected response time; `None` if none has
    /// capacity.
    pub fn choose(&self, requirements: &EndpointRequirements, now: Mono) -> Option<EndpointChoice> {
        let mut candidates = self.available(requirements, now);
        let best = candidates.iter().map(|candidate| candidate.expected_time).min()?;
        let total_share: f64 = candidates.iter().map(|candidate| candidate.share).sum();
        let many = match total_share > 0.0 {
            true => 1.0,
            false => (self.processes as f64 / MANY_PROCESSES).min(1.0),
        };
        let bound = best.mul_f64(1.0 + NEAR_BEST_RATIO * many) + NEAR_BEST_MARGIN.mul_f64(many);
        candidates.retain(|candidate| candidate.expected_time <= bound);
        let first = candidates.swap_remove(self.pick(&candidates));
        if candidates.is_empty() || first.share > 0.0 {
            return Some(first.into());
        }
        let second = candidates.swap_remove(self.pick(&candidates));
        let is_better =
            (second.expected_time, second.utilization) < (first.expected_time, first.utilization);
        Some(if is_better { second } else { first }.into())
    }

    /// Picks a candidate at random, by the shares of the new requests if any has one.
    fn pick(&self, candidates: &[Candidate<'_>]) -> usize {
        let total: f64 = candidates.iter().map(|candidate| candidate.share).sum();
        let mut left = self.random_fraction() * total;
        let picked = candidates.iter().position(|candidate| {
            left -= candidate.share;
            left < 0.0
        });
        picked.unwrap_or_else(|| self.random_below(candidates.len()))
    }

    fn fixed_time(&self, requirements: &EndpointRequirements) -> Duration {
        self.flows.fixed_time(&requirements.service, requirements.model.as_deref())
    }

    /// Records that the first event of a stream came after the time `seen`.
    pub fn first_event_seen(&mut self, choice: &EndpointChoice, seen: Duration, now: Mono) {
        if choice.endpoint.group.is_some() {
            let explained = choice.expected_load_time();
            self.flows.first_event_seen(&flow_of(&choice.endpoint), seen, explained, now);
        }
    }

    /// Returns the endpoints that have capacity.
    fn available<'a>(
        &'a self,
        requirements: &'a EndpointRequirements,
        now: Mono,
    ) -> Vec<Candidate<'a>> {
        let engine = self.engine(&requirements.service);
        let usual = engine.map_or(0.0, |engine| engine.mean_prompt_tokens);
        let mean = self.flow_outlook(requirements).mean_size.map(|mean| mean.prompt_tokens);
        let evaluation = Evaluation {
            engine,
            prompt_tokens: requirements.prompt_tokens,
            mean_prompt_tokens: mean.unwrap_or(usual),
            report_age: self.flows.report_age(now),
            fixed_time: self.fixed_time(requirements),
        };
        let candidates = self
            .untried(requirements)
            .filter(|state| !self.is_unreachable(&state.endpoint))
            .filter(|state| self.has_permit(&state.endpoint, now))
            .filter(|state| self.has_no_pause(&state.endpoint, now))
            .filter_map(|state| evaluate(state, &evaluation, now))
            .collect();
        self.slowed(candidates, now)
    }

    /// Returns the candidates with the expected times and shares that follow from their warm-ups.
    ///
    /// If all are in warm-up, the least slow one counts as usual: it would be passed over otherwise,
    /// though no other is faster.
    fn slowed<'a>(&self, candidates: Vec<Candidate<'a>>, now: Mono) -> Vec<Candidate<'a>> {
        if self.warm_ups.len(now) == 0 {
            return candidates;
        }
        let slowdown = |candidate: &Candidate<'_>| self.warm_ups.slowdown(candidate.endpoint, now);
        let slowdowns: Vec<f64> = candidates.iter().map(slowdown).collect();
        let least = slowdowns.iter().copied().fold(f64::INFINITY, f64::min);
        let slowed = candidates.into_iter().zip(slowdowns);
        slowed.map(|(candidate, slowdown)| candidate.slowed(slowdown / least)).collect()
    }
}
