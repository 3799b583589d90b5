//! Tests of the tool's own logic: unresponsive servers, the merged timeline, offline validation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use base::prelude::*;
use cli::args::TimelineArgs;
use cli::command::merge;
use cli::command::missing_processes;
use cli::prelude::*;
use cli::servers::Write;
use futures::FutureExt;
use http::Method;
use http::StatusCode;
use spec::api::ChangeView;
use spec::api::ErrorKind;
use spec::api::ErrorView;
use spec::api::PeerView;
use spec::api::ProcessView;
use spec::api::WriteStatusView;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::prelude::*;

/// How a fake daemon responds to writes.
#[derive(Clone, Copy)]
enum Behavior {
    Accepts,
    NoResponse,
    NotApplied,
}

/// Starts a fake daemon; returns its address and the counter of writes that it received.
async fn daemon(behavior: Behavior, status: WriteStatusView) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let writes = Arc::new(AtomicUsize::new(0));
    let count = writes.clone();
    let handler = Arc::new(move |req: Request| {
        let (status, count) = (status.clone(), count.clone());
        async move {
            if req.method == Method::GET {
                return reply::json(StatusCode::OK, &status);
            }
            count.fetch_add(1, Ordering::SeqCst);
            match behavior {
                Behavior::Accepts => {
                    let view =
                        ChangeView { revision: 7, changed: true, write_id: 1, dry_run: false };
                    reply::json(StatusCode::OK, &view)
                }
                Behavior::NoResponse => std::future::pending().await,
                Behavior::NotApplied => {
                    let error = ErrorView::new(ErrorKind::NotApplied, "down");
                    reply::json(StatusCode::SERVICE_UNAVAILABLE, &error)
                }
            }
        }
        .boxed()
    });
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, ServerLimits::default(), handler, Drain::default(), stop));
    (address, writes)
}

/// Returns an address at which no server listens.
async fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

async fn write(addresses: Vec<SocketAddr>) -> Result<ChangeView, Failure> {
    let write = Write {
        method: Method::POST,
        path: "/api/v1/apply".to_owned(),
        body: "[]".to_owned(),
        revision: None,
        write_id: 1,
    };
    let servers = Servers::new(addresses, None, Duration::from_millis(300));
    servers.with_poll_timeout(Duration::from_millis(600)).write(&write).await
}

#[tokio::test]
async fn a_write_fails_over_only_if_it_was_definitely_not_applied() {
    let (refusing, first) = daemon(Behavior::NotApplied, WriteStatusView::Open).await;
    let (accepting, second) = daemon(Behavior::Accepts, WriteStatusView::Open).await;
    let answer = write(vec![unused_address().await, refusing, accepting]).await.unwrap();
    assert_eq!(answer.revision, 7);
    assert_eq!((first.load(Ordering::SeqCst), second.load(Ordering::SeqCst)), (1, 1));
}

#[tokio::test]
async fn a_write_without_a_response_is_polled_by_id_and_not_sent_again() {
    let (unresponsive, first) = daemon(Behavior::NoResponse, WriteStatusView::Open).await;
    let status = WriteStatusView::Applied { revision: 9 };
    let (other, second) = daemon(Behavior::Accepts, status).await;
    let answer = write(vec![unresponsive, other]).await.unwrap();
    assert_eq!(answer.revision, 9);
    assert_eq!((first.load(Ordering::SeqCst), second.load(Ordering::SeqCst)), (1, 0));
}

#[tokio::test]
async fn a_write_without_a_known_status_is_reported_as_unknown() {
    let (unresponsive, writes) = daemon(Behavior::NoResponse, WriteStatusView::Open).await;
    let failure = write(vec![unresponsive]).await.unwrap_err();
    assert_eq!(failure, Failure::Unknown { write_id: 1 });
    assert_eq!((failure.exit_code(), writes.load(Ordering::SeqCst)), (4, 1));
    let failure = write(vec![unused_address().await]).await.unwrap_err();
    assert_eq!(failure.exit_code(), 3);
}

