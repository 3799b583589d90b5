//! Measures how late the process runs its tasks.
//!
//! All tasks share one thread. While one of them computes, requests and closed connections wait
//! unread, and whatever is measured from the time of reading, such as a caller's deadline, is late
//! by as much. The delay is how much more time than its period passes between two ticks of the
//! timer.

use base::prelude::*;
use kernel::prelude::*;

use crate::decision_log;
use crate::decision_log::Record;
use crate::metrics::Metrics;
use crate::names;

/// Time between two measurements.
const PERIOD: Duration = Duration::from_millis(100);
/// Delay from which on it is logged.
const LOGGED_DELAY: Duration = Duration::from_millis(200);

/// Shortest time between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The delays since the last line.
#[derive(Debug, Default)]
struct Unlogged {
    longest: Duration,
    total: Duration,
    times: u32,
}

/// Returns the service that measures the delay.
pub fn service() -> Service {
    Service::new(names::LOOP_DELAY, &[], run)
}

async fn run(cx: Context) -> Result<(), ServiceError> {
    let metrics: Metrics = cx.registry().lookup(names::PROCESS)?;
    let mut ticks = cx.every(PERIOD);
    cx.ready();
    ticks.tick().await;
    let mut last = cx.now();
    let mut unlogged = Unlogged::default();
    let mut next_line = Mono::ZERO;
    loop {
        tokio::select! {
            () = cx.stopping() => return Ok(()),
            () = ticks.tick() => {}
        }
        let now = cx.now();
        let delay = now.saturating_sub(last).saturating_sub(PERIOD);
        last = now;
        metrics.loop_delay_seconds.observe(delay.as_secs_f64());
        if delay >= LOGGED_DELAY {
            unlogged.longest = unlogged.longest.max(delay);
            unlogged.total += delay;
            unlogged.times += 1;
        }
        if unlogged.times > 0 && now >= next_line {
            next_line = now + LOG_INTERVAL;
            let Unlogged { longest, total, times } = std::mem::take(&mut unlogged);
            decision_log::write(&Record::RanLate {
                by_ms: decision_log::millis(longest),
                times,
                total_ms: decision_log::millis(total),
            });
        }
    }
}
