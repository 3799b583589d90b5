//! Timeouts that count only the time during which the process ran.
//!
//! A process that doesn't run, because it computes, has used up its share of the processor, or is suspended,
//! sees nothing of what arrives meanwhile. A timeout of the clock would pass in that time and be taken for a
//! failure of the other side. So time is counted in short steps, and a step that ends late counts as one step.

use std::time::Duration;
use std::time::Instant;

/// Length of a step. A delay shorter than it isn't noticed.
const STEP: Duration = Duration::from_millis(50);

/// Waits for `next` for the time `limit` of the process's running; returns `None` if that passes.
pub async fn within<T>(limit: Duration, next: impl Future<Output = T>) -> Option<T> {
    let mut next = std::pin::pin!(next);
    let mut left = limit;
    while !left.is_zero() {
        let step = STEP.min(left);
        let since = Instant::now();
        if let Ok(ready) = tokio::time::timeout(step, &mut next).await {
            return Some(ready);
        }
        left = left.saturating_sub(since.elapsed().min(step));
    }
    None
}
