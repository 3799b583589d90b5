//! End to end with separate processes: answers through several daemons, shutdowns, crashes, errors.

mod procs;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::Method;
use lab::caller;
use lab::caller::Answer;
use lab::caller::TextCall;
use lab::caller::Verdict;
use lab::sample;
use procs::Deployment;
use serde_json::Value;
use web::body;
use web::client::Call;
use web::prelude::Client;

const TIMEOUT: Duration = Duration::from_secs(30);

fn client() -> Client {
    Client::pooled(TIMEOUT)
}

/// `volo-http` drops streams about 30 s after a signal; the stream here lasts for more than 40 s.
#[tokio::test]
async fn graceful_shutdown_waits_for_a_stream_longer_than_the_http_library_limit() {
    const TOKEN: Duration = Duration::from_millis(100);
    const MIN_PIECES: u32 = 420;
    let token_ms = TOKEN.as_millis().to_string();
    let mut deployment = Deployment::start(2, 1, &["--token-ms", &token_ms]).await;
    let mut long_call = TextCall::small("a very long notice", 0);
    long_call.max_tokens = 2 * MIN_PIECES;
    long_call.timeout = Duration::from_secs(300);
    let pieces = |call: &TextCall| call.expected().matches(' ').count();
    while pieces(&long_call) > 450 {
        long_call.seed += 1;
    }
    let stream = procs::start_stream(deployment.callers()[0], &long_call).await;
    let signalled = Instant::now();
    deployment.daemons[0].signal("TERM");
    let answer = stream.await.unwrap();
    assert_eq!(answer.verdict(&long_call), Verdict::Right, "{answer:?}");
    assert!(
        signalled.elapsed() > Duration::from_secs(40),
        "the stream was too short for this test"
    );
    assert_eq!(deployment.daemons[0].wait().await, Some(0));
}

#[tokio::test]
async fn answers_are_complete_during_a_graceful_shutdown_and_after_a_daemon_crash() {
    let mut deployment = Deployment::start(4, 2, &["--token-ms", "10"]).await;
    let callers = deployment.callers();
    let mut long_call = TextCall::small("a long notice", 7);
    long_call.max_tokens = 200;
    let mut streams = Vec::new();
    for at in callers {
        streams.push(procs::start_stream(at, &long_call).await);
    }
    deployment.daemons[0].signal("TERM");
    let mut answers = Vec::new();
    for stream in streams {
        answers.push(stream.await.unwrap());
    }
    for answer in &answers {
        assert_eq!(answer.verdict(&long_call), Verdict::Right, "{answer:?}");
    }
    assert_eq!(deployment.daemons[0].wait().await, Some(0));

    deployment.start_daemon("node-2");
    let new = deployment.daemons[2].at("caller");
    procs::wait_until("the new daemon serves", || async {
        caller::call(&client(), new, &TextCall::small("new", 1)).await.ended
    })
    .await;
    deployment.daemons[1].kill();
    let call = TextCall::small("after the kill", 2);
    let answer = caller::call(&client(), new, &call).await;
    assert_eq!(answer.verdict(&call), Verdict::Right, "{answer:?}");
}

#[tokio::test]
async fn caller_resumes_with_its_token_through_another_daemon_after_a_crash() {
    let mut deployment = Deployment::start(2, 2, &["--token-ms", "10"]).await;
    let callers = deployment.callers();
    let mut long_call = TextCall::small("a long summary", 9);
    long_call.max_tokens = 100;
    let enough = |answer: &Answer| answer.last_piece >= Some(10);
    let first_part = caller::call_with(&client(), callers[0], &long_call, None, enough).await;
    deployment.daemons[0].kill();
    let token = first_part.token.clone().expect("the stream contains a resume token");
    let last = first_part.last_piece.unwrap();

    let resume = Some((&*token, last));
    let rest = caller::call_with(&client(), callers[1], &long_call, resume, |_| false).await;
    assert!(rest.ended, "{rest:?}");
    assert_eq!(format!("{}{}", first_part.text, rest.text), long_call.expected());

    let mut forged = token.to_string();
    forged.replace_range(0..2, "00");
    for (token, call) in [
        (forged, long_call.clone()),
        (token.to_string(), TextCall { prompt: "another".into(), ..long_call.clone() }),
        (token.to_string(), TextCall { key: sample::HARBOUR_KEY.into(), ..long_call.clone() }),
    ] {
        let resume = Some((&*token, last));
        let answer = caller::call_with(&client(), callers[1], &call, resume, |_| false).await;
        assert_eq!(answer.status, 403, "{answer:?}");
        assert_eq!(answer.text, "");
    }
}

