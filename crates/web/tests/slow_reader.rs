//! Callers that read slowly get whole responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use web::prelude::*;
use web::server::Handler;

/// Bytes of a response: more than the socket buffers of both ends hold.
const RESPONSE_BYTES: usize = 24 << 20;
/// Receive buffer of a caller, in bytes.
const RECEIVE_BUFFER: u32 = 16 << 10;
const TIMEOUT: Duration = Duration::from_secs(20);

struct Server {
    address: SocketAddr,
    drain: Drain,
    stop: CancellationToken,
    serving: JoinHandle<Result<(), Box<str>>>,
}

/// Starts a server that gives a large response to each request and doesn't read its body.
async fn start(limits: ServerLimits) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let handler: Handler = Arc::new(|_| {
        let text = "a".repeat(RESPONSE_BYTES);
        async { reply::text(StatusCode::OK, text) }.boxed()
    });
    let (drain, stop) = (Drain::default(), CancellationToken::new());
    let serving = tokio::spawn(serve(listener, limits, handler, drain.clone(), stop.clone()));
    Server { address, drain, stop, serving }
}

/// Connects, sends `request` and reads the first bytes of the response.
async fn begin(address: SocketAddr, request: &[u8]) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER).expect("the buffer size is set");
    let mut stream = socket.connect(address).await.expect("connected");
    stream.write_all(request).await.expect("sent");
    stream.read_exact(&mut [0; 12]).await.expect("the response begins");
    stream
}

/// Reads what is left until the connection has been silent for a while or ends; returns the byte count.
async fn read_rest(stream: &mut TcpStream) -> usize {
    let mut buf = vec![0; 64 << 10];
    let mut total = 0;
    while let Ok(Ok(count @ 1..)) =
        tokio::time::timeout(Duration::from_secs(2), stream.read(&mut buf)).await
    {
        total += count;
    }
    total
}

// Guards against a stop that closes connections whose response has been read but not yet sent.
#[tokio::test]
async fn a_stop_waits_until_slow_readers_have_their_whole_response() {
    let server = start(ServerLimits::default()).await;
    let mut caller = begin(server.address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    server.stop.cancel();
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(!server.serving.is_finished(), "the server ended with bytes unsent");
    assert_eq!(server.drain.count(), 1, "a response with bytes unsent counts as in flight");
    assert_eq!(server.drain.unsent(), 1, "it is complete but not sent");
    assert!(read_rest(&mut caller).await >= RESPONSE_BYTES, "the response was cut off");
    let ended = tokio::time::timeout(TIMEOUT, server.serving).await;
    assert!(ended.expect("the server ends").expect("it ran").is_ok());
}

// Guards against an idle timeout that begins before the response has been sent.
#[tokio::test]
async fn the_idle_timeout_begins_when_the_response_has_been_sent() {
    let idle_timeout = Duration::from_millis(400);
    let server = start(ServerLimits { idle_timeout, ..ServerLimits::default() }).await;
    let mut caller = begin(server.address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert!(read_rest(&mut caller).await >= RESPONSE_BYTES, "the response was cut off");
}

// Guards against connections that are never closed, as their peer reads nothing any more.
#[tokio::test]
async fn a_connection_whose_peer_stops_reading_is_closed_in_the_end() {
    let idle_timeout = Duration::from_millis(100);
    let server = start(ServerLimits { idle_timeout, ..ServerLimits::default() }).await;
    let _caller = begin(server.address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert_eq!(server.drain.count(), 1);
    let ended = tokio::time::timeout(TIMEOUT, server.drain.idle()).await;
    assert!(ended.is_ok(), "the response is still in flight");
    assert_eq!(server.drain.unsent(), 0);
}

// Guards against a reset that destroys bytes on their way, as the caller had sent bytes that were never
// read.
#[tokio::test]
async fn unread_bytes_of_a_request_do_not_reset_the_connection_of_its_response() {
    let server = start(ServerLimits::default()).await;
    let head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n";
    let mut caller = begin(server.address, head).await;
    let (mut reader, mut writer) = caller.split();
    let upload = vec![0; 4_000_000];
    let (_, read) = tokio::join!(writer.write_all(&upload), async {
        let mut buf = vec![0; 64 << 10];
        let mut total = 0;
        while let Ok(count @ 1..) = reader.read(&mut buf).await {
            total += count;
        }
        total
    });
    assert!(read >= RESPONSE_BYTES, "the response was cut off after {read} bytes");
}

// Guards against an idle timeout that cuts off a request whose headers are arriving.
#[tokio::test]
async fn a_request_that_is_arriving_at_the_idle_timeout_is_served() {
    let idle_timeout = Duration::from_millis(700);
    let server = start(ServerLimits { idle_timeout, ..ServerLimits::default() }).await;
    let mut caller = begin(server.address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    let mut left = vec![0; RESPONSE_BYTES];
    caller.read_exact(&mut left).await.expect("the response");
    tokio::time::sleep(Duration::from_millis(50)).await;
    caller.write_all(b"GET / HTTP/1.1\r\nHos").await.expect("sent");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    caller.write_all(b"t: a\r\n\r\n").await.expect("sent");
    assert!(read_rest(&mut caller).await >= RESPONSE_BYTES, "the request wasn't served");
}

// Guards against a stop that cuts off a request whose headers are arriving on a kept connection.
#[tokio::test]
async fn a_request_that_is_arriving_at_a_stop_is_served() {
    let server = start(ServerLimits::default()).await;
    let mut caller = begin(server.address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    let mut left = vec![0; RESPONSE_BYTES];
    caller.read_exact(&mut left).await.expect("the response");
    caller.write_all(b"GET / HTTP/1.1\r\nHos").await.expect("sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    server.stop.cancel();
    tokio::time::sleep(Duration::from_millis(300)).await;
    caller.write_all(b"t: a\r\n\r\n").await.expect("sent");
    assert!(read_rest(&mut caller).await >= RESPONSE_BYTES, "the request wasn't served");
}
