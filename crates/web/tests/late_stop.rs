//! A process that runs late when its listener stops: requests have arrived that it hasn't read yet.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use web::prelude::*;
use web::server::Handler;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
/// How long the process doesn't run before its listener stops.
const LATE: Duration = Duration::from_millis(600);
/// When the caller sends its request, after the process has ceased to run.
const SENT_AFTER: Duration = Duration::from_millis(200);
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server whose responses are complete at once.
async fn start(stop: CancellationToken) -> (SocketAddr, JoinHandle<Result<(), Box<str>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler: Handler = Arc::new(|_| async { reply::text(StatusCode::OK, "done") }.boxed());
    let limits = ServerLimits::default();
    (address, tokio::spawn(serve(listener, limits, handler, Drain::default(), stop)))
}

/// Doesn't run anything for [`LATE`], and then stops the listener.
fn run_late(stop: &CancellationToken) {
    std::thread::sleep(LATE);
    stop.cancel();
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
    stream
}

/// Reads what arrives next, as text; empty if the connection ended.
fn read(stream: &mut TcpStream) -> String {
    let mut buf = [0; 4 << 10];
    let count = stream.read(&mut buf).unwrap_or(0);
    String::from_utf8_lossy(&buf[..count]).into_owned()
}

/// Plays a caller beside a process that runs late before it stops; asserts that the caller's last request, which
/// `send` sends on a connection whose first request was answered, is answered.
async fn assert_answered(send: impl FnOnce(&mut TcpStream) + Send + 'static) {
    let stop = CancellationToken::new();
    let (address, serving) = start(stop.clone()).await;
    let (tx, rx) = mpsc::channel();
    let caller = std::thread::spawn(move || {
        let mut stream = connect(address);
        stream.write_all(REQUEST).expect("sent");
        assert!(read(&mut stream).starts_with("HTTP/1.1 200"));
        tx.send(()).expect("the test goes on");
        std::thread::sleep(SENT_AFTER);
        send(&mut stream);
        read(&mut stream)
    });
    while rx.try_recv().is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    run_late(&stop);
    serving.await.expect("it ran").expect("no problem");
    let response = caller.join().expect("the caller ran");
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

// Guards against a stop that drops requests which wait unread on kept connections (rule LOST).
#[tokio::test]
async fn a_request_that_waits_on_a_kept_connection_when_the_listener_stops_is_answered() {
    assert_answered(|stream| stream.write_all(REQUEST).expect("sent")).await;
}

// Guards against a stop that resets connections which wait to be accepted, with their requests (rule LOST).
#[tokio::test]
async fn a_request_on_a_connection_that_waits_to_be_accepted_when_the_listener_stops_is_answered() {
    let stop = CancellationToken::new();
    let (address, serving) = start(stop.clone()).await;
    let caller = std::thread::spawn(move || {
        std::thread::sleep(SENT_AFTER);
        let mut stream = connect(address);
        stream.write_all(REQUEST).expect("sent");
        read(&mut stream)
    });
    tokio::time::sleep(Duration::from_millis(1)).await;
    run_late(&stop);
    serving.await.expect("it ran").expect("no problem");
    let response = caller.join().expect("the caller ran");
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

// Guards against a stop that closes a connection on which a part of a request's head has arrived (rule LOST).
#[tokio::test]
async fn a_request_whose_head_arrives_in_two_parts_around_a_stop_is_answered() {
    let (first, rest) = REQUEST.split_at(REQUEST.len() / 2);
    assert_answered(move |stream| {
        stream.write_all(first).expect("sent");
        std::thread::sleep(LATE);
        stream.write_all(rest).expect("sent");
    })
    .await;
}
