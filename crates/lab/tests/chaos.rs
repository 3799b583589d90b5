//! Load while engines and a daemon are killed at random: no answer is cut off without an error,
//! truncated, duplicated or mixed with another one. `SAMPHIRE_CHAOS_SECONDS` sets the duration.

mod procs;

use std::time::Duration;

use http::Method;
use lab::load;
use lab::load::Destination;
use lab::load::LoadOptions;
use procs::Deployment;
use procs::Proc;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

/// Default duration of the load, as in CI.
const DEFAULT_SECONDS: u64 = 12;
/// Time between two kills.
const KILL_PERIOD: Duration = Duration::from_secs(4);
/// Number of VMs: three groups of two, without spares.
const VMS: usize = 6;

fn seconds() -> u64 {
    std::env::var("SAMPHIRE_CHAOS_SECONDS")
        .ok()
        .and_then(|seconds| seconds.parse().ok())
        .unwrap_or(DEFAULT_SECONDS)
}

/// Kills a random engine once per `KILL_PERIOD` and restarts it at the same address; kills one
/// daemon.
async fn kill_at_random(deployment: &mut Deployment, duration: Duration) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let rounds = duration.as_millis() / KILL_PERIOD.as_millis();
    for round in 0..rounds {
        tokio::time::sleep(KILL_PERIOD / 2).await;
        let victim = rng.random_range(0..VMS);
        let address = deployment.vms[victim].address.to_string();
        let name = format!("vm-{victim}");
        deployment.engines[victim].kill();
        if round == 1 {
            deployment.daemons[1].kill();
        }
        tokio::time::sleep(KILL_PERIOD / 2).await;
        let args = ["engine", "--vm", &name, "--listen", &address, "--token-ms", "5"];
        deployment.engines[victim] = Proc::stand_in(&args, 1);
    }
}

/// Logs to standard output, which the test runner shows when the test fails.
fn log_to_stdout() {
    let format = fern::Dispatch::new().format(|out, message, record| {
        out.finish(format_args!("{} {}: {message}", record.level(), record.target()));
    });
    let level =
        format.level(log::LevelFilter::Warn).level_for("lab::caller", log::LevelFilter::Debug);
    // Another test may have set up logging already.
    let _ = level.chain(std::io::stdout()).apply();
}

/// Prints the events of requests that a daemon accepted and that have no final event.
async fn print_unfinished(deployment: &mut Deployment) {
    for daemon in &mut deployment.daemons {
        if !daemon.is_running() {
            continue;
        }
        let operator = daemon.at("operator");
        let (_, timeline) = procs::operate(operator, Method::GET, "/api/v1/timeline", None).await;
        let events = timeline["events"].as_array().cloned().unwrap_or_default();
        let ended = |request: &Value| {
            events.iter().any(|event| {
                let is_final = event["request"] == *request && event["stage"] == "final";
                is_final && event["detail"] != "abandoned"
            })
        };
        for event in events.iter().filter(|event| event["request"].is_u64()) {
            if !ended(&event["request"]) {
                println!("{event}");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_stay_complete_and_correct_while_engines_and_a_daemon_are_killed() {
    log_to_stdout();
    let duration = Duration::from_secs(seconds());
    let mut deployment = Deployment::start(VMS, 3, &["--token-ms", "5"]).await;
    let load = LoadOptions {
        destination: Destination::Daemons(deployment.callers()),
        rate: 30.0,
        duration,
        max_tokens: 60,
        streamed: 0.8,
        high_priority: 0.1,
        seed: 5,
        timeout: Duration::from_secs(60),
        resend: true,
    };
    let running_load = tokio::spawn(async move { load::drive(&load).await });
    kill_at_random(&mut deployment, duration).await;
    let report = running_load.await.unwrap().report();
    println!("{}", serde_json::to_string_pretty(&report).unwrap());
    println!("the daemon that was killed: {}", deployment.daemons[1].at("caller"));
    if report.lost > 0 {
        print_unfinished(&mut deployment).await;
    }
    assert_eq!((report.lost, report.foreign, report.truncated), (0, 0, 0), "{:?}", report.examples);
    assert!(report.right * 10 >= report.requests * 9, "{report:?}");
}
