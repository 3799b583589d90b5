//! The limit on the rows that a hub sends: what processes that ask at once leave of the link.

use base::prelude::*;
use rows::prelude::*;

/// Link of a small VM: 20 Mbit/s.
const LINK_BYTES_PER_SECOND: usize = 2_500_000;
/// Processes that share a hub.
const PROCESSES: usize = 26;
/// Time between two requests of each of them.
const INTERVAL: Duration = Duration::from_millis(312);

/// Has all processes ask for `bytes` until each has got them `versions` times; returns the longest
/// time that a packet waited behind rows, and when the last process was done.
fn distribute(bytes: usize, versions: usize) -> (Duration, Duration) {
    let mut limiter = BulkLimiter::new(LINK_BYTES_PER_SECOND as f64);
    let mut got = vec![0; PROCESSES];
    let mut link_free_at = Duration::ZERO;
    let mut longest_wait = Duration::ZERO;
    for round in 0.. {
        for (i, got) in got.iter_mut().enumerate().filter(|(_, got)| **got < versions) {
            let now =
                INTERVAL * round + INTERVAL * u32::try_from(i).expect("small") / PROCESSES as u32;
            if !limiter.try_send(bytes, now) {
                continue;
            }
            *got += 1;
            let sending = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_SECOND as f64);
            link_free_at = link_free_at.max(now) + sending;
            longest_wait = longest_wait.max(link_free_at - now);
        }
        if got.iter().all(|got| *got == versions) {
            break;
        }
    }
    (longest_wait, link_free_at)
}

// Issue 20: a large configuration filled the link of a small VM for seconds, and the closing of
// callers' connections waited behind it.
#[test]
fn a_configuration_that_all_processes_ask_for_leaves_room_on_the_link() {
    for kilobytes in [20, 50, 300, 1_000] {
        let (wait, end) = distribute(kilobytes << 10, 3);
        let one = Duration::from_secs_f64((kilobytes << 10) as f64 / LINK_BYTES_PER_SECOND as f64);
        let bound = Duration::from_millis(100) + one;
        assert!(wait <= bound, "{kilobytes} KB: a packet waits for {wait:?}");
        let all = one * (PROCESSES * 3) as u32;
        assert!(end <= all * 3 + INTERVAL, "{kilobytes} KB: all rows take {end:?}");
    }
}

#[test]
fn small_responses_are_never_refused() {
    let mut limiter = BulkLimiter::new(10_000.0);
    assert!((0..1_000).all(|_| limiter.try_send(1_000, Duration::from_secs(1))));
    assert!(!limiter.try_send(100_000, Duration::from_secs(1)), "the bucket has a debt");
    assert!(limiter.try_send(100_000, Duration::from_secs(1_000)), "the bucket is full");
}
