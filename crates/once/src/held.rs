//! Answers that this process still holds for resends.
//!
//! Bounded in bytes; the oldest answers go first. An answer is given out only if its digest is the
//! recorded one.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::key::KeyHash;
use crate::key::answer_digest;

/// Answers by request key.
#[derive(Clone, Debug, Default)]
pub struct HeldAnswers {
    max_bytes: usize,
    bytes: usize,
    order: VecDeque<KeyHash>,
    answers: BTreeMap<KeyHash, Arc<[u8]>>,
}

impl HeldAnswers {
    /// Returns an empty store for up to `max_bytes` of answers.
    pub fn new(max_bytes: usize) -> Self {
        HeldAnswers { max_bytes, ..HeldAnswers::default() }
    }

    /// Holds an answer, and lets the oldest ones go. One that is too large is not held.
    pub fn hold(&mut self, key: KeyHash, answer: Arc<[u8]>) {
        if answer.len() > self.max_bytes || self.answers.contains_key(&key) {
            return;
        }
        self.bytes += answer.len();
        self.order.push_back(key);
        self.answers.insert(key, answer);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else { break };
            let gone = self.answers.remove(&oldest);
            self.bytes -= gone.map_or(0, |answer| answer.len());
        }
    }

    /// Returns the answer of a key, if it is held and has the recorded digest.
    pub fn get(&self, key: KeyHash, digest: u64) -> Option<Arc<[u8]>> {
        let answer = self.answers.get(&key)?;
        (answer_digest(answer) == digest).then(|| answer.clone())
    }

    /// Returns the digest of the answer that is held for a key.
    pub fn digest(&self, key: KeyHash) -> Option<u64> {
        self.answers.get(&key).map(|answer| answer_digest(answer))
    }

    /// Returns the bytes of all answers held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
