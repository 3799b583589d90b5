//! Orders to backend servers.
//!
//! Every order carries the group and the generation that it is for: the fencing number. An
//! engine that checks it refuses an order whose generation is below the highest that it took.

use base::prelude::*;

use crate::record::Role;

/// What an engine is told to do.
#[wire]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum Order {
    /// Take a rank of the group and load the model's version; done at once if it is loaded.
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
    /// Load one more adapter.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterId,
    },
    /// Change the role within the group.
    SetRole {
        /// The new role.
        role: Role,
    },
    /// Write a request's KV cache to where the group that resumes it can read it.
    ExportCache {
        /// The request.
        request: RequestId,
    },
    /// Read a request's KV cache that another group exported.
    ImportCache {
        /// The request.
        request: RequestId,
    },
    /// Forget the assignment.
    Release,
}

impl Order {
    /// Returns the order's name in events.
    pub fn name(&self) -> &'static str {
        match self {
            Order::Load { .. } => "load",
            Order::LoadAdapter { .. } => "load_adapter",
            Order::SetRole { .. } => "set_role",
            Order::ExportCache { .. } => "export_cache",
            Order::ImportCache { .. } => "import_cache",
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
