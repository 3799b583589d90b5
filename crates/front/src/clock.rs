//! A clock for leases: monotonic, and it keeps running while the VM is suspended
//! (`CLOCK_BOOTTIME`).

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the VM started, suspensions included.
pub fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
