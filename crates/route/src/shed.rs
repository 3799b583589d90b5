//! Load shedding by the fill level of the queue.
//!
//! Above a threshold, requests of the low and normal classes are refused at once, so that queued
//! requests are answered sooner. The high class is never shed.

use crate::request::Priority;

/// The policy by which load is shed.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShedPolicy {
    /// Load is never shed: requests are refused only for a full queue or their deadline.
    Off,
    /// Load is shed while the queue is filled above a threshold.
    Threshold {
        /// The fill level of the queue, from 0 to 1.
        above: f64,
    },
}

impl ShedPolicy {
    /// Returns whether a request of class `priority` is refused at the fill level `fill_level`.
    pub fn refuses(self, priority: Priority, fill_level: f64) -> bool {
        match self {
            ShedPolicy::Off => false,
            ShedPolicy::Threshold { above } => priority < Priority::High && fill_level > above,
        }
    }
}
