//! A panic while a request is handled.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use web::prelude::*;
use web::server::Handler;

// Guards against requests that get no answer, and stops that wait for them, after a panic in a handler.
#[tokio::test]
async fn a_request_whose_handler_panics_is_answered_and_no_longer_in_flight() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler: Handler = Arc::new(|request: Request| {
        async move {
            assert_ne!(&*request.path, "/fault", "a fault of the handler");
            reply::text(StatusCode::OK, "done")
        }
        .boxed()
    });
    let (drain, stop) = (Drain::default(), CancellationToken::new());
    let serving = serve(listener, ServerLimits::default(), handler, drain.clone(), stop.clone());
    let serving = tokio::spawn(serving);
    let mut received = Vec::new();
    let mut caller = TcpStream::connect(address).await.expect("connected");
    caller.write_all(b"GET /fault HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("sent");
    // The connection ends after the response.
    let reading = caller.read_to_end(&mut received);
    let ended = tokio::time::timeout(Duration::from_secs(5), reading).await;
    let text = String::from_utf8_lossy(&received).to_lowercase();
    assert!(matches!(ended, Ok(Ok(_))), "{ended:?} {text}");
    assert!(text.starts_with("http/1.1 500 "), "{text}");
    assert!(text.contains("connection: close"), "{text}");
    assert_eq!(drain.count(), 0);

    let mut other = TcpStream::connect(address).await.expect("connected");
    other.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("sent");
    let mut buf = [0; 1024];
    let count = other.read(&mut buf).await.expect("a response");
    assert!(buf[..count].starts_with(b"HTTP/1.1 200"), "the listener goes on");
    stop.cancel();
    let ended = tokio::time::timeout(Duration::from_secs(5), serving).await;
    assert!(ended.expect("it ends").expect("it ran").is_ok());
}
