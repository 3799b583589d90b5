//! The share of each model in the work that callers request.
//!
//! The work that the whole fleet reports takes precedence over the sample of a single process, which
//! may serve a few callers only. A model that no other process reports, since it has no group or the
//! others run an older build, keeps its proportion to the other models in this process's sample.
//! While there is little work, the shares are mixed with the configured ones.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::spec::EngineSpec;
use crate::spec::ModelSpec;

/// Time constant of the exponential decay of a process's recent work.
pub const WORK_DECAY_TIME: Duration = Duration::from_secs(8);
/// Recent work, in seconds of servers, from which the shares follow recent work alone; with less,
/// they are mixed with the configured shares.
const FULL_CONFIDENCE_WORK_S: f64 = 20.0;

/// Returns each model's share of the demand.
///
/// `own` is the recent work of this process, in seconds of servers, decayed with
/// [`WORK_DECAY_TIME`]; `fleet` is the work that callers request of all processes in a second, by
/// model, in the same unit, where it is known.
pub fn shares(
    engine: &EngineSpec,
    own: &BTreeMap<ModelId, f64>,
    fleet: &BTreeMap<ModelId, f64>,
) -> BTreeMap<ModelId, f64> {
    let own_work = |model: &ModelSpec| own.get(&model.name).copied().unwrap_or(0.0);
    let fleet_work =
        |model: &ModelSpec| fleet.get(&model.name).map(|work| work * WORK_DECAY_TIME.as_secs_f64());
    let reported = || engine.models.iter().filter(|model| fleet.contains_key(&model.name));
    let of_fleet: f64 = reported().filter_map(fleet_work).sum();
    let own_of_reported: f64 = reported().map(own_work).sum();
    let scale = if own_of_reported > 0.0 { of_fleet / own_of_reported } else { 1.0 };
    let work = |model: &ModelSpec| fleet_work(model).unwrap_or_else(|| own_work(model) * scale);
    let recent: f64 = engine.models.iter().map(work).sum();
    let configured: f64 = engine.models.iter().map(|model| model.initial_demand_share).sum();
    let confidence = (recent / FULL_CONFIDENCE_WORK_S).min(1.0);
    let share = |model: &ModelSpec| {
        let measured = if recent > 0.0 { work(model) / recent } else { 0.0 };
        confidence * measured
            + (1.0 - confidence) * model.initial_demand_share / configured.max(f64::MIN_POSITIVE)
    };
    engine.models.iter().map(|model| (model.name.clone(), share(model))).collect()
}
