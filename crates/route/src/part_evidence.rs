//! What crashes say of a prompt with suspect parts, and for how long it is refused.
//!
//! See [`prompt_parts`](crate::prompt_parts). A refusal that is wrong can be cleared only by a prompt that is sent all the
//! same, and one that is right costs a server with each such trial. The rule of the platform lets three requests with a part
//! at fault follow later than some seconds after its fifth crash.

use base::prelude::*;

use crate::prompt_parts::CRASHES_TO_REFUSE;
use crate::quarantine::QUARANTINE_LIFETIME;

/// What speaks for a refusal.
#[data]
#[derive(Copy)]
pub struct Evidence {
    /// Number of crashes.
    pub crashes: usize,
    /// Number of these crashes that are left if a part is at fault that the prompt lacks.
    pub unexplained: usize,
    /// Which of the suspects the prompt holds.
    pub held: Held,
    /// Whether the suspects may be sound: another part was there in several of these crashes, or answers to prompts with each
    /// of them have begun before.
    pub is_doubtful: bool,
}

/// Which of some suspects a prompt holds.
#[data]
#[derive(Copy)]
pub enum Held {
    /// All of them.
    All,
    /// No more than the square root of their number, so that few such prompts are enough to find the one at fault.
    Few,
    /// Others, among them the one that stands deepest, which is the most specific one.
    Deepest,
    /// Others.
    Others,
}

impl Evidence {
    /// Returns the time after the last crash in which such a prompt is refused.
    ///
    /// A prompt that holds all suspects would most likely crash another server, unless a part that it lacks explains
    /// the crashes. One that lacks a suspect is sent unless so many of its like have crashed servers that each further one
    /// would be too many. In seconds, each table begins with the pause after the number of crashes beside it; before, there is
    /// none, and what follows the table lasts as long as a quarantine. After seven crashes all pauses are minutes, so two
    /// requests follow the fifth crash by then, and one more if two are tried at the same time.
    pub fn pause(self) -> Duration {
        let (table, first): (&[u64], usize) = match (self.held, self.is_doubtful) {
            (Held::All, _) if self.unexplained < CRASHES_TO_REFUSE => (&[8, 256], 6),
            (Held::All, false) => (&[60, 120, 240, 480], CRASHES_TO_REFUSE),
            (Held::All, true) => (&[2, 2, 4, 16, 256], CRASHES_TO_REFUSE),
            (Held::Few, _) => (&[256], 7),
            (Held::Deepest, _) => (&[4, 256], 6),
            (Held::Others, _) => (&[256], 7),
        };
        let seconds = match self.crashes.checked_sub(first) {
            None => 0,
            Some(index) => table.get(index).copied().unwrap_or(QUARANTINE_LIFETIME.as_secs()),
        };
        Duration::from_secs(seconds)
    }
}
