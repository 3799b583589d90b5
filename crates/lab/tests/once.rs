//! End to end: non-idempotent requests through daemons that are killed, stopped by a signal and
//! partitioned from the key-value service. The stand-in service counts the executions.

mod procs;

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use lab::kv::KvCounts;
use lab::plain::PlainRun;
use lab::sample;
use once::prelude::*;
use procs::Deployment;
use procs::wait_until;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use web::body;
use web::client::Call;
use web::prelude::Client;

const TIMEOUT: Duration = Duration::from_secs(30);

/// The response to a caller.
#[derive(Debug)]
struct CallerResponse {
    status: StatusCode,
    headers: HeaderMap,
    code: String,
    body: Vec<u8>,
}

impl CallerResponse {
    fn is_not_run(&self) -> bool {
        self.headers.contains_key("samphire-not-run")
    }

    fn is_replayed(&self) -> bool {
        self.headers.contains_key("idempotency-replayed")
    }
}

/// Returns the issue time of all keys of this test run: a resend must repeat the issue time.
fn issued() -> String {
    static ISSUED: std::sync::OnceLock<u64> = std::sync::OnceLock::new();
    ISSUED.get_or_init(once::committer::wall_ms).to_string()
}

async fn call(at: SocketAddr, key: Option<&str>, path: &str, body: &str) -> CallerResponse {
    let mut headers = HeaderMap::new();
    let mut header = |name: &'static str, value: &str| {
        headers.insert(name, HeaderValue::from_str(value).unwrap());
    };
    header("authorization", &format!("Bearer {}", sample::CLUB_KEY));
    if let Some(key) = key {
        header("idempotency-key", key);
        header("idempotency-issued", &issued());
    }
    let call = Call { headers, body: body.to_owned().into(), ..Call::new(Method::POST, path) };
    let (status, headers, body) = match Client::unpooled(TIMEOUT).send(at, call, TIMEOUT).await {
        Ok(response) => {
            let (parts, answer) = response.into_parts();
            let body = body::read(answer, 1 << 20).await.unwrap_or_default();
            (parts.status, parts.headers, body.to_vec())
        }
        Err(_) => (StatusCode::BAD_GATEWAY, HeaderMap::new(), Vec::new()),
    };
    let read: Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = read["error"]["code"].as_str().unwrap_or_default().to_owned();
    CallerResponse { status, headers, code, body }
}

/// Sends a request to the plain service with its path as the idempotency key.
async fn send(at: SocketAddr, path: &str, body: &str) -> CallerResponse {
    call(at, Some(path), &format!("/apps/{}{path}", sample::SERVICE), body).await
}

async fn read<T: serde::de::DeserializeOwned>(at: SocketAddr, path: &str) -> T {
    let client = Client::unpooled(TIMEOUT);
    client.json::<(), T>(at, Method::GET, path, None, TIMEOUT).await.unwrap()
}

struct TestBed {
    deployment: Deployment,
    at: Vec<SocketAddr>,
}

impl TestBed {
    /// Starts two daemons and waits until both accept claims.
    async fn start() -> Self {
        let deployment = Deployment::start(2, 2, &[]).await;
        let at = deployment.callers();
        for (index, at) in at.iter().enumerate() {
            let path = format!("/ready-{index}");
            wait_until("a daemon accepts claims", || async {
                send(*at, &path, "x").await.status == StatusCode::OK
            })
            .await;
        }
        TestBed { deployment, at }
    }

    /// Waits until the first daemon forwards claims to the owners of their shards.
    async fn wait_forwarding(&self) {
        let number = std::sync::atomic::AtomicUsize::new(0);
        let at = self.deployment.daemons[0].at("operator");
        wait_until("claims are written by shard owners", || async {
            let number = number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            send(self.at[0], &format!("/warm/{number}"), "x").await;
            let call = Call::new(Method::GET, "/metrics");
            let response = Client::unpooled(TIMEOUT).send(at, call, TIMEOUT).await.unwrap();
            let bytes = body::read(response.into_body(), 1 << 20).await.unwrap();
            let text = String::from_utf8_lossy(&bytes).into_owned();
            text.contains("samphire_claims_total{outcome=\"claimed\",writer=\"owner\"}")
        })
        .await;
    }

