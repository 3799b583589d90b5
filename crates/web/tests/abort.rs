//! A response that is broken off ends its connection at once.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use web::body;
use web::prelude::*;
use web::server::Handler;

#[tokio::test]
async fn a_caller_sees_at_once_that_a_response_was_broken_off() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler: Handler = Arc::new(|_| {
        async {
            let (tx, stream) = body::stream(());
            tokio::spawn(async move {
                tx.send("first").await;
                tokio::time::sleep(Duration::from_millis(50)).await;
                tx.abort("the server failed").await;
            });
            reply::with_type(StatusCode::OK, "text/plain", stream)
        }
        .boxed()
    });
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, ServerLimits::default(), handler, Drain::default(), stop));
    let mut caller = tokio::net::TcpStream::connect(address).await.expect("a connection");
    caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("sent");
    let started = Instant::now();
    let mut received = Vec::new();
    // The end of the connection may be an error.
    let ended =
        tokio::time::timeout(Duration::from_secs(5), caller.read_to_end(&mut received)).await;
    let text = String::from_utf8_lossy(&received).into_owned();
    assert!(ended.is_ok(), "the connection is still open: {text}");
    assert!(started.elapsed() < Duration::from_millis(400), "{:?}", started.elapsed());
    assert!(!text.ends_with("0\r\n\r\n"), "the response looks complete: {text}");
}

/// Serves one path with a response whose writer ends as `end` says, and returns all that a caller gets.
async fn received_when_the_writer(end: fn(BodySender)) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler: Handler = Arc::new(move |_| {
        async move {
            let (tx, stream) = body::stream(());
            tokio::spawn(async move {
                tx.send("first").await;
                tokio::time::sleep(Duration::from_millis(50)).await;
                end(tx);
            });
            reply::with_type(StatusCode::OK, "text/plain", stream)
        }
        .boxed()
    });
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, ServerLimits::default(), handler, Drain::default(), stop));
    let mut caller = tokio::net::TcpStream::connect(address).await.expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    caller.write_all(request).await.expect("sent");
    let mut received = Vec::new();
    // The end of the connection may be an error.
    let reading = caller.read_to_end(&mut received);
    let ended = tokio::time::timeout(Duration::from_secs(5), reading).await;
    assert!(ended.is_ok(), "the connection is still open");
    String::from_utf8_lossy(&received).into_owned()
}

// Guards against truncated answers that look complete (rules MIXED, ORDER): the task that writes one ends
// early, by a panic or since it is cancelled.
#[tokio::test]
async fn a_response_whose_writer_ends_early_does_not_look_complete() {
    let dropped = received_when_the_writer(drop).await;
    assert!(dropped.contains("first") && !dropped.ends_with("0\r\n\r\n"), "{dropped}");
    let panicked = received_when_the_writer(|_tx| panic!("a fault of the writer")).await;
    assert!(panicked.contains("first") && !panicked.ends_with("0\r\n\r\n"), "{panicked}");
}
