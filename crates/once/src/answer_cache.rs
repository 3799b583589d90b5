//! Answers that this process still holds for resends.
//!
//! Bounded in bytes; the oldest answers go first. An answer is given out only for the request that
//! it belongs to: to a resend with the same fingerprint, or by its recorded digest.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use base::prelude::*;

use crate::key::Fingerprint;
use crate::key::KeyHash;
use crate::key::answer_digest;

/// One answer.
#[data]
#[derive(Eq)]
pub struct CachedAnswer {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The answer.
    pub answer: Arc<[u8]>,
}

/// Answers by request key.
#[derive(Clone, Debug, Default)]
pub struct AnswerCache {
    max_bytes: usize,
    bytes: usize,
    order: VecDeque<KeyHash>,
    answers: BTreeMap<KeyHash, CachedAnswer>,
}

impl AnswerCache {
    /// Returns an empty store for up to `max_bytes` of answers.
    pub fn new(max_bytes: usize) -> Self {
        AnswerCache { max_bytes, ..AnswerCache::default() }
    }

    /// Holds an answer, and lets the oldest ones go. One that is too large is not held.
    pub fn insert(&mut self, key: KeyHash, held: CachedAnswer) {
        if held.answer.len() > self.max_bytes || self.answers.contains_key(&key) {
            return;
        }
        self.bytes += held.answer.len();
        self.order.push_back(key);
        self.answers.insert(key, held);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else { break };
            let gone = self.answers.remove(&oldest);
            self.bytes -= gone.map_or(0, |held| held.answer.len());
        }
    }

    /// Returns what is held for a key.
    pub fn find(&self, key: KeyHash) -> Option<&CachedAnswer> {
        self.answers.get(&key)
    }

    /// Returns the answer of a key, if it is held and has the recorded digest.
    pub fn get(&self, key: KeyHash, digest: u64) -> Option<Arc<[u8]>> {
        let held = self.answers.get(&key)?;
        (answer_digest(&held.answer) == digest).then(|| held.answer.clone())
    }

    /// Returns the bytes of all answers held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
