//! The operator API and its client against one daemon in this process.

use std::net::SocketAddr;
use std::time::Duration;

use cli::prelude::*;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use lab::kv::KvServer;
use lab::sample;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use web::body;
use web::client::Call;
use web::prelude::Client;

const TIMEOUT: Duration = Duration::from_secs(8);

/// Starts a key-value stand-in and a daemon; returns the stand-in and the operator address.
async fn start() -> (KvServer, SocketAddr) {
    let kv = KvServer::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let kv_at = listener.local_addr().unwrap();
    tokio::spawn(kv.clone().serve(listener));
    let text = sample::settings("node-1", kv_at, &[], None);
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    settings["kv"]["timeout_ms"] = json!(300);
    let settings = config::prelude::Settings::try_from(&*settings.to_string()).unwrap();
    let kernel = daemon::run::kernel(settings, |_| {});
    let addresses: daemon::announce::Addresses =
        kernel.registry().lookup(daemon::names::PROCESS).unwrap();
    tokio::spawn(kernel.run());
    loop {
        if let Some(operator) = addresses.list().iter().find(|entry| entry.name == "operator") {
            return (kv, operator.address);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

struct Reply {
    status: u16,
    headers: HeaderMap,
    body: Value,
}

async fn call(
    at: SocketAddr,
    token: &str,
    method: Method,
    path: &str,
    headers: &[(&'static str, &'static str)],
    manifest: &Value,
) -> Reply {
    let mut call = Call::new(method, path);
    let bearer = HeaderValue::from_str(&format!("Bearer {token}")).unwrap();
    call.headers.insert("authorization", bearer);
    for (name, value) in headers {
        call.headers.insert(*name, HeaderValue::from_static(value));
    }
    call.body = manifest.to_string().into();
    let response = Client::unpooled(TIMEOUT).send(at, call, TIMEOUT).await.unwrap();
    let (status, headers) = (response.status().as_u16(), response.headers().clone());
    let bytes = body::read(response.into_body(), 1 << 20).await.unwrap();
    Reply { status, headers, body: serde_json::from_slice(&bytes).unwrap_or(Value::Null) }
}

fn model(tokens: u32) -> Value {
    json!({"kind": "model", "name": "tide", "spec": {"max_output_tokens": tokens}})
}

const PATH: &str = "/api/v1/model/tide";

#[tokio::test]
async fn reads_need_a_viewer_token_and_writes_an_operator_token() {
    let (_kv, at) = start().await;
    let get = |token| call(at, token, Method::GET, "/api/v1/model", &[], &Value::Null);
    assert_eq!(get("no-such-token").await.status, 401);
    assert_eq!(get(sample::VIEWER_TOKEN).await.status, 200);
    assert_eq!(get(sample::OPERATOR_TOKEN).await.status, 200);
    let body = json!({});
    let put = |token| call(at, token, Method::PUT, PATH, &[], &body);
    assert_eq!(put("no-such-token").await.status, 401);
    assert_eq!(put(sample::VIEWER_TOKEN).await.status, 403);
    let client = Client::unpooled(TIMEOUT);
    let metrics = client.send(at, Call::new(Method::GET, "/metrics"), TIMEOUT).await.unwrap();
    let bytes = body::read(metrics.into_body(), 1 << 20).await.unwrap();
    let text = String::from_utf8_lossy(&bytes).into_owned();
    assert!(text.contains(r#"reason="unauthorized"} 2"#), "{text}");
    assert!(text.contains(r#"reason="forbidden"} 1"#), "{text}");
}

#[tokio::test]
async fn conditional_writes_dry_runs_and_rejections_have_distinct_responses() {
    let (_kv, at) = start().await;
    let write = async |method, path, headers: &[_], body: &Value| {
        call(at, sample::OPERATOR_TOKEN, method, path, headers, body).await
    };
    let dry = write(Method::PUT, "/api/v1/model/tide?dry_run=true", &[], &model(1)).await;
    assert_eq!((dry.status, &dry.body["changed"]), (200, &json!(true)));
    let get = async || call(at, sample::VIEWER_TOKEN, Method::GET, PATH, &[], &Value::Null).await;
    assert_eq!(get().await.status, 404);
    let created = write(Method::PUT, PATH, &[("if-none-match", "*")], &model(1)).await;
    assert_eq!((created.status, &created.body["revision"]), (200, &json!(1)));
    let read = get().await;
    assert_eq!((read.status, &read.headers["etag"]), (200, &HeaderValue::from_static("\"1\"")));
    let again = write(Method::PUT, PATH, &[("if-none-match", "*")], &model(2)).await;
    assert_eq!((again.status, &again.body["stale"][0]["current"]), (409, &json!(1)));
    let changed = write(Method::PUT, PATH, &[("if-match", "\"1\"")], &model(2)).await;
    assert_eq!((changed.status, &changed.body["revision"]), (200, &json!(2)));
    let same = write(Method::PUT, PATH, &[], &model(2)).await;
    assert_eq!((same.status, &same.body["changed"]), (200, &json!(false)));
    let faulty = json!([
        {"kind": "version", "name": "v", "spec": {"model": "none", "weights": "", "weight_bytes": 1}},
        {"kind": "replica", "name": "R", "spec": {"model": "tide", "version": "v", "count": 0, "vms": 1}},
    ]);
    let refused = write(Method::POST, "/api/v1/apply", &[], &faulty).await;
    let paths: Vec<&str> = refused.body["findings"]
        .as_array()
        .unwrap()
        .iter()
        .map(|finding| finding["place"].as_str().unwrap())
        .collect();
    assert_eq!(refused.status, 422);
    assert_eq!(paths, ["$[0].spec.weights", "$[1].name", "$[1].spec.count"]);
    let unknown = json!(
        {"kind": "version", "name": "v", "spec": {"model": "none", "weights": "w", "weight_bytes": 1}}
    );
    let refused = write(Method::POST, "/api/v1/apply", &[], &unknown).await;
    assert_eq!(
        (refused.status, &refused.body["findings"][0]["place"]),
        (422, &json!("$.spec.model"))
    );
    assert_eq!(write(Method::DELETE, PATH, &[("if-match", "1")], &Value::Null).await.status, 409);
    assert_eq!(write(Method::DELETE, PATH, &[], &Value::Null).await.status, 200);
    assert_eq!(write(Method::DELETE, PATH, &[], &Value::Null).await.status, 404);
}

#[tokio::test]
async fn change_during_a_store_outage_is_rejected_as_not_applied() {
    let (kv, at) = start().await;
    kv.faults.apply_json(&json!({"outage": "reset"})).unwrap();
    let put = async || call(at, sample::OPERATOR_TOKEN, Method::PUT, PATH, &[], &model(1)).await;
    let refused = put().await;
    assert_eq!((refused.status, &refused.body["error"]), (503, &json!("not_applied")));
    assert!(refused.headers.contains_key("retry-after"));
    kv.faults.apply_json(&json!({"outage": "none"})).unwrap();
    while put().await.status != 200 {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test]
async fn lost_store_response_is_resolved_and_the_write_status_can_be_read() {
    let (kv, at) = start().await;
    kv.faults.apply_json(&json!({"lose_answers": 1})).unwrap();
    let id = ("samphire-write-id", "77");
    let put = call(at, sample::OPERATOR_TOKEN, Method::PUT, PATH, &[id], &model(1)).await;
    assert_eq!((put.status, &put.body["revision"]), (200, &json!(1)));
    let write_status = async |path| {
        call(at, sample::VIEWER_TOKEN, Method::GET, path, &[], &Value::Null).await.body
    };
    assert_eq!(write_status("/api/v1/writes/77").await, json!({"fate": "applied", "revision": 1}));
    assert_eq!(write_status("/api/v1/writes/78?base=0").await, json!({"fate": "never_applied"}));
    assert_eq!(write_status("/api/v1/writes/78?base=1").await, json!({"fate": "open"}));
    // A repeated write with the same id is not applied again.
    let put = call(at, sample::OPERATOR_TOKEN, Method::PUT, PATH, &[id], &model(9)).await;
    assert_eq!((put.status, &put.body["revision"]), (200, &json!(1)));
}

#[tokio::test]
async fn watch_delivers_each_change_from_the_requested_revision() {
    let (_kv, at) = start().await;
    let servers = Servers::new(vec![at], Some(sample::OPERATOR_TOKEN.into()), TIMEOUT);
    let put = async |tokens| {
        call(at, sample::OPERATOR_TOKEN, Method::PUT, PATH, &[], &model(tokens)).await
    };
    let others: Vec<Value> = (0..4)
        .map(
            |n| json!({"kind": "model", "name": format!("m{n}"), "spec": {"max_output_tokens": 1}}),
        )
        .collect();
    let others = Value::Array(others);
    call(at, sample::OPERATOR_TOKEN, Method::POST, "/api/v1/apply", &[], &others).await;
    put(1).await;
    let mut body = servers.open("/api/v1/watch?from=0").await.unwrap().into_body();
    let next = async |body: &mut _| {
        let chunk = body::next_chunk(body).await.unwrap().unwrap();
        serde_json::from_slice::<Value>(&chunk).unwrap()
    };
    let first = next(&mut body).await;
    assert_eq!((&first["revision"], &first["whole"]), (&json!(2), &json!(true)));
    put(2).await;
    let expected = json!({"kind": "model", "name": "tide", "revision": 3,
        "spec": {"max_output_tokens": 2}});
    assert_eq!(next(&mut body).await["changes"], json!([expected]));
    call(at, sample::OPERATOR_TOKEN, Method::DELETE, PATH, &[], &Value::Null).await;
    let expected = json!({"kind": "model", "name": "tide", "revision": 4, "spec": null});
    assert_eq!(next(&mut body).await["changes"], json!([expected]));
}

#[tokio::test]
async fn operator_reads_its_own_accepted_change() {
    let (kv, at) = start().await;
    for tokens in 1..4 {
        // Without a watch the change reaches this daemon only by its next read.
        kv.faults.apply_json(&json!({"cut_watches": true})).unwrap();
        while kv.faults.counts().watching > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        call(at, sample::OPERATOR_TOKEN, Method::PUT, PATH, &[], &model(tokens)).await;
        let read = call(at, sample::VIEWER_TOKEN, Method::GET, PATH, &[], &Value::Null).await;
        assert_eq!(read.body["spec"]["max_output_tokens"], json!(tokens));
    }
}
