//! Orders of a group controller to an engine, with a fencing token.
//!
//! An engine that checks fencing tokens refuses an order whose generation is below the highest
//! that it has seen. Other engines execute any order.

use std::net::SocketAddr;

use base::prelude::*;

/// An order to an engine.
#[wire]
pub struct Order {
    /// The group that the order is for.
    pub group: GroupId,
    /// The fencing token.
    pub generation: Generation,
    /// The kind of order, with its parameters.
    pub kind: OrderKind,
}

/// The kinds of orders.
#[wire]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderKind {
    /// Take a rank in the group.
    Assign {
        /// The rank.
        rank: u32,
        /// The addresses at which the members listen, ordered by rank.
        members: Vec<SocketAddr>,
    },
    /// Load a version of a model from the weight store.
    Load {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// The location of the weights in the weight store.
        weights: Box<str>,
        /// Size of the weights in bytes.
        weight_bytes: u64,
    },
    /// Load an adapter from the weight store.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterId,
        /// The location of the weights in the weight store.
        weights: Box<str>,
        /// Size of the weights in bytes.
        weight_bytes: u64,
    },
    /// Leave the group and unload its weights.
    Release,
    /// Export the KV cache of a running attempt, and end the attempt at this engine.
    ExportKv {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Import the KV cache of an attempt that another engine has exported, and continue the
    /// attempt.
    ImportKv {
        /// The attempt.
        attempt: AttemptId,
        /// The address at which the exporting engine listens.
        from: SocketAddr,
    },
}

/// An engine's answer to an order.
#[wire]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum OrderAnswer {
    /// The order was executed, now or earlier.
    Done,
    /// The order is being executed; the status shows when it is done.
    Accepted,
    /// The order's fencing token is too low.
    Fenced {
        /// The highest fencing token that the engine has seen.
        highest: Generation,
    },
    /// The order failed.
    Failed {
        /// The reason.
        problem: Box<str>,
    },
}
