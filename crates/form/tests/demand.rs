//! The share of each model in the demand, from one process's sample and the fleet's reports.

use std::collections::BTreeMap;

use base::prelude::*;
use form::demand::shares;
use form::prelude::*;

fn engine() -> EngineSpec {
    let model = |name: &str, share| ModelSpec {
        name: name.into(),
        group_size: 4,
        time_factor: 1.0,
        initial_demand_share: share,
        store_load_time: Duration::from_secs(16),
        host_load_time: Duration::from_secs(1),
    };
    EngineSpec {
        models: vec![model("large", 0.6), model("small", 0.4)],
        slots: 26,
        kv_cache_tokens: 1_590_000,
        step_time: Duration::from_millis(6),
        step_time_per_request: Duration::from_micros(44),
        step_time_per_1k_context: Duration::from_micros(8),
        prefill_tokens_per_second: 50_000.0,
        prefill_chunk_tokens: 2_048,
        steps_per_flush: 7,
        open_time: Duration::from_millis(300),
        max_loads_per_second: 4.5,
        max_concurrent_loads: 6,
        mean_prompt_tokens: 1_115.0,
        mean_output_tokens: 178.0,
    }
}

fn work(models: &[(&str, f64)]) -> BTreeMap<ModelId, f64> {
    models.iter().map(|(model, work)| ((*model).into(), *work)).collect()
}

fn large_share(own: &[(&str, f64)], fleet: &[(&str, f64)]) -> f64 {
    shares(&engine(), &work(own), &work(fleet))["large"]
}

/// The owner planned groups by the requests of its own callers, although those of the whole fleet
/// wanted the other model.
#[test]
fn the_demand_of_the_fleet_replaces_the_sample_of_one_process() {
    let own = [("large", 90.0), ("small", 10.0)];
    assert!((large_share(&own, &[]) - 0.9).abs() < 1e-9);
    assert!((large_share(&own, &[("large", 20.0), ("small", 80.0)]) - 0.2).abs() < 1e-9);
}

/// A model without any group is reported by no process; with a demand of zero it would get none.
#[test]
fn a_model_that_is_not_reported_keeps_its_proportion_in_the_own_sample() {
    let own = [("large", 60.0), ("small", 20.0)];
    assert!((large_share(&own, &[("small", 100.0)]) - 0.75).abs() < 1e-9);
}

/// Shares measured on next to no work change with every request.
#[test]
fn little_work_is_mixed_with_the_configured_shares() {
    assert!((large_share(&[], &[]) - 0.6).abs() < 1e-9);
    assert!((large_share(&[], &[("small", 1.25)]) - 0.3).abs() < 1e-9);
}
