//! The demand of the fleet for each model, as the owner of the groups gets it.

use std::sync::Arc;

use base::prelude::*;
use form::prelude::*;
use pass::admission::RequestClass;
use pass::endpoints::EndpointRequirements;
use pass::prelude::*;

/// Whose requests arrive.
const CLASS: RequestClass<'static> = RequestClass { priority: 1, workspace: None };

const SERVICE: &str = "assistant";
const MODEL: &str = "large";

fn engine() -> EngineSpec {
    let model = ModelSpec {
        name: MODEL.into(),
        group_size: 16,
        time_factor: 1.0,
        initial_demand_share: 1.0,
        store_load_time: Duration::from_secs(16),
        host_load_time: Duration::from_millis(1_600),
    };
    EngineSpec {
        models: vec![model],
        slots: 30,
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
        mean_prompt_tokens: 1_600.0,
        mean_output_tokens: 120.0,
    }
}

fn process() -> EndpointPool {
    let engine = Some(engine());
    let name: ServiceId = SERVICE.into();
    let mut endpoints = EndpointPool::with_seed(1);
    let spec = ServiceSpec { name: name.clone(), max_connections: 9, engine, warm_up: None };
    endpoints.set_services([Arc::new(spec)]);
    endpoints.set_endpoints(vec![Endpoint {
        server: "head".into(),
        address: ([127, 0, 0, 1], 1).into(),
        service: name,
        group: Some(("g".into(), 1)),
        model: Some(MODEL.into()),
        slots: 30,
        failure_domain: "a".into(),
        started_at_ms: 1,
    }]);
    endpoints
}

fn receive(endpoints: &mut EndpointPool, requests: u64, now: Mono) {
    let requirements = EndpointRequirements {
        service: SERVICE.into(),
        model: Some(MODEL.into()),
        prompt_tokens: 1_600,
        output_tokens: 120,
        excluded: Vec::new(),
    };
    for _ in 0..requests {
        endpoints.request_arrived(&requirements, CLASS, now);
    }
}

/// The owner counted only the requests of its own callers, and took a flow that was overloaded at the
/// other processes for one with spare capacity.
#[test]
fn the_demand_at_other_processes_counts() {
    let now = Duration::from_secs(10);
    let service: ServiceId = SERVICE.into();
    let (mut own, mut other) = (process(), process());
    receive(&mut own, 10, now);
    assert_eq!(own.fleet_demands(&service, now), [], "nothing is reported yet");
    receive(&mut other, 90, now);
    own.set_remote_loads(&other.local_loads(now), 2, now);
    let both = own.fleet_demands(&service, now);
    let mut alone = process();
    receive(&mut alone, 50, now);
    alone.set_remote_loads(&alone.local_loads(now), 2, now);
    let same = alone.fleet_demands(&service, now);
    assert!((both[0].work - same[0].work).abs() < 1e-6, "{both:?}, {same:?}");
    assert!((both[0].required_groups - same[0].required_groups).abs() < 1e-6);
    assert!(both[0].required_groups > 0.0);
}
