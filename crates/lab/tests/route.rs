//! End to end with separate processes: poison requests and rate limits.

mod procs;

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderValue;
use http::Method;
use kv::prelude::Store;
use lab::caller;
use lab::caller::Answer;
use lab::caller::TextCall;
use lab::caller::Verdict;
use lab::sample;
use procs::Deployment;
use serde_json::Value;
use spec::prelude::Limits;
use web::body;
use web::client::Call;
use web::prelude::Client;

const TIMEOUT: Duration = Duration::from_secs(30);
const POISON_PROMPT: &str = "a prompt that crashes its engine";

fn client() -> Client {
    Client::pooled(TIMEOUT)
}

async fn operate(at: SocketAddr, method: Method, path: &str, token: &str) -> (u16, Value) {
    let mut call = Call::new(method, path);
    let value = HeaderValue::from_str(&format!("Bearer {token}")).unwrap();
    call.headers.insert("authorization", value);
    let response = client().send(at, call, TIMEOUT).await.unwrap();
    let status = response.status().as_u16();
    let bytes = body::read(response.into_body(), 1 << 20).await.unwrap();
    (status, serde_json::from_slice(&bytes).unwrap_or(Value::Null))
}

async fn crash_engines_on_poison(deployment: &Deployment) {
    for vm in &deployment.vms {
        let body = format!("{{\"crash_on\": \"{POISON_PROMPT}\"}}").into();
        let call = Call { body, ..Call::new(Method::POST, "/control/faults") };
        let response = client().send(vm.address, call, TIMEOUT).await.unwrap();
        assert!(response.status().is_success());
    }
}

async fn send(at: SocketAddr, prompt: &str) -> (TextCall, Answer) {
    let call = TextCall::small(prompt, 1);
    let answer = caller::call(&client(), at, &call).await;
    (call, answer)
}

fn count_crashed(deployment: &mut Deployment) -> usize {
    let exited = deployment.engines.iter_mut().map(|engine| !engine.is_running());
    exited.filter(|exited| *exited).count()
}

#[tokio::test]
async fn poison_request_sent_twenty_times_crashes_two_groups_and_fails_no_other_request() {
    let mut deployment = Deployment::start(10, 1, &["--token-ms", "5"]).await;
    crash_engines_on_poison(&deployment).await;
    let at = deployment.callers()[0];
    for _ in 0..20 {
        let (_, answer) = send(at, POISON_PROMPT).await;
        assert!(!answer.ended, "{answer:?}");
        let (call, other_answer) = send(at, "when is slack water?").await;
        assert_eq!(other_answer.verdict(&call), Verdict::Right, "{other_answer:?}");
    }
    assert_eq!(count_crashed(&mut deployment), 2, "one engine of each of two groups");
    let (_, last) = send(at, POISON_PROMPT).await;
    assert_eq!((last.status, last.retry_after), (422, None), "{last:?}");

    let operator = deployment.daemons[0].at("operator");
    let path = "/api/v1/quarantine";
    let (status, held) = operate(operator, Method::GET, path, sample::VIEWER_TOKEN).await;
    assert_eq!((status, held[0]["verdict"].as_str()), (200, Some("convicted")), "{held}");
    let entry = format!("{path}/{}", held[0]["fingerprint"].as_str().unwrap());
    let (status, _) = operate(operator, Method::DELETE, &entry, sample::VIEWER_TOKEN).await;
    assert_eq!(status, 403, "a viewer cannot lift a quarantine");
    let (status, _) = operate(operator, Method::DELETE, &entry, sample::OPERATOR_TOKEN).await;
    assert_eq!(status, 200);
    let (_, held) = operate(operator, Method::GET, path, sample::VIEWER_TOKEN).await;
    assert_eq!(held, Value::Array(vec![]));
}

#[tokio::test]
async fn poison_request_sent_through_three_daemons_is_quarantined_on_all_after_two_crashes() {
    let mut deployment = Deployment::start(10, 3, &["--token-ms", "5"]).await;
    wait_for_members(&deployment, 2).await;
    crash_engines_on_poison(&deployment).await;
    let callers = deployment.callers();
    for i in 0..20 {
        let (_, answer) = send(callers[i % 3], POISON_PROMPT).await;
        assert!(!answer.ended, "{answer:?}");
        let (call, other_answer) = send(callers[(i + 1) % 3], "when is slack water?").await;
        assert_eq!(other_answer.verdict(&call), Verdict::Right, "{other_answer:?}");
    }
    assert_eq!(count_crashed(&mut deployment), 2, "one engine of each of two groups");
    for daemon in &deployment.daemons {
        procs::wait_until("every daemon has quarantined the request", || async {
            let path = "/api/v1/quarantine";
            let at = daemon.at("operator");
            let (_, held) = operate(at, Method::GET, path, sample::VIEWER_TOKEN).await;
            held[0]["verdict"] == "convicted"
        })
        .await;
    }
}

/// Waits until each daemon has at least this many live peers.
async fn wait_for_members(deployment: &Deployment, others: usize) {
    for daemon in &deployment.daemons {
        procs::wait_until("the daemons know each other", || async {
            let at = daemon.at("operator");
            let path = "/api/v1/status";
            let (_, status) = operate(at, Method::GET, path, sample::VIEWER_TOKEN).await;
            let peers = status["peers"].as_array().cloned().unwrap_or_default();
            peers.iter().filter(|peer| peer["state"] == "alive").count() >= others
        })
        .await;
    }
}

#[tokio::test]
async fn workspace_above_its_rate_limit_gets_429_with_retry_after() {
    let deployment = Deployment::start(2, 1, &["--token-ms", "5"]).await;
    let at = deployment.callers()[0];
    let mut catalog = sample::catalog(&deployment.vms, vec![deployment.plain.at("plain")]);
    let strict_limits = Limits {
        requests_per_second: 0.1,
        burst: 2,
        concurrent: 10,
        tokens_per_second: 1e6,
        share: 1.0,
    };
    catalog.limits.put("few", strict_limits);
    let mut club = catalog.workspaces.get("club").unwrap().clone();
    club.limits = Some("few".into());
    catalog.workspaces.put("club", club);
    catalog.revision += 1;
    let store = deployment.store();
    let key = spec::prelude::CATALOG_KEY;
    let expected_revision =
        store.get(key).await.unwrap().expect("the catalog was seeded").mod_revision;
    let bytes = serde_json::to_vec(&catalog).unwrap();
    store.compare_and_swap(key, expected_revision, bytes.into()).await.unwrap();
    procs::wait_until("the limits are active", || async {
        let (_, answer) = send(at, "one of many").await;
        answer.status == 429
    })
    .await;
    let (_, answer) = send(at, "one more").await;
    assert_eq!(answer.status, 429, "{answer:?}");
    assert!(answer.not_run, "{answer:?}");
    let wait = answer.retry_after.expect("the response has a Retry-After header");
    assert!(wait <= Duration::from_secs(10), "{wait:?}");
    let mut other = TextCall::small("another workspace", 1);
    other.key = sample::HARBOUR_KEY.into();
    let answer = caller::call(&client(), at, &other).await;
    assert_eq!(answer.verdict(&other), Verdict::Right, "{answer:?}");
}
