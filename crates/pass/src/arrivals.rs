//! What other processes are expected to send to endpoints before their loads are reported again.
//!
//! All processes choose on loads that are some time old. If each took them as they are, all would
//! send to the endpoint that was reported as least loaded, until the next report shows that it is
//! flooded. So each process assumes that the others do as it does: new requests go where they level
//! the reported loads, no faster than an endpoint can read their prompts, and requests end in
//! proportion to those in progress. A process makes its own choices by the same shares, which is what
//! makes the assumption hold. If the endpoints can't take as many requests as arrive, each process
//! sends the same part of its own.

use std::cmp::Ordering;

use base::prelude::*;

use crate::admission::Arrivals;
use crate::admission::MIDDLE_PRIORITY;
use crate::admission::RetryTimes;
use crate::admission::Shares;
use crate::admission::class;
use crate::engine_time::RequestSize;

/// Time constant of the exponential decay of counted events.
const DECAY_TIME: Duration = Duration::from_secs(6);
/// Smallest share of the time constant that counts as observed, since a short time tells little.
const MIN_OBSERVED_SHARE: f64 = 0.25;
/// Shortest time between two reports that is assumed.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time in which new requests are to level the reported loads, in intervals between two reports.
/// Shorter ones overshoot, since a report shows only what was sent before it.
const LEVELLING_INTERVALS: f64 = 2.0;
/// Share of the slots that is filled; the rest makes up for loads that are known late.
const MAX_FILL: f64 = 0.9;
/// Resolution of reported rates by priority, in requests a second; it keeps reports short.
const RATE_STEP: f64 = 1.0 / 64.0;
/// Sum of what rounding adds to or takes from reported rates, relative to the arrivals.
const MAX_ROUNDING: f64 = 0.02;
/// Steps of the bisection for the common level, enough for a thousandth of a request.
const BISECTION_STEPS: usize = 24;

/// The requests that choose among the same endpoints: their service and, for a model service, their
/// model.
pub type Flow = (ServiceId, Option<ModelId>);

/// The rate of events at one process, as a moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventRate {
    /// Sum of the events' weights, decayed exponentially up to `counted_at`.
    sum: f64,
    counted_at: Mono,
    since: Option<Mono>,
}

impl EventRate {
    /// Counts an event with a weight.
    pub fn record(&mut self, weight: f64, now: Mono) {
        self.sum = self.decayed(now) + weight;
        self.counted_at = now;
        self.since.get_or_insert(now);
    }

    /// Returns the weight of the events in a second.
    pub fn per_second(&self, now: Mono) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        let passed = now.saturating_sub(since).as_secs_f64() / DECAY_TIME.as_secs_f64();
        let observed = (1.0 - (-passed).exp()).max(MIN_OBSERVED_SHARE);
        self.decayed(now) / (DECAY_TIME.as_secs_f64() * observed)
    }

    /// Returns the weight of the events in a second, for events that are part of `all`: the rate of
    /// `all` times their share in it, so that the rates of the parts add up.
    fn share_of(&self, all: &EventRate, now: Mono) -> f64 {
        let share = self.decayed(now) / all.decayed(now).max(f64::MIN_POSITIVE);
        all.per_second(now) * share.min(1.0)
    }

    /// Returns the sum of the events' weights, decayed exponentially.
    pub(crate) fn decayed(&self, now: Mono) -> f64 {
        let passed = now.saturating_sub(self.counted_at).as_secs_f64();
        self.sum * (-passed / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// The rates of a flow at one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowRates {
    /// Requests that arrive.
    arrivals: EventRate,
    /// Arrivals of a higher priority than [`MIDDLE_PRIORITY`].
    urgent: EventRate,
    /// Arrivals of a lower priority than [`MIDDLE_PRIORITY`].
    low: EventRate,
    /// Prompt tokens of these requests.
    prompt_tokens: EventRate,
    /// Output tokens that they are expected to take.
    output_tokens: EventRate,
    /// Requests that are sent to an endpoint.
    sends: EventRate,
}

impl FlowRates {
    /// Records that a request has arrived.
    pub fn request_arrived(&mut self, size: RequestSize, priority: u8, now: Mono) {
        self.arrivals.record(1.0, now);
        match class(priority).cmp(&MIDDLE_PRIORITY) {
            Ordering::Less => self.urgent.record(1.0, now),
            Ordering::Equal => {}
            Ordering::Greater => self.low.record(1.0, now),
        }
        self.prompt_tokens.record(size.prompt_tokens, now);
        self.output_tokens.record(size.output_tokens, now);
    }

    /// Records that a request is sent to an endpoint.
    pub fn request_sent(&mut self, now: Mono) {
        self.sends.record(1.0, now);
    }

    /// Returns the demand at this process.
    pub fn demand(&self, now: Mono) -> Demand {
        Demand {
            arrivals_per_second: self.arrivals.per_second(now),
            prompt_tokens_per_second: self.prompt_tokens.per_second(now),
            output_tokens_per_second: self.output_tokens.per_second(now),
            sends_per_second: self.sends.per_second(now),
            urgent_per_second: self.urgent.share_of(&self.arrivals, now),
            low_per_second: self.low.share_of(&self.arrivals, now),
        }
    }
}

/// How many requests of a flow want an endpoint, and how many get one.
#[data]
#[derive(Copy, Default, serde::Serialize, serde::Deserialize)]
pub struct Demand {
    /// Requests that arrive.
    pub arrivals_per_second: f64,
    /// Prompt tokens of these requests.
    pub prompt_tokens_per_second: f64,
    /// Output tokens that they are expected to take.
    pub output_tokens_per_second: f64,
    /// Requests that are sent to an endpoint.
    pub sends_per_second: f64,
    /// Requests of the highest priority that arrive.
    #[serde(
        rename = "urgent",
        default,
        skip_serializing_if = "is_zero",
        serialize_with = "rounded"
    )]
    pub urgent_per_second: f64,
    /// Requests of a lower priority than the middle one that arrive. All others are of the middle one,
    /// as are those of older builds.
    #[serde(rename = "low", default, skip_serializing_if = "is_zero", serialize_with = "rounded")]
    pub low_per_second: f64,
}