    async fn faults(&self, order: Value) {
        let at = self.deployment.kv.at("kv-control");
        let call =
            Call { body: order.to_string().into(), ..Call::new(Method::POST, "/control/faults") };
        let response = Client::unpooled(TIMEOUT).send(at, call, TIMEOUT).await.unwrap();
        assert_eq!(response.status(), StatusCode::NO_CONTENT);
    }

    async fn counts(&self) -> KvCounts {
        read(self.deployment.kv.at("kv-control"), "/control/counts").await
    }

    /// Returns the number of executions of a path.
    async fn runs(&self, path: &str) -> usize {
        let runs: Vec<PlainRun> = read(self.deployment.plain.at("plain"), "/control/runs").await;
        runs.iter().filter(|run| &*run.path == path).count()
    }

    /// Sends a request through the first daemon and loses the response to its claim, which takes
    /// effect. Returns once that has happened: the daemon waits and has not dispatched the request.
    async fn claim_with_a_lost_response(&self, path: &'static str) -> JoinHandle<CallerResponse> {
        let lost = self.counts().await.lost;
        self.faults(json!({"lose_answers": 1})).await;
        let at = self.at[0];
        let sent = tokio::spawn(async move { send(at, path, "entry").await });
        wait_until("the response to a claim is lost", || async { self.counts().await.lost > lost })
            .await;
        sent
    }
}

#[tokio::test]
async fn resend_executes_once_and_returns_the_recorded_outcome() {
    let mut test_bed = TestBed::start().await;
    test_bed.wait_forwarding().await;
    let first = send(test_bed.at[0], "/entries", "crew 7").await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    let same = send(test_bed.at[0], "/entries", "crew 7").await;
    assert_eq!((same.status, &same.body), (StatusCode::OK, &first.body), "{same:?}");
    assert!(same.is_replayed());
    // The completion is published with a short delay; until then the outcome is unknown elsewhere.
    wait_until("the other daemon returns the recorded response", || async {
        let response = send(test_bed.at[1], "/entries", "crew 7").await;
        assert!(!response.is_not_run(), "{response:?}");
        if response.code == "outcome_unknown" {
            return false;
        }
        assert_eq!(
            (response.status, &response.body),
            (StatusCode::OK, &first.body),
            "{response:?}"
        );
        assert!(response.is_replayed());
        true
    })
    .await;
    // The cached response is lost with its process; the recorded outcome stays.
    test_bed.deployment.daemons[0].kill();
    let response = send(test_bed.at[1], "/entries", "crew 7").await;
    assert_eq!((&*response.code, response.is_not_run()), ("already_done", false), "{response:?}");
    let other = send(test_bed.at[1], "/entries", "crew 8").await;
    assert_eq!((&*other.code, other.is_not_run()), ("key_reused", true));
    let target = format!("/apps/{}/entries", sample::SERVICE);
    let missing = call(test_bed.at[1], None, &target, "crew 9").await;
    assert_eq!((missing.status, missing.is_not_run()), (StatusCode::BAD_REQUEST, true));
    let malformed = call(test_bed.at[1], Some("a b"), &target, "crew 9").await;
    assert_eq!((malformed.status, malformed.is_not_run()), (StatusCode::BAD_REQUEST, true));
    assert_eq!(test_bed.runs("/entries").await, 1);
}

#[tokio::test]
async fn a_daemon_killed_between_claim_and_dispatch_leaves_the_outcome_unknown() {
    let mut test_bed = TestBed::start().await;
    let sent = test_bed.claim_with_a_lost_response("/killed").await;
    test_bed.deployment.daemons[0].kill();
    assert_eq!(sent.await.unwrap().status, StatusCode::BAD_GATEWAY);
    let second = send(test_bed.at[1], "/killed", "entry").await;
    assert_eq!((&*second.code, second.is_not_run()), ("outcome_unknown", false), "{second:?}");
    assert_eq!(test_bed.runs("/killed").await, 0);
}

