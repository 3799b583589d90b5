//! Orders to backend servers.
//!
//! Every order carries the group and the generation that it is for: the fencing number. An
//! engine that checks it refuses an order whose generation is below the highest that it took.
//! The shell turns a [`Order::Load`] into the engine's own orders: weights, adapters, then place.

use base::prelude::*;

/// What an engine is told to do.
#[wire]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Take a rank of the group and load the model's version and adapters; done at once if they
    /// are loaded.
    Load {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// The adapters.
        adapters: Vec<AdapterId>,
        /// The rank.
        rank: u32,
        /// The VMs of all ranks, in their order.
        members: Vec<VmId>,
    },
    /// Forget the assignment.
    Release,
}

impl Order {
    /// Returns the order's name in events.
    pub fn name(&self) -> &'static str {
        match self {
            Order::Load { .. } => "load",
            Order::Release => "release",
        }
    }
}

/// An order as it is sent.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct OrderMessage {
    /// The group that it is for.
    pub group: GroupId,
    /// The fencing number.
    pub generation: Generation,
    /// What to do.
    #[serde(flatten)]
    pub order: Order,
}

/// How an order ended.
#[key]
pub enum OrderOutcome {
    /// The engine took it.
    Done,
    /// The engine has taken an order of a higher generation.
    Fenced,
    /// The engine refused it for another reason, or was not reached.
    Failed,
    /// No answer came in time: the order may still take effect.
    Unclear,
}

impl OrderOutcome {
    /// Returns the outcome's name in events.
    pub fn name(self) -> &'static str {
        match self {
            OrderOutcome::Done => "done",
            OrderOutcome::Fenced => "fenced",
            OrderOutcome::Failed => "failed",
            OrderOutcome::Unclear => "unclear",
        }
    }
}
