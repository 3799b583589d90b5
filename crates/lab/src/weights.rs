//! The stand-in weight store: all loads share one rate and are served in order of arrival.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;

/// A weight store. Clones share its rate.
#[derive(Clone, Debug)]
pub struct WeightStore {
    bytes_per_second: f64,
    queue: Arc<Mutex<()>>,
}

impl WeightStore {
    /// Makes a store with a total rate of `bytes_per_second`.
    pub fn new(bytes_per_second: f64) -> Self {
        WeightStore { bytes_per_second, queue: Arc::default() }
    }

    /// Loads `bytes` once all earlier loads have finished.
    pub async fn load(&self, bytes: u64) {
        let _turn = self.queue.lock().await;
        let seconds = bytes as f64 / self.bytes_per_second;
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    }
}
