//! What clients keep of how a server delimits its responses.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use http::Version;
use http::header::CONTENT_LENGTH;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use web::client::Call;
use web::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const OLD: &str = "HTTP/1.0 200 OK\r\n\r\nok";
const LENGTHS_IN_A_LINE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok";
const LENGTHS_IN_LINES: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok";

/// Sends `response` on each connection; returns the address.
async fn serve_bytes(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let count = stream.read(&mut [0; 4096]).await.expect("a request");
            assert!(count > 0, "the connection ended without a request");
            stream.write_all(response.as_bytes()).await.expect("sent");
        }
    });
    address
}

/// Returns what both clients make of `response`.
async fn responses(response: &'static str) -> [Response; 2] {
    let address = serve_bytes(response).await;
    let pool = Pool::new(PoolSettings { connect_timeout: SECOND, idle_timeout: SECOND });
    let mut request = http::Request::new(bytes::Bytes::new());
    request.headers_mut().insert(http::header::HOST, http::HeaderValue::from_static("a"));
    let pooled = pool.send(address, request, Reuse::Never).await.expect("a response");
    let call = Call::new(Method::GET, "/");
    let other = Client::unpooled(SECOND).send(address, call, SECOND).await.expect("a response");
    [pooled, other]
}

// Guards against a broken response that looks complete to whom it is passed on to, since a server of
// version 1.0 sent it.
#[tokio::test]
async fn a_response_of_version_1_0_can_be_passed_on_in_chunks() {
    for response in responses(OLD).await {
        assert_eq!(response.version(), Version::HTTP_11);
    }
}

// Guards against a length that others may not read, or read in another way.
#[tokio::test]
async fn equal_lengths_become_one() {
    for lengths in [LENGTHS_IN_A_LINE, LENGTHS_IN_LINES] {
        for response in responses(lengths).await {
            let found: Vec<_> = response.headers().get_all(CONTENT_LENGTH).iter().collect();
            assert_eq!(found, ["2"], "{lengths:?}");
        }
    }
}