fn is_zero(rate: &f64) -> bool {
    *rate < RATE_STEP / 2.0
}

fn rounded<S: serde::Serializer>(rate: &f64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64((rate / RATE_STEP).round() * RATE_STEP)
}

impl Demand {
    /// Returns the sum of both demands.
    pub fn combined_with(self, other: Demand) -> Demand {
        Demand {
            arrivals_per_second: self.arrivals_per_second + other.arrivals_per_second,
            prompt_tokens_per_second: self.prompt_tokens_per_second
                + other.prompt_tokens_per_second,
            output_tokens_per_second: self.output_tokens_per_second
                + other.output_tokens_per_second,
            sends_per_second: self.sends_per_second + other.sends_per_second,
            urgent_per_second: self.urgent_per_second + other.urgent_per_second,
            low_per_second: self.low_per_second + other.low_per_second,
        }
    }

    /// Returns the demand of so many processes with this one each.
    pub fn times(self, processes: f64) -> Demand {
        Demand {
            arrivals_per_second: self.arrivals_per_second * processes,
            prompt_tokens_per_second: self.prompt_tokens_per_second * processes,
            output_tokens_per_second: self.output_tokens_per_second * processes,
            sends_per_second: self.sends_per_second * processes,
            urgent_per_second: self.urgent_per_second * processes,
            low_per_second: self.low_per_second * processes,
        }
    }

    /// Returns the arrivals by priority.
    pub fn arrivals_by_priority(&self) -> Arrivals {
        let (urgent, low) = (self.urgent_per_second, self.low_per_second);
        let middle = self.arrivals_per_second - urgent - low;
        // Rates are rounded when they are reported.
        let is_rounding = middle < RATE_STEP.max(self.arrivals_per_second * MAX_ROUNDING);
        [urgent, if is_rounding { 0.0 } else { middle }, low]
    }

    /// Returns the mean size of a request, if any has arrived.
    pub fn mean_size(&self) -> Option<RequestSize> {
        let mean = RequestSize {
            prompt_tokens: self.prompt_tokens_per_second / self.arrivals_per_second,
            output_tokens: self.output_tokens_per_second / self.arrivals_per_second,
        };
        (mean.prompt_tokens.is_finite() && mean.output_tokens.is_finite()).then_some(mean)
    }
}

/// The load of an endpoint that new requests are to level.
#[data]
#[derive(Copy)]
pub struct Level {
    /// Requests in progress, of all processes.
    pub requests: f64,
    /// Those of other processes.
    pub remote_requests: f64,
    /// Requests that it runs concurrently.
    pub slots: f64,
    /// New requests that it can begin in a second without making them wait for each other.
    pub starts_per_second: f64,
    /// Requests that it can serve in a second for good.
    pub capacity_per_second: f64,
}

