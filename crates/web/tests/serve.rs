//! Tests of serving, streaming, limits and a graceful stop.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::Method;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::body;
use web::client::Call;
use web::prelude::*;
use web::server::Handler;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Echoes bodies of up to 8 bytes; `/slow` streams two chunks, the second once `gate` is cancelled.
fn handler(gate: CancellationToken) -> Handler {
    Arc::new(move |req: Request| {
        let gate = gate.clone();
        async move {
            if &*req.path == "/slow" {
                let (tx, stream) = body::stream(());
                tokio::spawn(async move {
                    tx.send("first ").await;
                    gate.cancelled().await;
                    tx.send("second").await;
                });
                return reply::with_type(StatusCode::OK, "text/plain", stream);
            }
            match body::read(req.body, 8).await {
                Ok(bytes) => reply::with_type(StatusCode::OK, "text/plain", bytes),
                Err(error) => reply::text(StatusCode::PAYLOAD_TOO_LARGE, error.to_string()),
            }
        }
        .boxed()
    })
}

async fn start(
    limits: ServerLimits,
    gate: &CancellationToken,
    stop: &CancellationToken,
) -> (std::net::SocketAddr, tokio::task::JoinHandle<Result<(), Box<str>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(serve(
        listener,
        limits,
        handler(gate.clone()),
        Drain::default(),
        stop.clone(),
    ));
    (address, task)
}

#[tokio::test]
async fn a_stop_waits_for_the_last_byte_of_a_stream() {
    let (gate, stop) = (CancellationToken::new(), CancellationToken::new());
    let (address, task) = start(ServerLimits::default(), &gate, &stop).await;
    let client = Client::pooled(TIMEOUT);
    let response = client.send(address, Call::new(Method::GET, "/slow"), TIMEOUT).await.unwrap();
    let mut stream = response.into_body();
    assert_eq!(body::next_chunk(&mut stream).await.unwrap().unwrap(), "first ");
    stop.cancel();
    tokio::task::yield_now().await;
    assert!(!task.is_finished());
    gate.cancel();
    assert_eq!(body::next_chunk(&mut stream).await.unwrap().unwrap(), "second");
    assert!(body::next_chunk(&mut stream).await.is_none());
    task.await.unwrap().unwrap();
}

#[tokio::test]
async fn an_oversized_body_is_refused_and_the_response_names_the_limit() {
    let (gate, stop) = (CancellationToken::new(), CancellationToken::new());
    let (address, _task) = start(ServerLimits::default(), &gate, &stop).await;
    let client = Client::unpooled(TIMEOUT);
    let call = Call { body: "nine bytes".into(), ..Call::new(Method::POST, "/") };
    let response = client.send(address, call, TIMEOUT).await.unwrap();
    assert_eq!(response.status(), 413);
    let text = body::read(response.into_body(), 100).await.unwrap();
    assert_eq!(text, "the body is larger than 8 bytes");
}

#[tokio::test]
async fn a_connection_that_sends_no_request_in_time_is_closed_and_frees_its_slot() {
    let (gate, stop) = (CancellationToken::new(), CancellationToken::new());
    let limits = ServerLimits {
        header_timeout: Duration::from_millis(100),
        max_connections: 1,
        ..ServerLimits::default()
    };
    let (address, _task) = start(limits, &gate, &stop).await;
    let mut idle = tokio::net::TcpStream::connect(address).await.unwrap();
    idle.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
    let client = Client::unpooled(TIMEOUT);
    let call = Call { body: "hello".into(), ..Call::new(Method::POST, "/") };
    let response = client.send(address, call, TIMEOUT).await.unwrap();
    assert_eq!(response.status(), 200);
    let mut rest = Vec::new();
    let _ = idle.read_to_end(&mut rest).await;
    assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 4"), "{rest:?}");
}

#[tokio::test]
async fn a_request_to_a_closed_port_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = Client::unpooled(TIMEOUT);
    let error = client.send(address, Call::new(Method::GET, "/"), TIMEOUT).await.unwrap_err();
    assert!(matches!(error, ClientError::NotSent { .. }), "{error}");
}

#[test]
fn event_lines_are_reassembled_across_chunk_boundaries() {
    let mut reader = web::sse::Reader::default();
    assert!(reader.push(b"da"));
    assert_eq!(reader.next_line(), None);
    assert!(reader.push(b"ta: a\n\n: note\r\nda"));
    assert_eq!(reader.next_line(), Some(web::sse::Line::Data("a".into())));
    assert_eq!(reader.next_line(), Some(web::sse::Line::Comment("note".into())));
    assert_eq!(reader.next_line(), None);
}