fn stamped(node: &str, millis: u64, number: u64, request: u64) -> StampedEvent {
    let event = Event::Request {
        request,
        workspace: "w".into(),
        stage: "accepted".into(),
        detail: "".into(),
    };
    StampedEvent { at: Hlc { millis, count: 0 }, node: node.into(), number, event }
}

#[test]
fn the_timeline_is_ordered_across_processes_and_shows_gaps() {
    let events = |node: &str, list: Vec<StampedEvent>| {
        let text = serde_json::json!({"node": node, "boot": 1, "events": list}).to_string();
        serde_json::from_str(&text).unwrap()
    };
    let a = events("a", vec![stamped("a", 10, 0, 1), stamped("a", 30, 4, 1)]);
    let b = events("b", vec![stamped("b", 20, 0, 1), stamped("b", 25, 1, 2)]);
    let filter = TimelineArgs { request: Some(1), ..TimelineArgs::default() };
    let merged = merge(vec![a, b], &filter);
    let order: Vec<_> = merged.events.iter().map(|event| (&*event.node, event.number)).collect();
    assert_eq!(order, [("a", 0), ("b", 0), ("a", 4)]);
    let [gap] = &merged.gaps[..] else { panic!("{:?}", merged.gaps) };
    assert_eq!((&*gap.node, gap.before.millis, gap.missing), ("a", 30, 3));
}

#[test]
fn live_processes_whose_events_were_not_queried_are_reported() {
    let peer =
        |node: &str, state: &str| PeerView { node: node.into(), state: state.into(), revision: 1 };
    let view = ProcessView {
        node: "a".into(),
        boot: 1,
        failure_domain: "d".into(),
        revision: 1,
        highest: 1,
        ready: true,
        reason: "".into(),
        peers: vec![peer("b", "alive"), peer("c", "suspect"), peer("d", "dead"), peer("e", "left")],
    };
    let views = [view.clone(), view];
    assert_eq!(missing_processes(&views, &["a".into(), "b".into()]), ["c".into()]);
}

#[test]
fn a_file_of_manifests_or_settings_is_validated_without_a_server() {
    let dir = std::env::temp_dir().join(format!("samphire-check-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let check = |text: &str| {
        let file = dir.join("file.json");
        std::fs::write(&file, text).unwrap();
        cli::command::check(&file)
    };
    check(r#"{"kind": "model", "name": "m", "spec": {"max_output_tokens": 1}}"#).unwrap();
    check(
        r#"{"node": "a-1", "failure_domain": "a", "kv": {"endpoints": ["127.0.0.1:1"]},
        "peers": {"secrets": ["0123456789abcdef"]}}"#,
    )
    .unwrap();
    let failure = check(r#"{"kind": "model", "name": "M", "spec": {}}"#).unwrap_err();
    let text = failure.to_string();
    assert!(text.contains("$.name") && text.contains("$.spec: missing field"), "{text}");
    assert_eq!(failure.exit_code(), 2);
    assert_eq!(check(r#"{"node": 1}"#).unwrap_err().exit_code(), 2);
    std::fs::remove_dir_all(&dir).unwrap();
}

// Guards against a tool that can't read what processes show of evacuations, and against one that
// fails because a single process doesn't respond.
#[tokio::test]
async fn evacuations_are_shown_as_long_as_one_process_responds() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = Arc::new(move |request: Request| {
        assert_eq!(&*request.path, "/evacuations");
        let text =
            r#"[{"domain": "b", "state": "leaving", "age_ms": 70, "requests": 3, "new": 1}]"#;
        let response = reply::with_type(StatusCode::OK, "application/json", text.to_owned());
        std::future::ready(response).boxed()
    });
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, ServerLimits::default(), handler, Drain::default(), stop));
    let unused = unused_address().await;
    let run = async |servers: String| {
        let args = ["samphire", "evacuations", "--timeout-ms", "300", "--server", &servers];
        cli::command::run(<Args as clap::Parser>::parse_from(args)).await
    };
    assert!(run(format!("{unused},{address}")).await.is_ok());
    assert!(matches!(run(unused.to_string()).await, Err(Failure::Unreachable(_))));
}
