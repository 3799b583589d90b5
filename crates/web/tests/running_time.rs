//! Timeouts that count only the time during which the process ran.

use std::time::Duration;
use std::time::Instant;

use web::running_time::within;

const LIMIT: Duration = Duration::from_millis(200);
/// Time for which the process doesn't run.
const STANDSTILL: Duration = Duration::from_millis(400);

// Guards against a process that takes its own standstill for the silence of the other side.
#[tokio::test]
async fn a_standstill_of_the_process_does_not_end_a_timeout() {
    let (tx, rx) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(20)).await;
        std::thread::sleep(STANDSTILL);
        tokio::time::sleep(Duration::from_millis(20)).await;
        let _ = tx.send(7);
    });
    assert_eq!(within(LIMIT, rx).await, Some(Ok(7)));
}

// Guards against a timeout that never ends, or ends early.
#[tokio::test]
async fn a_process_that_runs_waits_for_the_time_of_the_timeout() {
    let since = Instant::now();
    assert_eq!(within(LIMIT, std::future::pending::<()>()).await, None);
    assert!((LIMIT..LIMIT * 10).contains(&since.elapsed()), "{:?}", since.elapsed());
}
