//! The pool's errors tell whether a request was sent, and a connection in an unknown state is not
//! used again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use web::body;
use web::prelude::*;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

fn pool() -> Pool {
    let second = Duration::from_secs(1);
    Pool::new(PoolSettings { connect_timeout: second, idle_timeout: second * 10 })
}

fn request() -> http::Request<bytes::Bytes> {
    let mut request = http::Request::new(bytes::Bytes::new());
    request.headers_mut().insert(http::header::HOST, http::HeaderValue::from_static("a"));
    request
}

/// Serves one connection after the other and returns the address. Each entry of a connection is
/// sent after one request; the connection is closed after its last entry.
async fn serve_bytes(connections: Vec<Vec<&'static [u8]>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for responses in connections {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            for response in responses {
                let mut buf = [0; 4096];
                if stream.read(&mut buf).await.unwrap_or(0) == 0 {
                    break;
                }
                stream.write_all(response).await.expect("sent");
            }
        }
    });
    address
}

async fn send(pool: &Pool, address: SocketAddr, reuse: Reuse) -> Result<String, PoolError> {
    let response = pool.send(address, request(), reuse).await?;
    let read = body::read(response.into_body(), 1024).await;
    Ok(read.map_or_else(|e| e.to_string(), |b| String::from_utf8_lossy(&b).into_owned()))
}

#[tokio::test]
async fn a_request_on_a_refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let error = send(&pool(), address, Reuse::Any).await.expect_err("refused");
    assert!(matches!(error, PoolError::NotSent { cause: NotSentCause::Refused, .. }), "{error}");
}

#[tokio::test]
async fn a_connection_that_ends_after_the_request_is_incomplete_not_unsent() {
    let address = serve_bytes(vec![vec![b""]]).await;
    let error = send(&pool(), address, Reuse::Any).await.expect_err("broken");
    assert!(matches!(error, PoolError::Incomplete { .. }), "{error}");
}

#[tokio::test]
async fn a_pooled_connection_is_reused_unless_a_new_one_is_requested() {
    let address = serve_bytes(vec![vec![RESPONSE, RESPONSE], vec![RESPONSE]]).await;
    let pool = pool();
    assert_eq!(send(&pool, address, Reuse::Any).await.as_deref(), Ok("ok"));
    assert_eq!(send(&pool, address, Reuse::Any).await.as_deref(), Ok("ok"));
    assert_eq!(send(&pool, address, Reuse::Never).await.as_deref(), Ok("ok"));
}

#[tokio::test]
async fn a_connection_with_bytes_after_a_complete_response_is_not_reused() {
    let with_excess_bytes =
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n";
    let address = serve_bytes(vec![vec![with_excess_bytes, RESPONSE], vec![RESPONSE]]).await;
    let pool = pool();
    assert_eq!(send(&pool, address, Reuse::Any).await.as_deref(), Ok("ok"));
    tokio::task::yield_now().await;
    assert_eq!(send(&pool, address, Reuse::Any).await.as_deref(), Ok("ok"));
}

#[tokio::test]
async fn a_connection_is_not_reused_after_a_response_with_connection_close() {
    let last = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
    let address = serve_bytes(vec![vec![last], vec![RESPONSE]]).await;
    let pool = pool();
    assert_eq!(send(&pool, address, Reuse::Any).await.as_deref(), Ok("ok"));
    assert_eq!(send(&pool, address, Reuse::Any).await.as_deref(), Ok("ok"));
}

