//! Non-idempotent requests through separate daemons that are killed, frozen and cut off from the
//! key-value service; the stand-in service counts what ran.

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

/// What a caller was told.
#[derive(Debug)]
struct Told {
    status: StatusCode,
    headers: HeaderMap,
    code: String,
    body: Vec<u8>,
}

impl Told {
    fn is_not_run(&self) -> bool {
        self.headers.contains_key("samphire-not-run")
    }

    fn is_replayed(&self) -> bool {
        self.headers.contains_key("idempotency-replayed")
    }
}

/// Returns the issue time of all keys of this test run, so that a resend has the same.
fn issued() -> String {
    static ISSUED: std::sync::OnceLock<u64> = std::sync::OnceLock::new();
    ISSUED.get_or_init(once::committer::wall_ms).to_string()
}

async fn call(at: SocketAddr, key: Option<&str>, path: &str, body: &str) -> Told {
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
    Told { status, headers, code, body }
}

/// Sends a call of the plain service, with its path as the key.
async fn send(at: SocketAddr, path: &str, body: &str) -> Told {
    call(at, Some(path), &format!("/apps/{}{path}", sample::SERVICE), body).await
}

async fn read<T: serde::de::DeserializeOwned>(at: SocketAddr, path: &str) -> T {
    let client = Client::unpooled(TIMEOUT);
    client.json::<(), T>(at, Method::GET, path, None, TIMEOUT).await.unwrap()
}

struct Bench {
    deployment: Deployment,
    at: Vec<SocketAddr>,
}

impl Bench {
    /// Starts two daemons and waits until both take claims.
    async fn start() -> Self {
        let deployment = Deployment::start(2, 2, &[]).await;
        let at = deployment.callers();
        for (index, at) in at.iter().enumerate() {
            let path = format!("/ready-{index}");
            wait_until("a daemon takes claims", || async {
                send(*at, &path, "x").await.status == StatusCode::OK
            })
            .await;
        }
        Bench { deployment, at }
    }

