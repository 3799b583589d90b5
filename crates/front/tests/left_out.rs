//! Findings on unusable entries of the store in the log.

use std::sync::Mutex;

use base::prelude::*;
use form::prelude::*;
use front::local_state::SharedState;
use log::Log;
use log::Metadata;
use log::Record;
use pass::budget::BudgetSettings;
use pass::prelude::*;

/// The `left_out` records; there is one test.
static WRITTEN: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Recorder;

impl Log for Recorder {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let text = record.args().to_string();
        if text.contains(r#""event":"left_out""#) {
            WRITTEN.lock().expect("no panic").push(text);
        }
    }

    fn flush(&self) {}
}

fn server(service: &str) -> Server {
    Server {
        id: "d0".into(),
        started_at_ms: 1,
        report_number: 0,
        service: service.into(),
        address: ([127, 0, 0, 1], 1).into(),
        failure_domain: "a".into(),
        fabric: None,
        slots: 8,
        state: ServerState::Ready,
        warmup_remaining: Duration::ZERO,
        model: None,
        staged_models: Vec::new(),
        membership: None,
    }
}

// Guards against a log that is filled by a writer that writes the same unusable entry again and again.
#[test]
fn an_unusable_entry_is_logged_once() {
    log::set_logger(&Recorder).expect("the only logger");
    log::set_max_level(log::LevelFilter::Info);
    let window = Duration::from_secs(10);
    let shared = SharedState::new(BudgetSettings { ratio: 0.2, slack: 10.0, window });
    let desk = ServiceSpec { name: "desk".into(), max_connections: 9, engine: None, warm_up: None };
    let config = RoutingConfig { version: 1, services: vec![desk], ..RoutingConfig::default() };
    let mut local = shared.local.lock();
    local.set_config(config);
    for second in 0..10 {
        for service in ["desk", "none", "other"] {
            local.set_server(server(service), Duration::from_secs(second));
        }
    }
    let written = WRITTEN.lock().expect("no panic");
    assert_eq!(written.len(), 2, "one for each entry: {written:?}");
}