#[tokio::test]
async fn idle_connections_to_addresses_that_are_not_used_again_are_dropped() {
    let pool = Pool::new(PoolSettings {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_millis(20),
    });
    for _ in 0..3 {
        let gone = serve_bytes(vec![vec![RESPONSE]]).await;
        assert_eq!(send(&pool, gone, Reuse::Any).await.expect("a response"), "ok");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(pool.idle_addresses(), 1, "only the last one");
}

// Guards against a huge `Keep-Alive` timeout that overflows and ends the request that got it.
#[tokio::test]
async fn a_connection_is_reused_after_a_huge_keep_alive_timeout() {
    let huge = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=18446744073709551615\r\n\
        Content-Length: 2\r\n\r\nok";
    let address = serve_bytes(vec![vec![huge, RESPONSE]]).await;
    let pool = pool();
    assert_eq!(send(&pool, address, Reuse::Any).await.as_deref(), Ok("ok"));
    assert_eq!(send(&pool, address, Reuse::Any).await.as_deref(), Ok("ok"));
}

// Guards against a head that is read into memory without bound.
#[tokio::test]
async fn a_head_that_exceeds_the_read_buffer_is_no_response() {
    let head = format!("HTTP/1.1 200 OK\r\nX-Rest: {}\r\n", "x".repeat(100 << 10));
    let head: &'static [u8] = Box::leak(head.into_bytes().into_boxed_slice());
    let address = serve_bytes(vec![vec![head, RESPONSE]]).await;
    let error = send(&pool(), address, Reuse::Any).await.expect_err("no response");
    assert!(matches!(error, PoolError::Incomplete { .. }), "{error}");
}

/// A refusal that a server sends without being asked.
const EXTRA: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Sends a request; returns the status, and whether its response is the first of its connection.
async fn send_for_head(pool: &Pool, address: SocketAddr) -> (u16, bool) {
    let response = pool.send(address, request(), Reuse::Any).await.expect("a response");
    let is_first = response.extensions().get::<FirstOnConnection>().is_some();
    let status = response.status().as_u16();
    body::read(response.into_body(), 1024).await.expect("a body");
    (status, is_first)
}

// Guards against a response on a reused connection that looks as if it could only belong to its request.
#[tokio::test]
async fn only_the_first_response_of_a_connection_is_marked_as_such() {
    let late = [EXTRA, RESPONSE].concat().leak();
    let address = serve_bytes(vec![vec![RESPONSE, late], vec![RESPONSE]]).await;
    let pool = pool();
    assert_eq!(send_for_head(&pool, address).await, (200, true));
    // The additional bytes come after this request was sent, so it gets them.
    assert_eq!(send_for_head(&pool, address).await, (503, false));
    assert_eq!(send_for_head(&pool, address).await, (200, true), "the connection is discarded");
}

/// Bytes that are no part of a response and may follow it.
const ADDITIONAL: [(&str, &[u8]); 5] = [
    ("a response", EXTRA),
    ("an interim response", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ("a switch of protocols", b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n"),
    ("a part of a head", b"HTTP/1.1 200 OK\r\nContent-"),
    ("an empty line", b"\r\n"),
];

// Guards against bytes behind a complete response being taken for the start of the next one, however the
// body's end is told.
#[tokio::test]
async fn bytes_behind_a_response_end_its_connection() {
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    let trailers =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n";
    let empty = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (name, extra) in ADDITIONAL {
        for response in [RESPONSE, chunked, trailers, empty] {
            let spoiled = [response, extra].concat().leak();
            let address = serve_bytes(vec![vec![spoiled, RESPONSE], vec![RESPONSE]]).await;
            let pool = pool();
            assert_eq!(send_for_head(&pool, address).await, (200, true), "{name}");
            assert_eq!(send_for_head(&pool, address).await, (200, true), "{name}");
        }
    }
}

// Guards against the same while the connection and its user run on several threads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bytes_behind_a_response_end_its_connection_on_several_threads() {
    for round in 0..200 {
        let spoiled = [RESPONSE, EXTRA].concat().leak();
        let address = serve_bytes(vec![vec![spoiled, RESPONSE], vec![RESPONSE]]).await;
        let pool = pool();
        assert_eq!(send_for_head(&pool, address).await, (200, true), "round {round}");
        assert_eq!(send_for_head(&pool, address).await, (200, true), "round {round}");
    }
}

// Guards against bytes that come while no request is in flight being taken for the answer to the next one.
#[tokio::test]
async fn bytes_on_an_idle_connection_end_it() {
    for (name, extra) in ADDITIONAL {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (read, sent) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
        let (is_read, is_sent) = (read.clone(), sent.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut buf = [0; 4096];
                let _ = stream.read(&mut buf).await;
                stream.write_all(RESPONSE).await.expect("sent");
                is_read.notified().await;
                stream.write_all(extra).await.expect("sent");
                sent.notify_one();
            }
        });
        let pool = pool();
        assert_eq!(send_for_head(&pool, address).await, (200, true), "{name}");
        read.notify_one();
        is_sent.notified().await;
        // The connection notices the bytes before this timer ends.
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(send_for_head(&pool, address).await, (200, true), "{name}");
    }
}

// Guards against a connection that switched to another protocol being used for the next request.
#[tokio::test]
async fn a_connection_that_switched_protocols_is_not_reused() {
    let switch = b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n";
    let address = serve_bytes(vec![vec![switch, RESPONSE], vec![RESPONSE]]).await;
    let pool = pool();
    assert_eq!(send_for_head(&pool, address).await, (101, true));
    assert_eq!(send_for_head(&pool, address).await, (200, true));
}

/// Serves connections until the test ends, one response for each request.
async fn serve_all() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {
                    stream.write_all(RESPONSE).await.expect("sent");
                }
            });
        }
    });
    address
}

// Guards against idle connections to some servers that leave none for requests to others.
#[tokio::test]
async fn a_full_pool_closes_the_connection_that_was_idle_for_longest() {
    let second = Duration::from_secs(1);
    let settings = PoolSettings { connect_timeout: second, idle_timeout: second * 10 };
    let pool = Pool::bounded(settings, 2);
    let (a, b, c) = (serve_all().await, serve_all().await, serve_all().await);
    for address in [a, b, c] {
        assert_eq!(send(&pool, address, Reuse::Any).await, Ok("ok".into()));
    }
    assert_eq!(pool.idle_addresses(), 2);
    for (address, is_reused) in [(b, true), (c, true), (a, false)] {
        let response = pool.send(address, request(), Reuse::Any).await.expect("a response");
        assert_eq!(response.extensions().get::<FirstOnConnection>().is_none(), is_reused);
        body::read(response.into_body(), 1024).await.expect("a body");
    }
}

// Guards against a pool without room that waits, or that takes its own bound for a failure of the server.
#[tokio::test]
async fn a_full_pool_without_idle_connections_refuses_at_once_and_blames_nobody() {
    let second = Duration::from_secs(1);
    let settings = PoolSettings { connect_timeout: second, idle_timeout: second * 10 };
    let pool = Pool::bounded(settings, 1);
    let peers = pool.with_connect_timeout(second * 2);
    let address = serve_all().await;
    let used = pool.send(address, request(), Reuse::Any).await.expect("a response");
    for pool in [&pool, &peers] {
        let error = send(pool, address, Reuse::Any).await.expect_err("no room");
        assert!(error.is_local(), "{error}");
    }
    body::read(used.into_body(), 1024).await.expect("a body");
    assert_eq!(send(&peers, address, Reuse::Any).await, Ok("ok".into()));
}
