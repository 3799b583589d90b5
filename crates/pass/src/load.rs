//! The load of an endpoint, from one process or several.

use base::prelude::*;

use crate::arrivals::Demand;
use crate::server_limit::LimitObservation;

/// Time without data for all requests at an endpoint after which it counts as stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(450);
/// Time without data for all requests at an endpoint after which it may be about to stall.
const QUIET_TIMEOUT: Duration = Duration::from_millis(225);
/// Minimum number of requests without data for an endpoint to count as stalled.
const MIN_STALLED_REQUESTS: u32 = 2;

/// Load of an endpoint.
#[data]
#[derive(Copy, Default, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens that are still to be prefilled.
    #[serde(rename = "unread_tokens")]
    pub pending_prefill_tokens: u64,
    /// Milliseconds since the last data from the endpoint, if there was any; `None` as well if no
    /// request is there and none was recently moved away because of a stall.
    #[serde(rename = "quiet_ms")]
    pub ms_since_data: Option<u64>,
    /// Milliseconds for which requests have waited for data without any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ms_waiting: Option<u64>,
    /// How many requests want an endpoint of the same service and model. A process says so in the load
    /// of one of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub demand: Option<Demand>,
    /// What the endpoint's last response said of its limit, if it has named one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<LimitObservation>,
    /// The start time of the server instance, in Unix milliseconds, if it has said that it is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leaving: Option<u64>,
}

impl Load {
    /// Returns the sum of both loads. Of the times since data the shorter one counts, since the
    /// endpoint is responsive if any process gets data, and of the times of waiting the longer one,
    /// since a request that has just been sent shows nothing.
    pub fn combined_with(&self, other: &Load) -> Load {
        Load {
            requests: self.requests + other.requests,
            pending_prefill_tokens: self.pending_prefill_tokens + other.pending_prefill_tokens,
            ms_since_data: self.ms_since_data.into_iter().chain(other.ms_since_data).min(),
            ms_waiting: self.ms_waiting.max(other.ms_waiting),
            demand: self.demand.into_iter().chain(other.demand).reduce(Demand::combined_with),
            limit: self.limit.into_iter().chain(other.limit).reduce(LimitObservation::later),
            leaving: self.leaving.max(other.leaving),
        }
    }

    /// Returns the load with its observation of a limit as it is after some time.
    pub fn with_limit_aged(self, by: Duration) -> Load {
        Load { limit: self.limit.map(|limit| limit.aged(by)), ..self }
    }

    /// Returns for how many milliseconds no request has got data; `None` if none waits for any.
    pub fn idle_ms(&self) -> Option<u64> {
        self.ms_since_data.into_iter().chain(self.ms_waiting).min()
    }

    /// Returns whether no request has got data for longer than a group usually takes.
    pub(crate) fn is_quiet(&self) -> bool {
        self.idle_ms().is_some_and(|idle| u128::from(idle) > QUIET_TIMEOUT.as_millis())
    }

    /// Returns whether no request gets data, or all were moved away for that reason.
    pub(crate) fn is_stalled(&self) -> bool {
        let enough = self.requests >= MIN_STALLED_REQUESTS || self.requests == 0;
        enough && self.idle_ms().is_some_and(|idle| u128::from(idle) > STALL_TIMEOUT.as_millis())
    }
}
