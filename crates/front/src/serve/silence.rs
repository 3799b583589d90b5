//! When a server counts as silent for an attempt.
//!
//! A sound server may send nothing for a second or so and then go on. So its silence doesn't end an
//! attempt: it is the reason to begin another one beside it ([`super::race`]).

use base::prelude::*;
use displaydoc::Display;
use pass::prelude::*;
use tokio::sync::watch;

/// How often an attempt that waits for data checks whether its server is silent.
pub(super) const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Longest usual time to the first event of a stream, as a multiple of the route's latency target.
const FIRST_EVENT_FACTOR: u32 = 4;
/// Lower bound of that time.
const MIN_FIRST_EVENT_TIME: Duration = Duration::from_millis(900);
/// Longest usual time between two events, as a multiple of the route's event gap target.
const EVENT_GAP_FACTOR: u32 = 3;
/// Longest usual time between two events if the route has no event gap target.
const DEFAULT_EVENT_GAP: Duration = Duration::from_secs(1);
/// Longest usual time of an idempotent call to a plain service, as a multiple of the route's latency
/// target.
const CALL_FACTOR: u32 = 2;
/// Lower bound of that time.
const MIN_CALL_TIME: Duration = Duration::from_millis(150);

/// Why a server counts as silent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Silence {
    /// nothing came within the usual time
    Late,
    /// the server makes no progress on any request
    Stalled,
    /// nothing came within the usual time, and the server doesn't report itself any more
    Gone,
    /// this process reaches no server
    CutOff,
}

impl Silence {
    /// Returns whether the server has probably been lost. Then another one is worth waiting for.
    pub(super) fn is_loss(self) -> bool {
        match self {
            Silence::Late => false,
            Silence::Stalled | Silence::Gone | Silence::CutOff => true,
        }
    }
}

/// Where an attempt says that its server is silent.
pub(super) type SilenceReceiver = watch::Receiver<Option<Silence>>;

/// What an attempt waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The head of its response.
    Head,
    /// The first event or the body, after the head.
    Body,
    /// The next event of a stream that has begun.
    Events,
}

/// Returns how long a server may usually take; `None` if the request may not be sent to another one.
pub(super) fn usual_time(route: &Route, stage: Stage) -> Option<Duration> {
    match (route.execution_policy, stage) {
        (ExecutionPolicy::AtMostOnce, _) => None,
        (ExecutionPolicy::Idempotent, _) => {
            Some((route.latency_target * CALL_FACTOR).max(MIN_CALL_TIME))
        }
        (ExecutionPolicy::Resumable, Stage::Events) => {
            Some(route.event_gap_target.map_or(DEFAULT_EVENT_GAP, |gap| gap * EVENT_GAP_FACTOR))
        }
        (ExecutionPolicy::Resumable, Stage::Head | Stage::Body) => {
            Some((route.latency_target * FIRST_EVENT_FACTOR).max(MIN_FIRST_EVENT_TIME))
        }
    }
}
