//! Who writes the claims of a shard.
//!
//! Rendezvous hashing over the processes that are held live picks one. Processes whose views
//! differ may pick different ones; both then write, and the compare-and-swap decides.

use base::hash;

/// Returns the process that owns a shard, of `me` and the live peers.
pub fn owner<'a>(shard: u32, me: &'a str, peers: impl IntoIterator<Item = &'a str>) -> &'a str {
    let processes = peers.into_iter().chain([me]);
    hash::owner(&format!("once-{shard}"), processes).unwrap_or(me)
}
