//! How often processes ask a store that gives no answer.

use base::prelude::*;
use front::store_sync::max_retry_pause;

/// On the bench: vatuloa-tides-grown, trouble-3: 69 processes asked twice a second through an
/// outage.
#[test]
fn a_large_fleet_asks_a_silent_store_no_more_often_than_a_small_one() {
    for processes in [8, 73, 200] {
        let rate = processes as f64 / max_retry_pause(false, processes).as_secs_f64();
        assert!(rate <= 25.1, "{processes} processes: {rate} tries a second");
    }
    assert_eq!(max_retry_pause(false, 1_100), Duration::from_secs(8));
    assert_eq!(max_retry_pause(true, 1_100), Duration::from_millis(500), "hubs lead");
}
