//! Which reports of backend servers a process writes to its decision log.

use std::cell::RefCell;

use base::prelude::*;
use form::prelude::*;
use front::local_state::SharedState;
use log::Log;
use log::Metadata;
use log::Record;
use pass::budget::BudgetSettings;
use pass::prelude::*;

thread_local! {
    /// The `server` records of this test; each test runs in a thread of its own.
    static WRITTEN: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

struct Recorder;

impl Log for Recorder {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let text = record.args().to_string();
        if text.contains(r#""event":"server""#) {
            WRITTEN.with_borrow_mut(|written| written.push(text));
        }
    }

    fn flush(&self) {}
}

/// Returns the state of a process with one plain service, `desk`.
fn shared_state() -> SharedState {
    // The other test may have set it already.
    let _ = log::set_logger(&Recorder);
    log::set_max_level(log::LevelFilter::Info);
    let window = Duration::from_secs(10);
    let shared = SharedState::new(BudgetSettings { ratio: 0.2, slack: 10.0, window });
    let spec = ServiceSpec { name: "desk".into(), max_connections: 9, engine: None, warm_up: None };
    let config = RoutingConfig { version: 1, services: vec![spec], ..RoutingConfig::default() };
    shared.local.lock().set_config(config);
    shared
}

fn server(id: &str, service: &str) -> Server {
    Server {
        id: id.into(),
        started_at_ms: 1,
        report_number: 0,
        service: service.into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".into(),
        fabric: None,
        slots: 8,
        state: ServerState::Ready,
        warmup_remaining: Duration::from_secs(9),
        model: None,
        staged_models: Vec::new(),
        membership: None,
    }
}

/// Applies a report; returns the number of records that it leads to.
fn report(shared: &SharedState, server: &Server) -> usize {
    shared.local.lock().set_server(server.clone(), Mono::ZERO);
    WRITTEN.take().len()
}

fn report_missing(shared: &SharedState, id: &str) -> usize {
    shared.local.lock().remove_server(id, Duration::ZERO);
    WRITTEN.take().len()
}

// Guards against log lines that are several times as numerous as requests: each process wrote one for
// each report of each server.
#[test]
fn a_process_writes_reports_that_change_an_endpoint() {
    let shared = shared_state();
    let mut plain = server("d0", "desk");
    assert_eq!(report(&shared, &plain), 1, "a new endpoint");
    plain.warmup_remaining = Duration::from_secs(8);
    plain.report_number = 1;
    assert_eq!(report(&shared, &plain), 0, "a shorter warm-up");
    plain.state = ServerState::Draining;
    assert_eq!(report(&shared, &plain), 1, "an endpoint that ends");
    assert_eq!(report_missing(&shared, "d0"), 0, "it was none any more");
    plain.state = ServerState::Ready;
    assert_eq!(report(&shared, &plain), 1, "an endpoint again");
    assert_eq!(report_missing(&shared, "d0"), 1, "an endpoint without a report");
    let mut member = server("m0", "llm");
    assert_eq!(report(&shared, &member), 0, "a server without an endpoint");
    member.model = Some("large".into());
    assert_eq!(report(&shared, &member), 0, "its model");
    assert_eq!(report_missing(&shared, "m0"), 0, "its end");
}

// Guards against a log of the fleet that doesn't show how a group lost a member, or a server its model.
#[test]
fn a_hub_writes_each_report_that_says_something_new() {
    let shared = shared_state();
    shared.local.lock().is_hub = true;
    let mut member = server("m0", "llm");
    assert_eq!(report(&shared, &member), 1, "a new server");
    member.warmup_remaining = Duration::from_secs(8);
    member.report_number = 1;
    assert_eq!(report(&shared, &member), 0, "nothing that the record shows");
    member.staged_models.push("large".into());
    assert_eq!(report(&shared, &member), 1, "a staged model");
    assert_eq!(report_missing(&shared, "m0"), 1, "a missing report");
    assert_eq!(report(&shared, &member), 1, "it is back");
    member.started_at_ms = 2;
    assert_eq!(report(&shared, &member), 1, "another instance");
}

// Guards against a report of another writer that moves a server to a service that isn't configured, or an
// instance from one service to another.
#[test]
fn a_foreign_service_replaces_no_report() {
    let shared = shared_state();
    let specs = ["desk", "shop"].map(|name| ServiceSpec {
        name: name.into(),
        max_connections: 9,
        engine: None,
        warm_up: None,
    });
    let config = RoutingConfig { version: 2, services: specs.into(), ..RoutingConfig::default() };
    shared.local.lock().set_config(config);
    let service = || shared.local.lock().reports().servers()["d0"].service.clone();
    let own = server("d0", "desk");
    report(&shared, &own);
    for foreign in ["none", "shop"] {
        assert_eq!(report(&shared, &server("d0", foreign)), 0);
        assert_eq!(&*service(), "desk", "{foreign}");
    }
    let without_start = Server { started_at_ms: 0, ..server("d0", "desk") };
    assert_eq!(report(&shared, &without_start), 0);
    assert_eq!(shared.local.lock().reports().servers()["d0"].started_at_ms, 1);
    let restarted = Server { started_at_ms: 2, ..server("d0", "none") };
    report(&shared, &restarted);
    assert_eq!(&*service(), "desk", "a service that isn't configured");
    let restarted = Server { started_at_ms: 2, ..server("d0", "shop") };
    report(&shared, &restarted);
    assert_eq!(&*service(), "shop", "a new instance may be of another service");
}
