//! What a process without free descriptors finds out about others: nothing. The test is alone in its program,
//! since the limit holds for the whole process.

use std::fs::File;
use std::time::Duration;

use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;
use tokio::net::TcpListener;
use web::pool::Probe;
use web::pool::probe;
use web::prelude::*;

/// Descriptors that the process may open.
const LIMIT: u64 = 64;
const TIMEOUT: Duration = Duration::from_secs(5);

// Guards against a lack of own descriptors that is taken for a failure of a server or of the path to it.
#[tokio::test]
async fn a_lack_of_descriptors_is_not_reported_as_a_failure_of_the_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let maximum = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: Some(LIMIT), maximum }).expect("a lower limit");
    let pool = Pool::new(PoolSettings { connect_timeout: TIMEOUT, idle_timeout: TIMEOUT });
    assert_eq!(probe(address, TIMEOUT).await, Probe::Accepted);

    let all: Vec<File> = std::iter::from_fn(|| File::open("/dev/null").ok()).collect();
    assert_eq!(probe(address, TIMEOUT).await, Probe::NotTried);
    let sent = pool.send(address, http::Request::default(), Reuse::Any).await;
    let error = sent.expect_err("no descriptor is left");
    let PoolError::NotSent { cause, .. } = error else { panic!("{error}") };
    assert_eq!(cause, NotSentCause::LocalResource);
    assert!(!cause.is_evidence());

    drop(all);
    assert_eq!(probe(address, TIMEOUT).await, Probe::Accepted);
}
