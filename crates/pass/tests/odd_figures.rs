//! Forecasts from figures of a configuration that nothing can be computed with.

use base::prelude::*;
use form::prelude::*;
use pass::admission::RequestClass;
use pass::config::Route;
use pass::config::Target;
use pass::endpoints::EndpointRequirements;
use pass::load::Load;
use pass::prelude::*;
use proptest::prelude::*;

const SERVICE: &str = "assistant";
const MODEL: &str = "large";
const CLASS: RequestClass<'static> = RequestClass { priority: 1, workspace: None };

/// Any number that JSON can hold, the odd ones more often.
fn number() -> impl Strategy<Value = f64> {
    let odd = vec![0.0, -1.0, -0.5, 1e308, -1e308, 1e-308, 1e18, 1.0, 50_000.0];
    prop_oneof![proptest::sample::select(odd), -1e6..1e6_f64]
}

fn count() -> impl Strategy<Value = u64> {
    prop_oneof![proptest::sample::select(vec![0, 1, 7, 2_048, u64::MAX, 1 << 32]), 0..100_000_u64]
}

/// Any time that a decoder may return: it can't return a negative one.
fn time() -> impl Strategy<Value = Duration> {
    let odd = vec![Duration::ZERO, Duration::from_nanos(1), Duration::from_secs(1_000_000)];
    prop_oneof![proptest::sample::select(odd), (0..100_000_u64).prop_map(Duration::from_micros)]
}

prop_compose! {
    fn model()(factor in number(), share in number(), load in time(), warm in time(), size in count())
        -> ModelSpec {
        ModelSpec {
            name: MODEL.into(),
            group_size: size as usize,
            time_factor: factor,
            initial_demand_share: share,
            store_load_time: load,
            host_load_time: warm,
        }
    }
}

prop_compose! {
    fn engine()(
        model in model(),
        counts in proptest::array::uniform4(count()),
        steps in proptest::num::u32::ANY,
        times in proptest::array::uniform4(time()),
        numbers in proptest::array::uniform4(number()),
    ) -> EngineSpec {
        EngineSpec {
            models: vec![model],
            slots: counts[0] as usize,
            kv_cache_tokens: counts[1],
            step_time: times[0],
            step_time_per_request: times[1],
            step_time_per_1k_context: times[2],
            prefill_tokens_per_second: numbers[0],
            prefill_chunk_tokens: counts[2],
            steps_per_flush: steps,
            open_time: times[3],
            max_loads_per_second: numbers[1],
            max_concurrent_loads: counts[3] as usize,
            mean_prompt_tokens: numbers[2],
            mean_output_tokens: numbers[3],
        }
    }
}

fn route(timeout: Duration, latency_target: Duration, max_attempts: u32) -> Route {
    Route {
        name: "chat".into(),
        host: "club.example".into(),
        prefix: "/chat/".into(),
        execution_policy: ExecutionPolicy::Resumable,
        is_streaming: true,
        timeout,
        latency_target,
        event_gap_target: Some(latency_target),
        priority: 1,
        targets: vec![Target { service: SERVICE.into(), weight: 1 }],
        max_attempts,
        public: true,
    }
}

fn endpoint(server: &str) -> Endpoint {
    Endpoint {
        server: server.into(),
        address: ([127, 0, 0, 1], 1).into(),
        service: SERVICE.into(),
        group: Some((server.into(), 1)),
        model: Some(MODEL.into()),
        slots: 8,
        failure_domain: "a".into(),
        started_at_ms: 1,
    }
}

/// Does with a configuration what a process does: takes requests, sends, reports and gets reports.
fn use_config(config: RoutingConfig) {
    let mut endpoints = EndpointPool::with_seed(1);
    let table = RouteTable::from(config);
    endpoints.set_services(table.services().cloned());
    endpoints.set_endpoints(vec![endpoint("g0"), endpoint("g1")]);
    let service: ServiceId = SERVICE.into();
    let requirements = EndpointRequirements {
        service: service.clone(),
        model: Some(MODEL.into()),
        prompt_tokens: 1_600,
        output_tokens: 120,
        excluded: Vec::new(),
    };
    for step in 0..20 {
        let now = Duration::from_millis(100 * step);
        endpoints.request_arrived(&requirements, CLASS, now);
        if let Some(choice) = endpoints.choose(&requirements, now) {
            endpoints.request_sent(&choice.endpoint, 1_600, now);
            endpoints.first_event_seen(&choice, Duration::from_millis(40), now);
        }
        let loads = vec![("g0".into(), Load { requests: 3, ..Load::default() })];
        endpoints.set_remote_loads(&loads, 6, now);
        endpoints.fleet_demands(&service, now);
        endpoints.local_loads(now);
        endpoints.time_to_admission(&requirements, CLASS);
        endpoints.retry_times(&requirements).retry_after(1, Duration::from_secs(1), 0.5);
    }
}

proptest! {
    // Guards against processes that end because of a figure in a configuration.
    #[test]
    fn no_figure_of_a_configuration_breaks_the_forecasts(
        engine in engine(),
        timeout in time(),
        target in time(),
        max_attempts in proptest::num::u32::ANY,
    ) {
        let service = ServiceSpec {
            name: SERVICE.into(),
            max_connections: 9,
            engine: Some(engine),
            warm_up: None,
        };
        let config = RoutingConfig {
            version: 1,
            routes: vec![route(timeout, target, max_attempts)],
            services: vec![service],
            ..RoutingConfig::default()
        };
        let (checked, findings) = config.clone().checked();
        prop_assert!(findings.is_empty() == (checked == config), "{}", findings);
        use_config(checked);
    }
}

// A configuration that can be used stays as it is.
#[test]
fn usual_figures_are_left_as_they_are() {
    let config = RoutingConfig {
        version: 1,
        routes: vec![route(Duration::from_secs(8), Duration::from_millis(300), 2)],
        services: vec![ServiceSpec {
            name: SERVICE.into(),
            max_connections: 9,
            engine: None,
            warm_up: None,
        }],
        ..RoutingConfig::default()
    };
    assert_eq!(config.clone().checked(), (config, Findings::default()));
}
