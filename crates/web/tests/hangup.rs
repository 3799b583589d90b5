//! A hang-up signal, which a process may handle itself, doesn't change how a later stop ends.

use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use web::prelude::*;
use web::server::Handler;

// Guards against a server that takes SIGHUP for its own signal to stop, and ends 2 s late after it.
#[tokio::test]
async fn a_stop_after_a_hang_up_ends_with_the_last_response() {
    let mut hang_up = signal(SignalKind::hangup()).expect("SIGHUP can be handled");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (arrived, go) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let handler: Handler = {
        let (arrived, go) = (arrived.clone(), go.clone());
        Arc::new(move |_| {
            let (arrived, go) = (arrived.clone(), go.clone());
            async move {
                arrived.notify_one();
                go.notified().await;
                reply::text(StatusCode::OK, "done")
            }
            .boxed()
        })
    };
    let (limits, stop) = (ServerLimits::default(), CancellationToken::new());
    let serving = tokio::spawn(serve(listener, limits, handler, Drain::default(), stop.clone()));
    let mut caller = TcpStream::connect(address).await.expect("connected");
    caller.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await.expect("sent");
    arrived.notified().await;

    let pid = std::process::id().to_string();
    let sent = Command::new("kill").args(["-HUP", &pid]).status().expect("the command runs");
    assert!(sent.success());
    hang_up.recv().await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    stop.cancel();
    tokio::time::sleep(Duration::from_millis(100)).await;
    go.notify_one();
    let mut response = Vec::new();
    caller.read_to_end(&mut response).await.expect("the connection ends properly");
    assert!(response.ends_with(b"done"));
    drop(caller);
    let since = Instant::now();
    serving.await.expect("it ran").expect("no problem");
    assert!(since.elapsed() < Duration::from_millis(1_000), "{:?}", since.elapsed());
}
