//! What a process knows of its endpoints, under events in any order.

use std::sync::Arc;

use base::prelude::*;
use form::prelude::*;
use pass::arrivals::Demand;
use pass::dispatch::PendingRequest;
use pass::dispatch::Ticket;
use pass::endpoints::EndpointChoice;
use pass::endpoints::EndpointRequirements;
use pass::prelude::*;
use pass::server_limit::LimitObservation;
use pass::warm_up::WarmUp;
use proptest::prelude::*;

const SERVICES: [&str; 2] = ["llm", "desk"];
const MODELS: [&str; 2] = ["large", "small"];
const SERVERS: [&str; 4] = ["s0", "s1", "s2", "s3"];

/// An event, with numbers that say which thing it concerns and how much.
#[derive(Clone, Debug)]
enum Event {
    Configure { slots: usize, has_engine: bool, per_second: f64 },
    Add { server: usize, group: bool, started_at_ms: u64 },
    Remove { server: usize },
    Submit { service: usize, model: usize, tokens: u64, target_ms: u64, excluded: usize },
    Dispatch,
    Cancel,
    Started { took_ms: u64 },
    Data,
    End { outcome: u8 },
    Loads { requests: u32, tokens: u64, processes: usize, rate: f64, quiet_ms: Option<u64> },
    Limit { server: usize, per_second: Option<f64> },
    Pause { server: usize, ms: u64 },
    WarmUp { server: usize, ms: u64 },
    Evacuate { is_requested: bool, revision: u64 },
    Path { server: usize, is_up: bool },
    Check { reached: usize },
    Wait { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let server = || 0..SERVERS.len();
    let rate = || prop_oneof![Just(0.0), Just(1e-9), Just(1e9), 0.0..200.0_f64];
    prop_oneof![
        (1..40_usize, any::<bool>(), rate()).prop_map(|(slots, has_engine, per_second)| {
            Event::Configure { slots, has_engine, per_second }
        }),
        (server(), any::<bool>(), 1..4_u64).prop_map(|(server, group, started_at_ms)| Event::Add {
            server,
            group,
            started_at_ms
        }),
        server().prop_map(|server| Event::Remove { server }),
        (0..2_usize, 0..2_usize, 0..1_u64 << 32, 0..5_000_u64, 0..3_usize).prop_map(
            |(service, model, tokens, target_ms, excluded)| Event::Submit {
                service,
                model,
                tokens,
                target_ms,
                excluded
            }
        ),
        Just(Event::Dispatch),
        Just(Event::Cancel),
        (0..60_000_u64).prop_map(|took_ms| Event::Started { took_ms }),
        Just(Event::Data),
        any::<u8>().prop_map(|outcome| Event::End { outcome }),
        (0..500_u32, 0..1_u64 << 34, 0..200_usize, rate(), proptest::option::of(0..5_000_u64))
            .prop_map(|(requests, tokens, processes, rate, quiet_ms)| Event::Loads {
                requests,
                tokens,
                processes,
                rate,
                quiet_ms
            }),
        (server(), proptest::option::of(rate()))
            .prop_map(|(server, per_second)| Event::Limit { server, per_second }),
        (server(), 0..400_000_u64).prop_map(|(server, ms)| Event::Pause { server, ms }),
        (server(), 0..400_000_u64).prop_map(|(server, ms)| Event::WarmUp { server, ms }),
        (any::<bool>(), 1..50_u64)
            .prop_map(|(is_requested, revision)| Event::Evacuate { is_requested, revision }),
        (server(), any::<bool>()).prop_map(|(server, is_up)| Event::Path { server, is_up }),
        (0..3_usize).prop_map(|reached| Event::Check { reached }),
        prop_oneof![Just(0), 1..300_u64, Just(30_000)].prop_map(|ms| Event::Wait { ms }),
    ]
}

fn engine(slots: usize) -> EngineSpec {
    let model = |name: &str, group_size, time_factor| ModelSpec {
        name: name.into(),
        group_size,
        time_factor,
        initial_demand_share: 0.5,
        store_load_time: Duration::from_secs(16),
        host_load_time: Duration::from_secs(1),
    };
    EngineSpec {
        models: vec![model("large", 8, 3.0), model("small", 2, 1.0)],
        slots,
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

/// The part of a process that decides where its requests go.
struct Process {
    endpoints: EndpointPool,
    queue: DispatchQueue,
    now: Mono,
    tickets: Vec<Ticket>,
    running: Vec<(EndpointChoice, u64)>,
}

impl Process {
    fn new() -> Self {
        Process {
            endpoints: EndpointPool::with_seed(7),
            queue: DispatchQueue::default(),
            now: Duration::from_secs(1),
            tickets: Vec::new(),
            running: Vec::new(),
        }
    }

    fn endpoint(server: usize, is_group: bool, started_at_ms: u64) -> Endpoint {
        let (service, model) = match is_group {
            true => (SERVICES[0], Some(MODELS[server % 2].into())),
            false => (SERVICES[1], None),
        };
        Endpoint {
            server: SERVERS[server].into(),
            address: ([127, 0, 0, 1], 1).into(),
            service: service.into(),
            group: is_group.then(|| ("g".into(), started_at_ms)),
            model,
            slots: 1 + server,
            failure_domain: "a".into(),
            started_at_ms,
        }
    }

    fn sent(&mut self, decision: Decision, tokens: u64) {
        let Decision::Send(choice) = decision else { return };
        self.endpoints.request_sent(&choice.endpoint, tokens, self.now);
        self.running.push((choice, tokens));
    }

    fn submit(
        &mut self,
        service: usize,
        model: usize,
        tokens: u64,
        target_ms: u64,
        excluded: usize,
    ) {
        let requirements = EndpointRequirements {
            service: SERVICES[service].into(),
            model: (service == 0).then(|| MODELS[model].into()),
            prompt_tokens: tokens,
            output_tokens: tokens,
            excluded: SERVERS[..excluded].iter().map(|id| (*id).into()).collect(),
        };
        let pending = PendingRequest {
            requirements,
            arrived_at: self.now,
            latency_target: Duration::from_millis(target_ms),
            deadline: self.now + Duration::from_millis(target_ms * 3),
            priority: (target_ms % 12) as u8,
            workspace: Some("club".into()),
            may_hand_over: target_ms.is_multiple_of(2),
        };
        self.endpoints.request_arrived(&pending.requirements, pending.class(), self.now);
        let (decision, ticket) = self.queue.submit(pending, &self.endpoints, self.now);
        self.tickets.extend(ticket);
        if ticket.is_none() {
            self.sent(decision, tokens);
        }
    }

    fn loads(&self, requests: u32, tokens: u64, rate: f64, quiet_ms: Option<u64>) -> Load {
        Load {
            requests,
            pending_prefill_tokens: tokens,
            ms_since_data: quiet_ms,
            ms_waiting: quiet_ms,
            demand: Some(Demand {
                arrivals_per_second: rate,
                prompt_tokens_per_second: rate * 1e3,
                output_tokens_per_second: rate * 1e2,
                sends_per_second: rate / 2.0,
                urgent_per_second: rate / 3.0,
                low_per_second: rate / 3.0,
            }),
            limit: Some(LimitObservation { started_at_ms: 1, per_second: Some(rate), age_ms: 5 }),
            leaving: None,
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        self.endpoints.update_evacuations(now);
        match event {
            Event::Configure { slots, has_engine, per_second } => {
                let engine = has_engine.then(|| engine(slots));
                let warm_up = WarmUp {
                    duration: Duration::from_secs(5),
                    per_second: Some(per_second).filter(|rate| *rate > 0.0),
                };
                let spec = |name: &str, engine| ServiceSpec {
                    name: name.into(),
                    max_connections: 9,
                    engine,
                    warm_up: Some(warm_up),
                };
                let specs = [spec(SERVICES[0], engine), spec(SERVICES[1], None)];
                self.endpoints.set_services(specs.map(Arc::new));
                let kept = (0..SERVERS.len()).filter(|server| server % 2 == slots % 2);
                let endpoints = kept.map(|server| Process::endpoint(server, has_engine, 1));
                self.endpoints.set_endpoints(endpoints.collect());
            }
            Event::Add { server, group, started_at_ms } => {
                self.endpoints.set_endpoint(Process::endpoint(server, group, started_at_ms));
            }
            Event::Remove { server } => {
                self.endpoints.remove_endpoint(SERVERS[server], None);
            }
            Event::Submit { service, model, tokens, target_ms, excluded } => {
                self.submit(service, model, tokens, target_ms, excluded);
            }
            Event::Dispatch => {
                while let Some((ticket, tokens, decision)) = self.queue.poll(&self.endpoints, now) {
                    self.tickets.retain(|other| *other != ticket);
                    self.sent(decision, tokens);
                }
            }
            Event::Cancel => {
                self.tickets.pop().into_iter().for_each(|ticket| self.queue.cancel(ticket));
            }
            Event::Started { took_ms } => {
                let Some((choice, tokens)) = self.running.last().cloned() else { return };
                self.endpoints.first_event_seen(&choice, Duration::from_millis(took_ms), now);
                self.endpoints.prefill_done(&choice.endpoint, tokens);
            }
            Event::Data => {
                let Some((choice, _)) = self.running.first() else { return };
                self.endpoints.data_received(&choice.endpoint, now);
            }
            Event::End { outcome } => {
                let Some((choice, _)) = self.running.pop() else { return };
                let endpoint = &choice.endpoint;
                match outcome % 4 {
                    0 => self.endpoints.request_succeeded(endpoint, Duration::ZERO, now),
                    1 => self.endpoints.request_failed(endpoint, now),
                    2 => self.endpoints.reported_full(endpoint, now),
                    _ => self.endpoints.reported_stalled(endpoint, now),
                }
                self.endpoints.request_ended(endpoint);
            }
            Event::Loads { requests, tokens, processes, rate, quiet_ms } => {
                let load = self.loads(requests, tokens, rate, quiet_ms);
                let loads: Vec<_> = SERVERS.iter().map(|id| ((*id).into(), load)).collect();
                self.endpoints.set_remote_loads(&loads, processes, now);
                self.endpoints.fleet_demands(&SERVICES[0].into(), now);
                self.endpoints.local_loads(now);
                self.endpoints.stalled_servers(now);
            }
            Event::Limit { server, per_second } => {
                let endpoint = Process::endpoint(server, true, 1);
                self.endpoints.limit_observed(&endpoint, per_second, now);
            }
            Event::Pause { server, ms } => {
                let endpoint = Process::endpoint(server, true, 1);
                self.endpoints.pause_requested(&endpoint, Duration::from_millis(ms), now);
            }
            Event::WarmUp { server, ms } => {
                let (service, id) = (SERVICES[server % 2].into(), SERVERS[server].into());
                let left = Duration::from_millis(ms);
                self.endpoints.warm_ups.report(&service, &id, 1, left, now);
                self.endpoints.warm_ups.set_members(&id, vec![id.clone()]);
                self.endpoints.warm_ups.take_changes(now);
            }
            Event::Evacuate { is_requested: true, revision } => {
                self.endpoints.evacuations.request("a", revision, None, now);
            }
            Event::Evacuate { is_requested: false, revision } => {
                self.endpoints.evacuations.cancel("a", revision, now);
            }
            Event::Path { server, is_up: true } => self.endpoints.connected(SERVERS[server], now),
            Event::Path { server, is_up: false } => {
                self.endpoints.paths.connect_failed(SERVERS[server], 1, now);
            }
            Event::Check { reached } => {
                let silent_for = self.endpoints.silent_for(now);
                self.endpoints.paths.due_check(silent_for, now);
                self.endpoints.paths.check_ended(reached, 2, now);
                self.endpoints.paths_returned();
            }
            Event::Wait { ms } => self.now += Duration::from_millis(ms),
        }
    }
}

proptest! {
    // Guards against processes that end, or drop a request, because of an order of events.
    #[test]
    fn no_order_of_events_breaks_the_choice_of_endpoints(
        events in proptest::collection::vec(event(), 1..120)
    ) {
        let mut process = Process::new();
        for event in events {
            process.handle(event);
        }
    }
}
