//! Overload control by the fill level of the queue: two ways to decide what to refuse early.
//!
//! Both turn the fill level into a *shed level* from 0 (nothing is refused) to [`MAX_LEVEL`]. A
//! level refuses a fraction of the low class first, then of the normal class; the high class is
//! never shed. Which requests of a class are refused is drawn, so no caller is hit for good.
//!
//! - *Threshold*: full shedding above one fill level, none below it.
//! - *Three segments* (S3-TM, section 5.2.2): the level rises by one an adaptation period while
//!   the queue is in the overload segment and has not shrunk, falls by one while it is in the
//!   ideal segment and has not grown, and stays in the stable segment.

use base::prelude::*;

use crate::need::Priority;

/// The highest shed level: all of the low and normal classes are refused.
pub const MAX_LEVEL: u32 = 20;
/// Levels that are spent on one class.
const LEVELS_PER_CLASS: u32 = MAX_LEVEL / 2;
/// Time between changes of the level.
pub const ADAPT_PERIOD: Duration = Duration::from_millis(200);

/// How the shed level follows the fill level.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShedPolicy {
    /// Nothing is shed; only the queue's bound and the deadlines refuse.
    Off,
    /// All of the low and normal classes are shed above a fill level.
    Threshold {
        /// The fill level, 0 to 1.
        above: f64,
    },
    /// The three segments of S3-TM, section 5.2.2.
    ThreeSegments {
        /// Fill level at which the stable segment begins, 0 to 1.
        ideal: f64,
        /// Fill level at which the overload segment begins, 0 to 1.
        overload: f64,
    },
}

/// The state of overload control.
#[data]
pub struct Shed {
    policy: ShedPolicy,
    level: u32,
    adapted_at: Mono,
    last_fullness: f64,
}

impl Shed {
    /// Starts without shedding.
    pub fn new(policy: ShedPolicy) -> Self {
        Shed { policy, level: 0, adapted_at: Duration::ZERO, last_fullness: 0.0 }
    }

    /// Returns the current shed level.
    pub fn level(&self) -> u32 {
        self.level
    }

    /// Follows the queue's fill level.
    pub fn adapt(&mut self, fullness: f64, now: Mono) {
        match self.policy {
            ShedPolicy::Off => {}
            ShedPolicy::Threshold { above } => {
                self.level = if fullness > above { MAX_LEVEL } else { 0 };
            }
            ShedPolicy::ThreeSegments { ideal, overload } => {
                if now.saturating_sub(self.adapted_at) < ADAPT_PERIOD {
                    return;
                }
                self.adapted_at = now;
                if fullness >= overload && fullness >= self.last_fullness {
                    self.level = (self.level + 1).min(MAX_LEVEL);
                } else if fullness < ideal && fullness <= self.last_fullness {
                    self.level = self.level.saturating_sub(1);
                }
                self.last_fullness = fullness;
            }
        }
    }

    /// Returns whether a request of the class is refused; `draw` is a random number.
    pub fn refuses(&self, priority: Priority, draw: u64) -> bool {
        let levels = match priority {
            Priority::High => 0,
            Priority::Normal => self.level.saturating_sub(LEVELS_PER_CLASS),
            Priority::Low => self.level.min(LEVELS_PER_CLASS),
        };
        draw % u64::from(LEVELS_PER_CLASS) < u64::from(levels)
    }
}
