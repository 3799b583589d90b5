//! Stable hashing, and rendezvous hashing for soft ownership.
//!
//! All processes must compute the same hash for the same input, across restarts and versions, so
//! the hash is XXH3 with fixed seeds and never the standard library's randomized one.
//!
//! Ownership is soft: it depends on the candidates that the caller passes, so two processes may
//! disagree on the owner of a key while they know different candidates.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the stable 64-bit hash of `bytes`.
pub fn stable(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}

/// Returns the rendezvous-hashing weight of `candidate` for `key`; the candidate with the highest
/// weight owns the key.
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), stable(key.as_bytes()))
}

/// Returns the candidate that owns `key`, or `None` if there are no candidates.
///
/// Ties go to the greater name, so the result does not depend on the order of `candidates`.
pub fn owner<'a>(key: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    candidates.into_iter().max_by_key(|candidate| (weight(key, candidate), *candidate))
}

/// Returns the `count` candidates with the highest weights for `key`, in decreasing order of weight.
pub fn owners<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_key(|candidate| std::cmp::Reverse((weight(key, candidate), *candidate)));
    ranked.truncate(count);
    ranked
}
