//! The hybrid logical clock that orders events over processes.
//!
//! A stamp is wall-clock milliseconds and a counter. A process's stamps strictly increase; a
//! message carries its sender's stamp, and the receiver's next stamp is greater than it. So an
//! effect never sorts before its cause, however far the wall clocks are apart.

use std::fmt;

use crate::prelude::key;

/// A stamp of the hybrid logical clock.
#[key]
#[derive(Default)]
pub struct Hlc {
    /// Milliseconds since the Unix epoch, at least those of every stamp seen before.
    pub millis: u64,
    /// Orders stamps within one millisecond.
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
    /// Returns a stamp greater than all before, given the wall clock in milliseconds.
    pub fn tick(&mut self, wall_millis: u64) -> Hlc {
        self.last = if wall_millis > self.last.millis {
            Hlc { millis: wall_millis, count: 0 }
        } else {
            Hlc { millis: self.last.millis, count: self.last.count + 1 }
        };
        self.last
    }

    /// Notes a stamp received from another process, so that the next tick is greater than it.
    pub fn observe(&mut self, seen: Hlc) {
        self.last = self.last.max(seen);
    }
}
