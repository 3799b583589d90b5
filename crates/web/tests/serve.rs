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
                    tx.finish();
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

/// Length of a response that is longer than what the library writes at a time.
const LONG_RESPONSE_BYTES: usize = 1 << 20;
/// Length of its chunks.
const CHUNK_BYTES: usize = 8 << 10;

/// Answers with a response of known length, chunk by chunk.
fn long_response(_: Request) -> Response {
    let (tx, stream) = body::stream_of_large_chunks();
    tokio::spawn(async move {
        for _ in 0..LONG_RESPONSE_BYTES / CHUNK_BYTES {
            tx.send(vec![b'x'; CHUNK_BYTES]).await;
        }
        tx.finish();
    });
    let mut response = reply::with_type(StatusCode::OK, "text/plain", stream);
    let length = http::HeaderValue::from(LONG_RESPONSE_BYTES);
    response.headers_mut().insert(http::header::CONTENT_LENGTH, length);
    response
}

// Guards against streamed responses with a length being cut off, since the library doesn't read their end.
#[tokio::test]
async fn a_long_response_with_a_length_arrives_whole_and_its_connection_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler: Handler = Arc::new(|req| async { long_response(req) }.boxed());
    let (drain, stop) = (Drain::default(), CancellationToken::new());
    let serving = tokio::spawn(serve(
        listener,
        ServerLimits::default(),
        handler,
        drain.clone(),
        stop.clone(),
    ));
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    for _ in 0..3 {
        stream.write_all(b"GET /long HTTP/1.1\r\nHost: a\r\n\r\n").await.unwrap();
        let mut received = Vec::new();
        while !received.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            received.push(stream.read_u8().await.unwrap());
        }
        let mut response = vec![0; LONG_RESPONSE_BYTES];
        let read = tokio::time::timeout(TIMEOUT, stream.read_exact(&mut response)).await;
        read.expect("in time").expect("the whole response");
    }
    stop.cancel();
    drop(stream);
    tokio::time::timeout(TIMEOUT, serving).await.expect("in time").unwrap().unwrap();
    assert_eq!(drain.count(), 0);
}
