//! Digests that locate the differences between two states.
//!
//! The records of live members, and all facts that take part in anti-entropy, are spread over
//! [`BUCKETS`] buckets by the hash of their name or key. The digest of a bucket is the exclusive or
//! of its entries' hashes. A digest therefore has a fixed size, whatever the size of the fleet, and
//! a single difference costs the exchange of one bucket.
//!
//! Each exchange uses a new salt, so two different states whose digests collide once differ in the
//! next exchange. Dead and left members are not part of a digest, since members forget them at
//! different times. A member that is dead on one side and live on the other still shows up as a
//! difference, because the live side includes it.

use base::hash;
use base::prelude::*;

use crate::fact::Fact;
use crate::record::Instance;

/// Number of buckets.
pub const BUCKETS: usize = 128;

/// A set of buckets, one bit each.
#[key]
#[derive(Default)]
pub struct Buckets(pub u128);

impl Buckets {
    /// Adds bucket `index`.
    pub fn insert(&mut self, index: usize) {
        debug_assert!(index < BUCKETS, "bucket {index} does not exist");
        self.0 |= 1 << index;
    }

    /// Returns whether bucket `index` is in the set.
    pub fn contains(self, index: usize) -> bool {
        self.0 & (1 << index) != 0
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns the buckets of the set in ascending order.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..BUCKETS).filter(move |index| self.contains(*index))
    }
}

/// The digest of a state.
#[data]
pub struct Digest {
    /// Salt of the hashes.
    pub salt: u32,
    /// One hash for each bucket.
    pub hashes: Box<[u32]>,
}

impl Digest {
    /// Returns the digest of an empty state.
    pub fn new(salt: u32) -> Self {
        Digest { salt, hashes: vec![0; BUCKETS].into() }
    }

    /// Adds a live member.
    pub fn add_member(&mut self, name: &str, instance: Instance) {
        let entry =
            hash_of(&[instance.incarnation, instance.boot, u64::from(self.salt)], name.as_bytes());
        self.hashes[member_bucket(name)] ^= entry;
    }

    /// Adds a fact.
    pub fn add_fact(&mut self, fact: &Fact) {
        let bucket = fact_bucket(fact);
        let words = [bucket.1, fact.version, u64::from(self.salt)];
        self.hashes[bucket.0] ^= hash_of(&words, &fact.body);
    }

    /// Returns the buckets in which this digest and `other`, of the same salt, differ.
    pub fn differing(&self, other: &Digest) -> Buckets {
        debug_assert_eq!(self.salt, other.salt, "digests of different salts always differ");
        let mut differing = Buckets::default();
        for (index, (mine, theirs)) in self.hashes.iter().zip(&other.hashes).enumerate() {
            if mine != theirs {
                differing.insert(index);
            }
        }
        differing
    }
}

/// Returns the bucket of the member `name`.
pub fn member_bucket(name: &str) -> usize {
    index(hash::stable(name.as_bytes()))
}

/// Returns the bucket of a fact, and the hash of its key.
pub fn fact_bucket(fact: &Fact) -> (usize, u64) {
    let hash = hash::stable(&crate::wire::key_bytes(&fact.key));
    (index(hash), hash)
}

fn index(hash: u64) -> usize {
    usize::try_from(hash % BUCKETS as u64).unwrap_or_default()
}

fn hash_of(words: &[u64; 3], tail: &[u8]) -> u32 {
    let mut bytes = Vec::with_capacity(24 + tail.len());
    for word in words {
        bytes.extend_from_slice(&word.to_le_bytes());
    }
    bytes.extend_from_slice(tail);
    // The hash is uniform, so its lower half is as good as the whole.
    (hash::stable(&bytes) & u64::from(u32::MAX)) as u32
}
