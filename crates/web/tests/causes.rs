//! Errors keep the text of their causes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use tokio::net::TcpListener;
use web::client::Call;
use web::prelude::*;

/// Timeout of connections and requests.
const TIMEOUT: Duration = Duration::from_secs(5);

async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

// Guards against `not sent: sending request error` without the reason, which may be on either side.
#[tokio::test]
async fn a_request_that_is_not_sent_says_why() {
    let address = closed_address().await;
    let call = Call::new(Method::GET, "/");
    let error = Client::pooled(TIMEOUT).send(address, call, TIMEOUT).await.err();
    let text = error.expect("nothing listens").to_string();
    assert!(text.contains("not sent: ") && text.contains("Connection refused"), "{text}");

    let settings = PoolSettings { connect_timeout: TIMEOUT, idle_timeout: TIMEOUT };
    let request = http::Request::get("/").body(Bytes::new()).expect("a request");
    let error = Pool::new(settings).send(address, request, Reuse::Never).await.err();
    let text = error.expect("nothing listens").to_string();
    assert!(text.contains("not sent: refused: Connection refused"), "{text}");
}
