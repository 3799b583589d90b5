//! Connections that wait to be accepted.

use std::time::Duration;

use tokio::net::TcpStream;
use web::prelude::*;

/// Connections that wait.
const CONNECTIONS: usize = 300;
/// Time after which the first packet of a connection is sent again.
const RESEND_TIME: Duration = Duration::from_secs(1);

// Guards against connections whose first packet is dropped, and sent again after a second, while the process
// is late to accept them.
#[tokio::test]
async fn many_connections_can_wait_to_be_accepted() {
    let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let connecting = async {
        let mut waiting = Vec::new();
        for _ in 0..CONNECTIONS {
            waiting.push(TcpStream::connect(address).await.expect("connected"));
        }
        waiting
    };
    let connected = tokio::time::timeout(RESEND_TIME, connecting).await;
    assert!(connected.is_ok(), "not all of {CONNECTIONS} connections were made at once");
}
