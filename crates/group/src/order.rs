//! Orders to backend servers.
//!
//! Every order carries the group and its generation, which serves as the fencing token. An engine
//! that checks it refuses an order whose generation is below the highest that it has accepted.
//! The daemon translates an [`Order::Load`] into the engine protocol's own orders: first the
//! weights, then the adapters, then the rank in the group.

use base::prelude::*;

/// An order to an engine.
#[wire]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Take a rank in the group and load the model's version and adapters. Completes at once if
    /// they are loaded already.
    Load {
        /// The model.
        model: ModelId,
        /// The version.
        version: VersionId,
        /// The adapters.
        adapters: Vec<AdapterId>,
        /// The rank.
        rank: u32,
        /// The VMs of all members, ordered by rank.
        members: Vec<VmId>,
    },
    /// Give up the assignment.
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
    /// The fencing token.
    pub generation: Generation,
    /// The order itself.
    #[serde(flatten)]
    pub order: Order,
}

/// The outcome of an order.
#[key]
pub enum OrderOutcome {
    /// The engine accepted it.
    Done,
    /// The engine refused it because it has accepted an order of a higher generation.
    Fenced,
    /// The engine refused it for another reason, or could not be reached.
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
