//! Shows operators the evacuations of failure domains that this process knows, as JSON.

use base::prelude::*;
use http::StatusCode;
use pass::evacuation::EvacuationState;
use serde::Serialize;
use web::prelude::*;

use crate::decision_log::millis;
use crate::local_state::SharedState;

/// A failure domain that is being evacuated or returns.
#[derive(Debug, Serialize)]
struct EvacuationView {
    domain: FailureDomainId,
    state: EvacuationState,
    /// Milliseconds since this process learned of the evacuation or its cancellation.
    age_ms: u64,
    /// Requests of this process in progress in the domain.
    requests: u32,
}

/// Answers `GET /evacuations`.
pub(crate) fn respond(shared: &SharedState, now: Mono) -> Response {
    let mut local = shared.local.lock();
    local.update_evacuations(now);
    let endpoints = &local.endpoints;
    let views: Vec<EvacuationView> = endpoints
        .evacuations
        .iter()
        .map(|(domain, evacuation)| EvacuationView {
            domain: domain.clone(),
            state: evacuation.state,
            age_ms: millis(now.saturating_sub(evacuation.learned_at)),
            requests: endpoints.requests_in(domain),
        })
        .collect();
    let text = serde_json::to_string(&views).expect("evacuations have a JSON form");
    reply::with_type(StatusCode::OK, "application/json", text)
}