async fn post(at: SocketAddr, key: Option<&str>, body: &str) -> (u16, Value) {
    let mut call =
        Call { body: body.to_owned().into(), ..Call::new(Method::POST, "/v1/chat/completions") };
    if let Some(key) = key {
        let value = HeaderValue::from_str(&format!("Bearer {key}")).unwrap();
        call.headers.insert("authorization", value);
    }
    let response = client().send(at, call, TIMEOUT).await.unwrap();
    let status = response.status().as_u16();
    let bytes = body::read(response.into_body(), 1 << 20).await.unwrap();
    (status, serde_json::from_slice(&bytes).unwrap_or(Value::Null))
}

#[tokio::test]
async fn error_responses_name_the_cause_and_reveal_nothing_of_other_workspaces() {
    let deployment = Deployment::start(2, 1, &[]).await;
    let at = deployment.callers()[0];
    let body = TextCall::small("x", 1).body();

    let (status, answer) = post(at, Some("no-such-key"), &body).await;
    assert_eq!((status, &answer["error"]["code"]), (401, &Value::from("invalid_api_key")));
    let (status, _) = post(at, None, &body).await;
    assert_eq!(status, 401);

    let (status, foreign) = post(at, Some(sample::EMPTY_KEY), &body).await;
    assert_eq!(status, 404);
    let unknown = body.replace("\"assistant\"", "\"no-such-model\"");
    let (status, unknown) = post(at, Some(sample::EMPTY_KEY), &unknown).await;
    assert_eq!(status, 404);
    let text = |value: &Value| value.to_string().replace("no-such-model", "assistant");
    assert_eq!(text(&foreign), text(&unknown));

    let large = format!("{{\"model\": \"{}\"}}", "x".repeat(5 << 20));
    let (status, answer) = post(at, Some(sample::CLUB_KEY), &large).await;
    assert_eq!(status, 413);
    assert_eq!(answer["error"]["message"], "the body is larger than 4194304 bytes");

    let (status, answer) = post(at, Some(sample::CLUB_KEY), "{\"model\": ").await;
    assert_eq!(status, 400);
    assert!(answer["error"]["message"].as_str().unwrap().contains("line 1 column 10"), "{answer}");
    let (status, answer) =
        post(at, Some(sample::CLUB_KEY), r#"{"model": "assistant", "messages": [{"role": 1}]}"#)
            .await;
    assert_eq!(status, 400);
    assert_eq!(answer["error"]["param"], "messages[0].role");
    assert_eq!(answer["error"]["not_run"], true);
}

#[tokio::test]
async fn calls_to_plain_services_keep_method_headers_query_and_body() {
    let deployment = Deployment::start(2, 1, &[]).await;
    let at = deployment.callers()[0];
    let send = async |key: &str| {
        let mut call = Call {
            body: "lane=4".into(),
            ..Call::new(Method::PUT, "/apps/entries/draw/7?club=a%20b")
        };
        let value = HeaderValue::from_str(&format!("Bearer {key}")).unwrap();
        call.headers.insert("authorization", value);
        call.headers.insert("x-echo", HeaderValue::from_static("kept"));
        let response = client().send(at, call, TIMEOUT).await.unwrap();
        let status = response.status().as_u16();
        let bytes = body::read(response.into_body(), 1 << 20).await.unwrap();
        (status, serde_json::from_slice::<Value>(&bytes).unwrap())
    };
    let (status, answer) = send(sample::CLUB_KEY).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["method"], "PUT");
    assert_eq!(answer["path"], "/draw/7?club=a%20b");
    assert_eq!(answer["body"], "lane=4");
    assert_eq!(answer["echo"], "kept");
    let (status, _) = send(sample::EMPTY_KEY).await;
    assert_eq!(status, 404);
}
