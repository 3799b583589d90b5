//! A stopping listener closes idle keep-alive connections and lets busy ones finish.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use web::prelude::*;

async fn send_request(stream: &mut TcpStream) {
    stream.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("sent");
}

/// Reads until the end of the response's body or of the connection.
async fn read_response(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 1024];
    while !text.ends_with(b"done") {
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => break,
            Ok(count) => text.extend_from_slice(&buf[..count]),
        }
    }
    String::from_utf8(text).expect("text")
}

#[tokio::test]
async fn idle_connections_close_at_a_stop_and_busy_ones_finish() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (arrived, go) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let handler: web::server::Handler = {
        let (arrived, go) = (arrived.clone(), go.clone());
        Arc::new(move |request: Request| {
            let (arrived, go) = (arrived.clone(), go.clone());
            async move {
                if request.header("x-slow").is_some() {
                    arrived.notify_one();
                    go.notified().await;
                }
                reply::text(StatusCode::OK, "done")
            }
            .boxed()
        })
    };
    let stop = CancellationToken::new();
    let (limits, drain) = (ServerLimits::default(), Drain::default());
    let serving = tokio::spawn(serve(listener, limits, handler, drain, stop.clone()));

    let mut kept = TcpStream::connect(address).await.expect("connected");
    send_request(&mut kept).await;
    assert!(read_response(&mut kept).await.ends_with("done"));
    let mut busy = TcpStream::connect(address).await.expect("connected");
    busy.write_all(b"GET / HTTP/1.1\r\nHost: a\r\nX-Slow: 1\r\n\r\n").await.expect("sent");
    arrived.notified().await;

    stop.cancel();
    assert_eq!(
        read_response(&mut kept).await,
        "",
        "the idle connection is closed without a response"
    );
    go.notify_one();
    assert!(
        read_response(&mut busy).await.ends_with("done"),
        "the busy connection gets its response"
    );
    let ended = tokio::time::timeout(Duration::from_secs(20), serving).await;
    assert!(ended.expect("the server ends").expect("it ran").is_ok());
}
