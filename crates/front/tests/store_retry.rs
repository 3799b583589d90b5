//! How often processes retry a store that doesn't respond.

use base::prelude::*;
use front::store_sync::max_retry_pause;

/// In the benchmark run vatuloa-tides-grown, trouble-3, each of 69 processes asked the store twice
/// a second throughout an outage. The total rate must not grow with the fleet.
#[test]
fn retry_rate_on_an_unresponsive_store_is_bounded_for_a_large_fleet() {
    for processes in [8, 73, 200] {
        let rate = processes as f64 / max_retry_pause(false, processes).as_secs_f64();
        assert!(rate <= 25.1, "{processes} processes: {rate} attempts per second");
    }
    assert_eq!(max_retry_pause(false, 1_100), Duration::from_secs(8));
    assert_eq!(
        max_retry_pause(true, 1_100),
        Duration::from_millis(500),
        "hubs keep the short pause"
    );
}