#[tokio::test]
async fn a_daemon_frozen_between_claim_and_dispatch_runs_the_request_at_most_once() {
    let test_bed = TestBed::start().await;
    let sent = test_bed.claim_with_a_lost_response("/frozen").await;
    test_bed.deployment.daemons[0].signal("STOP");
    let second = send(test_bed.at[1], "/frozen", "entry").await;
    assert_eq!((&*second.code, second.is_not_run()), ("outcome_unknown", false), "{second:?}");
    assert_eq!(test_bed.runs("/frozen").await, 0);
    test_bed.deployment.daemons[0].signal("CONT");
    let resumed = sent.await.unwrap();
    let ran = test_bed.runs("/frozen").await;
    assert_eq!(ran, usize::from(resumed.status == StatusCode::OK), "{resumed:?}");
    assert_eq!(resumed.is_not_run(), ran == 0, "{resumed:?}");
    // Whether or not the resumed daemon dispatched, the key executes at most once.
    let again = send(test_bed.at[1], "/frozen", "entry").await;
    let runs = test_bed.runs("/frozen").await;
    assert!(runs <= 1, "ran {runs} times; {again:?}");
}

#[tokio::test]
async fn response_lost_by_the_service_is_reported_as_outcome_unknown() {
    let test_bed = TestBed::start().await;
    let at = test_bed.deployment.plain.at("plain");
    let order = json!({"lose_answers": 1}).to_string().into();
    let call = Call { body: order, ..Call::new(Method::POST, "/control/faults") };
    Client::unpooled(TIMEOUT).send(at, call, TIMEOUT).await.unwrap();
    let first = send(test_bed.at[0], "/lost", "entry").await;
    assert!(!first.is_not_run() && !first.status.is_success(), "{first:?}");
    for at in [test_bed.at[0], test_bed.at[1]] {
        let second = send(at, "/lost", "entry").await;
        assert_eq!((&*second.code, second.is_not_run()), ("outcome_unknown", false));
    }
    assert_eq!(test_bed.runs("/lost").await, 1);
}

/// Sends a request during an outage and again after it.
async fn send_in_an_outage(outage: &str) {
    let test_bed = TestBed::start().await;
    test_bed.faults(json!({"outage": outage})).await;
    let refused = send(test_bed.at[0], "/down", "entry").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "{refused:?}");
    assert!(refused.is_not_run() && refused.headers.contains_key("retry-after"), "{refused:?}");
    assert_eq!(test_bed.runs("/down").await, 0);
    test_bed.faults(json!({"outage": "none"})).await;
    wait_until("claims are accepted again", || async {
        let response = send(test_bed.at[1], "/down", "entry").await;
        assert!(response.status == StatusCode::OK || response.is_not_run(), "{response:?}");
        response.status == StatusCode::OK
    })
    .await;
    assert_eq!(test_bed.runs("/down").await, 1);
}

#[tokio::test]
async fn kv_service_outage_is_reported_as_not_run_and_recovers() {
    send_in_an_outage("no_leader").await;
}

#[tokio::test]
async fn unresponsive_kv_service_is_reported_as_not_run_and_recovers() {
    send_in_an_outage("silent").await;
}

#[tokio::test]
async fn text_with_an_idempotency_key_is_generated_once() {
    let test_bed = TestBed::start().await;
    let body = json!({
        "model": sample::ALIAS,
        "messages": [{"role": "user", "content": "enter crew 7"}],
        "max_tokens": 8,
    })
    .to_string();
    let generate = async |at| call(at, Some("text"), "/v1/chat/completions", &body).await;
    let first = generate(test_bed.at[0]).await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    // Without a seed, a second execution would generate another text.
    let same = generate(test_bed.at[0]).await;
    let content = |response: &CallerResponse| {
        let read: Value = serde_json::from_slice(&response.body).unwrap();
        read["choices"][0]["message"]["content"].clone()
    };
    assert_eq!(content(&same), content(&first));
    assert!(same.is_replayed());
    wait_until("the other daemon returns the recorded text", || async {
        let elsewhere = generate(test_bed.at[1]).await;
        if ["already_done", "outcome_unknown"].contains(&&*elsewhere.code) {
            return false;
        }
        assert_eq!(content(&elsewhere), content(&first));
        elsewhere.is_replayed()
    })
    .await;
}

