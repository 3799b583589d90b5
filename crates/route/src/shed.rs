//! Overload control by the fill level of the queue.
//!
//! Above a fill level the low and normal classes are refused at once, so that those who wait are
//! answered sooner; the high class is never shed.

use crate::request::Priority;

/// When load is shed.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShedPolicy {
    /// Never; only the queue's bound and the deadlines refuse.
    Off,
    /// While the queue is filled above a level.
    Threshold {
        /// The fill level, 0 to 1.
        above: f64,
    },
}

impl ShedPolicy {
    /// Returns whether a request of the class is refused at this fill level of the queue.
    pub fn refuses(self, priority: Priority, fill_level: f64) -> bool {
        match self {
            ShedPolicy::Off => false,
            ShedPolicy::Threshold { above } => priority < Priority::High && fill_level > above,
        }
    }
}
