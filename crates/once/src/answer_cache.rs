//! Cache of the answers of this process, for resubmissions of the same request.
//!
//! The cache is bounded in bytes and evicts the oldest answers first. Callers must return an answer
//! only for the request that it belongs to: to a resubmission with the same fingerprint, or for a
//! recorded digest that matches.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use base::prelude::*;

use crate::key::Fingerprint;
use crate::key::KeyHash;
use crate::key::answer_digest;

/// A cached answer.
#[data]
#[derive(Eq)]
pub struct CachedAnswer {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The answer.
    pub answer: Arc<[u8]>,
}

/// Cached answers by request key.
#[derive(Clone, Debug, Default)]
pub struct AnswerCache {
    max_bytes: usize,
    bytes: usize,
    order: VecDeque<KeyHash>,
    answers: BTreeMap<KeyHash, CachedAnswer>,
}

impl AnswerCache {
    /// Returns an empty cache for up to `max_bytes` of answers.
    pub fn new(max_bytes: usize) -> Self {
        AnswerCache { max_bytes, ..AnswerCache::default() }
    }

    /// Adds an answer and evicts the oldest ones as necessary. An answer larger than the whole
    /// cache is not added, nor is a second answer of the same key.
    pub fn insert(&mut self, key: KeyHash, cached: CachedAnswer) {
        if cached.answer.len() > self.max_bytes || self.answers.contains_key(&key) {
            return;
        }
        self.bytes += cached.answer.len();
        self.order.push_back(key);
        self.answers.insert(key, cached);
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.order.pop_front() else { break };
            let evicted = self.answers.remove(&oldest);
            self.bytes -= evicted.map_or(0, |cached| cached.answer.len());
        }
    }

    /// Returns the cached answer of a key, with the fingerprint of its request.
    pub fn find(&self, key: KeyHash) -> Option<&CachedAnswer> {
        self.answers.get(&key)
    }

    /// Returns the cached answer of a key if it has the recorded digest.
    pub fn get(&self, key: KeyHash, digest: u64) -> Option<Arc<[u8]>> {
        let cached = self.answers.get(&key)?;
        (answer_digest(&cached.answer) == digest).then(|| cached.answer.clone())
    }

    /// Returns the total size of the cached answers, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