/// Half of the shards belong to the stopped daemon; the other daemon writes their claims.
#[tokio::test]
async fn claims_bypass_an_unresponsive_shard_owner() {
    const REQUESTS: usize = 12;
    let test_bed = TestBed::start().await;
    test_bed.wait_forwarding().await;
    test_bed.deployment.daemons[1].signal("STOP");
    let paths: Vec<String> = (0..REQUESTS).map(|index| format!("/silent/{index}")).collect();
    let at = test_bed.at[0];
    let sent: Vec<_> = paths
        .iter()
        .map(|path| {
            let path = path.clone();
            tokio::spawn(async move { send(at, &path, "entry").await })
        })
        .collect();
    for response in sent {
        let response = response.await.unwrap();
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
    test_bed.deployment.daemons[1].signal("CONT");
    for path in &paths {
        let response = send(test_bed.at[1], path, "entry").await;
        assert!(!response.is_not_run(), "{response:?}");
        assert_eq!(test_bed.runs(path).await, 1, "{path}");
    }
}

/// Returns a path whose shard belongs to `owner`.
fn path_owned_by(owner: &str) -> String {
    let issued_ms = issued().parse().unwrap();
    let is_owned = |path: &String| {
        let key = RequestKey { workspace: "club".into(), key: path.as_str().into(), issued_ms };
        let shard = Layout::default().segment_id(key.hash(), issued_ms).shard;
        once::owner::owner(shard, "node-0", ["node-1"]) == owner
    };
    let mut paths = (0..).map(|index| format!("/stopped/{index}"));
    paths.find(is_owned).expect("the range of paths is infinite")
}

/// Shuts the first daemon down right after a request whose shard belongs to `owner`; the second
/// daemon is stopped by a signal in the meantime if `is_stopped` is set.
async fn shut_down_after_a_request_of(owner: &str, is_stopped: bool) {
    let mut test_bed = TestBed::start().await;
    test_bed.wait_forwarding().await;
    let path = path_owned_by(owner);
    if is_stopped {
        test_bed.deployment.daemons[1].signal("STOP");
    }
    let response = send(test_bed.at[0], &path, "entry").await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
    test_bed.deployment.daemons[0].signal("TERM");
    assert_eq!(test_bed.deployment.daemons[0].wait().await, Some(0));
    test_bed.deployment.daemons[1].signal("CONT");
    let response = send(test_bed.at[1], &path, "entry").await;
    assert_eq!(response.code, "already_done", "{response:?}");
}

#[tokio::test]
async fn graceful_shutdown_records_completions_of_its_own_shards() {
    shut_down_after_a_request_of("node-0", false).await;
}

#[tokio::test]
async fn graceful_shutdown_sends_completions_to_the_owners_of_other_shards() {
    shut_down_after_a_request_of("node-1", false).await;
}

#[tokio::test]
async fn graceful_shutdown_records_completions_that_an_unresponsive_owner_did_not_take() {
    shut_down_after_a_request_of("node-1", true).await;
}

/// Sends one key several times and returns the responses.
async fn send_and_resend(at: Vec<SocketAddr>, path: String) -> Vec<CallerResponse> {
    const SENDS: usize = 4;
    let mut responses = Vec::new();
    for index in 0..SENDS {
        responses.push(send(at[index % at.len()], &path, "entry").await);
    }
    responses
}

#[tokio::test]
async fn no_key_executes_twice_while_the_kv_service_loses_responses() {
    const KEYS: usize = 40;
    let test_bed = TestBed::start().await;
    test_bed.wait_forwarding().await;
    test_bed.faults(json!({"lose_share": 0.3})).await;
    let keys = (0..KEYS).map(|index| {
        let path = format!("/many/{index}");
        let mut at = test_bed.at.clone();
        at.rotate_left(index % 2);
        (path.clone(), tokio::spawn(send_and_resend(at, path)))
    });
    let keys: Vec<(String, JoinHandle<Vec<CallerResponse>>)> = keys.collect();
    let mut executed = 0;
    for (path, sends) in keys {
        let responses = sends.await.unwrap();
        let runs = test_bed.runs(&path).await;
        let fresh = responses
            .iter()
            .filter(|response| response.status.is_success() && !response.is_replayed());
        assert_eq!(fresh.count(), runs, "{path}: {responses:?}");
        assert!(runs <= 1, "{path} ran {runs} times: {responses:?}");
        assert!(
            runs == 0 || responses.iter().any(|response| response.status.is_success()),
            "{responses:?}"
        );
        executed += runs;
    }
    assert!(test_bed.counts().await.lost > 0);
    assert!(executed > 0, "no key was executed");
}
