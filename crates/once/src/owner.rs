//! Ownership of shards: which process writes the claims of a shard.
//!
//! The owner is chosen by rendezvous hashing over the processes that are considered live. Processes
//! with different views of the membership may choose different owners. Both owners then write, and
//! the compare-and-swap on the record keeps the claims consistent.

use base::hash;

/// Returns the process that owns a shard, of `me` and the live peers.
pub fn owner<'a>(shard: u32, me: &'a str, peers: impl IntoIterator<Item = &'a str>) -> &'a str {
    let processes = peers.into_iter().chain([me]);
    hash::owner(&format!("once-{shard}"), processes).unwrap_or(me)
}
