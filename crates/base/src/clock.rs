//! A hybrid logical clock (HLC), which orders events across processes.
//!
//! A timestamp is a pair of wall-clock milliseconds and a counter. The timestamps of one process
//! strictly increase. A message carries its sender's timestamp, and the receiver's next timestamp
//! is greater than it, so an effect never sorts before its cause, however far the wall clocks are
//! apart.

use std::fmt;

use crate::prelude::key;

/// A timestamp of the hybrid logical clock.
#[key]
#[derive(Default)]
pub struct Hlc {
    /// Milliseconds since the Unix epoch, at least those of every timestamp seen before.
    pub millis: u64,
    /// Orders timestamps within one millisecond.
    pub count: u32,
}

impl fmt::Display for Hlc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.millis, self.count)
    }
}

/// One process's hybrid logical clock.
#[derive(Clone, Debug, Default)]
pub struct HlcClock {
    last: Hlc,
}

impl HlcClock {
    /// Returns a timestamp greater than all issued or observed before; `wall_millis` is the wall
    /// clock, in milliseconds since the Unix epoch.
    pub fn tick(&mut self, wall_millis: u64) -> Hlc {
        self.last = if wall_millis > self.last.millis {
            Hlc { millis: wall_millis, count: 0 }
        } else {
            Hlc { millis: self.last.millis, count: self.last.count + 1 }
        };
        self.last
    }

    /// Merges a timestamp received from another process, so that the next tick is greater than it.
    pub fn observe(&mut self, seen: Hlc) {
        self.last = self.last.max(seen);
    }
}
