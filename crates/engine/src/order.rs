//! What a keeper tells an engine to do, with the fencing number.
//!
//! An engine that checks fencing numbers refuses an order whose generation is below the highest
//! that it has seen. Others carry it out whatever the number.

use std::net::SocketAddr;

use base::prelude::*;

/// An order.
#[wire]
pub struct Order {
    /// The group that the order is for.
    pub group: GroupId,
    /// The fencing number.
    pub generation: Generation,
    /// What to do.
    pub kind: OrderKind,
}

/// What an order asks for.
#[wire]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderKind {
    /// Take a place in the group.
    Assign {
        /// The rank.
        rank: u32,
        /// Where the members listen, by rank.
        members: Vec<SocketAddr>,
    },
    /// Load a version of a model from the weight store.
    Load {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// Where the weight store keeps the weights.
        weights: Box<str>,
        /// Size of the weights in bytes.
        weight_bytes: u64,
    },
    /// Load an adapter from the weight store.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterId,
        /// Where the weight store keeps the weights.
        weights: Box<str>,
        /// Size of the weights in bytes.
        weight_bytes: u64,
    },
    /// Leave the group and unload.
    Release,
    /// Export the KV cache of a running attempt and end it here.
    ExportKv {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Import the KV cache of an attempt that another engine has exported, and go on with it.
    ImportKv {
        /// The attempt.
        attempt: AttemptId,
        /// Where the exporting engine listens.
        from: SocketAddr,
    },
}

/// An engine's answer to an order.
#[wire]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum OrderAnswer {
    /// The order was carried out, or had been before.
    Done,
    /// The order is being carried out; the status tells when it is done.
    Accepted,
    /// The order's fencing number is too low.
    Fenced {
        /// The highest that the engine has seen.
        highest: Generation,
    },
    /// The order failed.
    Failed {
        /// Why.
        problem: Box<str>,
    },
}