    /// Waits until the first daemon gives claims to the owners of their shards.
    async fn wait_forwarding(&self) {
        let number = std::sync::atomic::AtomicUsize::new(0);
        let at = self.deployment.daemons[0].at("operator");
        wait_until("claims are written by owners", || async {
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

    /// Returns how often a path was run.
    async fn runs(&self, path: &str) -> usize {
        let runs: Vec<PlainRun> = read(self.deployment.plain.at("plain"), "/control/runs").await;
        runs.iter().filter(|run| &*run.path == path).count()
    }

    /// Sends a request through the first daemon whose claim takes effect while its answer is lost,
    /// and returns once that has happened: the daemon now waits and has not dispatched.
    async fn claim_without_an_answer(&self, path: &'static str) -> JoinHandle<Told> {
        let lost = self.counts().await.lost;
        self.faults(json!({"lose_answers": 1})).await;
        let at = self.at[0];
        let sent = tokio::spawn(async move { send(at, path, "entry").await });
        wait_until("a claim's answer is lost", || async { self.counts().await.lost > lost }).await;
        sent
    }
}

#[tokio::test]
async fn a_resend_runs_once_and_gets_the_recorded_outcome() {
    let mut bench = Bench::start().await;
    bench.wait_forwarding().await;
    let first = send(bench.at[0], "/entries", "crew 7").await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    let same = send(bench.at[0], "/entries", "crew 7").await;
    assert_eq!((same.status, &same.body), (StatusCode::OK, &first.body), "{same:?}");
    assert!(same.is_replayed());
    // The end is reported with a short delay; until then the outcome is told as unknown.
    wait_until("the other daemon gives the recorded answer", || async {
        let told = send(bench.at[1], "/entries", "crew 7").await;
        assert!(!told.is_not_run(), "{told:?}");
        if told.code == "outcome_unknown" {
            return false;
        }
        assert_eq!((told.status, &told.body), (StatusCode::OK, &first.body), "{told:?}");
        assert!(told.is_replayed());
        true
    })
    .await;
    // The answer goes with the process that held it; the outcome stays.
    bench.deployment.daemons[0].kill();
    let told = send(bench.at[1], "/entries", "crew 7").await;
    assert_eq!((&*told.code, told.is_not_run()), ("already_done", false), "{told:?}");
    let other = send(bench.at[1], "/entries", "crew 8").await;
    assert_eq!((&*other.code, other.is_not_run()), ("key_reused", true));
    let target = format!("/apps/{}/entries", sample::SERVICE);
    let missing = call(bench.at[1], None, &target, "crew 9").await;
    assert_eq!((missing.status, missing.is_not_run()), (StatusCode::BAD_REQUEST, true));
    let malformed = call(bench.at[1], Some("a b"), &target, "crew 9").await;
    assert_eq!((malformed.status, malformed.is_not_run()), (StatusCode::BAD_REQUEST, true));
    assert_eq!(bench.runs("/entries").await, 1);
}

#[tokio::test]
async fn a_daemon_killed_between_claim_and_dispatch_leaves_the_outcome_unknown() {
    let mut bench = Bench::start().await;
    let sent = bench.claim_without_an_answer("/killed").await;
    bench.deployment.daemons[0].kill();
    assert_eq!(sent.await.unwrap().status, StatusCode::BAD_GATEWAY);
    let resent = send(bench.at[1], "/killed", "entry").await;
    assert_eq!((&*resent.code, resent.is_not_run()), ("outcome_unknown", false), "{resent:?}");
    assert_eq!(bench.runs("/killed").await, 0);
}

#[tokio::test]
async fn a_daemon_frozen_between_claim_and_dispatch_runs_the_request_at_most_once() {
    let bench = Bench::start().await;
    let sent = bench.claim_without_an_answer("/frozen").await;
    bench.deployment.daemons[0].signal("STOP");
    let resent = send(bench.at[1], "/frozen", "entry").await;
    assert_eq!((&*resent.code, resent.is_not_run()), ("outcome_unknown", false), "{resent:?}");
    assert_eq!(bench.runs("/frozen").await, 0);
    bench.deployment.daemons[0].signal("CONT");
    let thawed = sent.await.unwrap();
    let ran = bench.runs("/frozen").await;
    assert_eq!(ran, usize::from(thawed.status == StatusCode::OK), "{thawed:?}");
    assert_eq!(thawed.is_not_run(), ran == 0, "{thawed:?}");
    // Whatever the thawed daemon did, the key runs at most once.
    let again = send(bench.at[1], "/frozen", "entry").await;
    let runs = bench.runs("/frozen").await;
    assert!(runs <= 1, "ran {runs} times; {again:?}");
}

#[tokio::test]
async fn an_answer_lost_by_the_service_is_told_as_unknown() {
    let bench = Bench::start().await;
    let at = bench.deployment.plain.at("plain");
    let order = json!({"lose_answers": 1}).to_string().into();
    let call = Call { body: order, ..Call::new(Method::POST, "/control/faults") };
    Client::unpooled(TIMEOUT).send(at, call, TIMEOUT).await.unwrap();
    let first = send(bench.at[0], "/lost", "entry").await;
    assert!(!first.is_not_run() && !first.status.is_success(), "{first:?}");
    for at in [bench.at[0], bench.at[1]] {
        let resent = send(at, "/lost", "entry").await;
        assert_eq!((&*resent.code, resent.is_not_run()), ("outcome_unknown", false));
    }
    assert_eq!(bench.runs("/lost").await, 1);
}

/// Sends a request in an outage, and again after it.
async fn send_in_an_outage(outage: &str) {
    let bench = Bench::start().await;
    bench.faults(json!({"outage": outage})).await;
    let refused = send(bench.at[0], "/down", "entry").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "{refused:?}");
    assert!(refused.is_not_run() && refused.headers.contains_key("retry-after"), "{refused:?}");
    assert_eq!(bench.runs("/down").await, 0);
    bench.faults(json!({"outage": "none"})).await;
    wait_until("claims are taken again", || async {
        let told = send(bench.at[1], "/down", "entry").await;
        assert!(told.status == StatusCode::OK || told.is_not_run(), "{told:?}");
        told.status == StatusCode::OK
    })
    .await;
    assert_eq!(bench.runs("/down").await, 1);
}

#[tokio::test]
async fn an_outage_of_the_key_value_service_is_told_at_once_and_ends() {
    send_in_an_outage("no_leader").await;
}

#[tokio::test]
async fn a_silent_key_value_service_is_told_as_not_run_and_comes_back() {
    send_in_an_outage("silent").await;
}

#[tokio::test]
async fn text_under_a_key_is_generated_once() {
    let bench = Bench::start().await;
    let body = json!({
        "model": sample::ALIAS,
        "messages": [{"role": "user", "content": "enter crew 7"}],
        "max_tokens": 8,
    })
    .to_string();
    let ask = async |at| call(at, Some("text"), "/v1/chat/completions", &body).await;
    let first = ask(bench.at[0]).await;
    assert_eq!(first.status, StatusCode::OK, "{first:?}");
    // Without a seed another run would give another text.
    let same = ask(bench.at[0]).await;
    let content = |told: &Told| {
        let read: Value = serde_json::from_slice(&told.body).unwrap();
        read["choices"][0]["message"]["content"].clone()
    };
    assert_eq!(content(&same), content(&first));
    assert!(same.is_replayed());
    wait_until("the other daemon gives the recorded text", || async {
        let elsewhere = ask(bench.at[1]).await;
        if ["already_done", "outcome_unknown"].contains(&&*elsewhere.code) {
            return false;
        }
        assert_eq!(content(&elsewhere), content(&first));
        elsewhere.is_replayed()
    })
    .await;
}

/// Half of the shards belong to the frozen daemon; their claims are written by the other one.
#[tokio::test]
async fn a_silent_owner_of_shards_is_passed_over() {
    const REQUESTS: usize = 12;
    let bench = Bench::start().await;
    bench.wait_forwarding().await;
    bench.deployment.daemons[1].signal("STOP");
    let paths: Vec<String> = (0..REQUESTS).map(|index| format!("/silent/{index}")).collect();
    let at = bench.at[0];
    let sent: Vec<_> = paths
        .iter()
        .map(|path| {
            let path = path.clone();
            tokio::spawn(async move { send(at, &path, "entry").await })
        })
        .collect();
    for told in sent {
        let told = told.await.unwrap();
        assert_eq!(told.status, StatusCode::OK, "{told:?}");
    }
    bench.deployment.daemons[1].signal("CONT");
    for path in &paths {
        let told = send(bench.at[1], path, "entry").await;
        assert!(!told.is_not_run(), "{told:?}");
        assert_eq!(bench.runs(path).await, 1, "{path}");
    }
}

/// Returns a path whose claim is written by `owner`.
fn path_owned_by(owner: &str) -> String {
    let issued_ms = issued().parse().unwrap();
    let is_owned = |path: &String| {
        let key = RequestKey { workspace: "club".into(), key: path.as_str().into(), issued_ms };
        let shard = Layout::default().segment_id(key.hash(), issued_ms).shard;
        once::owner::owner(shard, "node-0", ["node-1"]) == owner
    };
    let mut paths = (0..).map(|index| format!("/stopped/{index}"));
    paths.find(is_owned).expect("there is no end of paths")
}

/// Stops the first daemon right after a request whose claim is written by `owner`; the second
/// daemon may be frozen meanwhile.
async fn stop_after_a_request_of(owner: &str, is_frozen: bool) {
    let mut bench = Bench::start().await;
    bench.wait_forwarding().await;
    let path = path_owned_by(owner);
    if is_frozen {
        bench.deployment.daemons[1].signal("STOP");
    }
    let told = send(bench.at[0], &path, "entry").await;
    assert_eq!(told.status, StatusCode::OK, "{told:?}");
    bench.deployment.daemons[0].signal("TERM");
    assert_eq!(bench.deployment.daemons[0].wait().await, Some(0));
    bench.deployment.daemons[1].signal("CONT");
    let told = send(bench.at[1], &path, "entry").await;
    assert_eq!(told.code, "already_done", "{told:?}");
}

#[tokio::test]
async fn a_planned_stop_records_the_ends_in_its_own_shards() {
    stop_after_a_request_of("node-0", false).await;
}

#[tokio::test]
async fn a_planned_stop_gives_the_ends_to_the_owners_of_other_shards() {
    stop_after_a_request_of("node-1", false).await;
}

#[tokio::test]
async fn a_planned_stop_records_the_ends_that_a_silent_owner_did_not_take() {
    stop_after_a_request_of("node-1", true).await;
}

/// What the sends of one key were told.
async fn send_and_resend(at: Vec<SocketAddr>, path: String) -> Vec<Told> {
    const SENDS: usize = 4;
    let mut told = Vec::new();
    for index in 0..SENDS {
        told.push(send(at[index % at.len()], &path, "entry").await);
    }
    told
}

#[tokio::test]
async fn no_key_runs_twice_while_the_key_value_service_loses_answers() {
    const KEYS: usize = 40;
    let bench = Bench::start().await;
    bench.wait_forwarding().await;
    bench.faults(json!({"lose_share": 0.3})).await;
    let keys = (0..KEYS).map(|index| {
        let path = format!("/many/{index}");
        let mut at = bench.at.clone();
        at.rotate_left(index % 2);
        (path.clone(), tokio::spawn(send_and_resend(at, path)))
    });
    let keys: Vec<(String, JoinHandle<Vec<Told>>)> = keys.collect();
    let mut answered = 0;
    for (path, sends) in keys {
        let told = sends.await.unwrap();
        let runs = bench.runs(&path).await;
        let fresh = told.iter().filter(|told| told.status.is_success() && !told.is_replayed());
        assert_eq!(fresh.count(), runs, "{path}: {told:?}");
        assert!(runs <= 1, "{path} ran {runs} times: {told:?}");
        assert!(runs == 0 || told.iter().any(|told| told.status.is_success()), "{told:?}");
        answered += runs;
    }
    assert!(bench.counts().await.lost > 0);
    assert!(answered > 0, "no key ran at all");
}