impl Level {
    /// Returns the level of an endpoint that takes at most `per_second` requests.
    pub fn limited_to(self, per_second: f64) -> Level {
        Level {
            starts_per_second: self.starts_per_second.min(per_second),
            capacity_per_second: self.capacity_per_second.min(per_second),
            ..self
        }
    }
}

/// How the load of an endpoint from other processes is expected to change until the next report.
#[data]
#[derive(Copy, Default)]
pub struct Drift {
    /// New requests that the endpoint gets in a second, from all processes.
    pub sends_per_second: f64,
    /// Those from other processes.
    pub remote_sends_per_second: f64,
    /// Requests by which the load from other processes grows or falls in a second.
    pub growth_per_second: f64,
}

/// What all processes together are expected to send until the next report.
#[data]
pub struct Outlook {
    /// The change of each endpoint's load, in the order of their levels.
    pub drifts: Vec<Drift>,
    /// The share of the arriving requests that the endpoints can take.
    pub admitted: f64,
    /// The same by priority.
    pub shares: Shares,
    /// When callers retry that are rejected since the endpoints are busy.
    pub retry_times: RetryTimes,
}

/// Returns what `processes` are expected to send to the endpoints of a flow whose loads they get at
/// every `interval`; `demand` is that of all of them.
pub fn outlook(levels: &[Level], demand: Demand, processes: usize, interval: Duration) -> Outlook {
    let horizon = interval.max(MIN_REPORT_INTERVAL).as_secs_f64() * LEVELLING_INTERVALS;
    let free: f64 = levels.iter().map(|level| level.slots * MAX_FILL - level.requests).sum();
    // As many requests end as were sent lately, but for those that the endpoints can't serve for good.
    let capacity: f64 = levels.iter().map(|level| level.capacity_per_second).sum();
    let room = (free + demand.sends_per_second.min(capacity) * horizon).max(0.0);
    let wanted = (demand.arrivals_per_second * horizon).max(1.0);
    let new = level_out(levels, wanted.min(room), horizon);
    let sent: f64 = new.iter().sum();
    let processes = processes.max(1) as f64;
    let of_others = (processes - 1.0) / processes;
    let remote: f64 = levels.iter().map(|level| level.remote_requests).sum();
    let drift = |(level, new): (&Level, f64)| {
        let ending = sent * level.remote_requests / remote.max(1.0);
        Drift {
            sends_per_second: new / horizon,
            remote_sends_per_second: of_others * new / horizon,
            growth_per_second: of_others * (new - ending) / horizon,
        }
    };
    let drifts = levels.iter().zip(new).map(drift).collect();
    let admitted = (sent / wanted).min(1.0);
    let arrivals = demand.arrivals_by_priority();
    let shares = Shares::divide(admitted, arrivals);
    let retry_times = RetryTimes::after_overload(admitted, arrivals, shares);
    Outlook { drifts, admitted, shares, retry_times }
}

/// Returns how many of the next `arrivals` requests, in a time of `seconds`, each endpoint gets if they
/// are to level the requests per slot, while as many requests end in proportion to those in progress.
///
/// The sum is smaller than `arrivals` if the endpoints can't begin as many.
fn level_out(levels: &[Level], arrivals: f64, seconds: f64) -> Vec<f64> {
    let in_progress: f64 = levels.iter().map(|level| level.requests).sum();
    let staying = 1.0 - arrivals / in_progress.max(arrivals).max(f64::MIN_POSITIVE);
    let most = |level: &Level| level.starts_per_second * seconds;
    let new_at = |level: &Level, fill: f64| {
        (fill * level.slots - level.requests * staying).clamp(0.0, most(level))
    };
    // With this fill, each endpoint gets as many as it can begin, or all.
    let highest = |level: &Level| (level.requests + most(level).min(arrivals)) / level.slots;
    let (mut low, mut high) = (0.0, levels.iter().map(highest).fold(0.0, f64::max));
    for _ in 0..BISECTION_STEPS {
        let fill = (low + high) / 2.0;
        let total: f64 = levels.iter().map(|level| new_at(level, fill)).sum();
        if total < arrivals { low = fill } else { high = fill }
    }
    levels.iter().map(|level| new_at(level, high)).collect()
}
