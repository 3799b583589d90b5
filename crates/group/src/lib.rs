//! Replica groups: their records, states and keeping.
//!
//! - [`record`]: [`FabricRecord`](record::FabricRecord), all assignments of one fabric domain, kept
//!   as one value in the key-value service, and the one table of legal moves.
//! - [`verify`]: the verifier of such a record.
//! - [`moves`]: [`Move`](moves::Move) and [`apply`](moves::apply), each one compare-and-swap.
//! - [`size`]: the size of a record at the target, and how the largest domains are split.
//! - [`settings`]: [`KeeperSettings`](settings::KeeperSettings) and the detection bound.
//! - [`keeper`]: [`Keeper`](keeper::Keeper), the pure state machine that probes the members,
//!   vouches for whole groups and moves groups through their states.
//! - [`probe`], [`order`]: what engines answer and are told; [`fence`]: when orders may leave.
//! - [`planning`]: between the planner's tables and records, resources and VM reports.
//! - [`loads`]: [`LoadSchedule`](loads::LoadSchedule), the loads of one weight store.
//! - [`vouch`]: vouchers from a keeper's process to all daemons.
//! - [`trace`]: replays of recorded traces, in a small world of engines, keepers and daemons.
//! - [`view`]: [`GroupView`](view::GroupView), what routing knows of one group.
//!
//! ```
//! use group::prelude::*;
//!
//! let empty = FabricRecord::empty("f1".into());
//! let purpose = Purpose {
//!     replica: "tide".into(),
//!     model: "tide".into(),
//!     version: "v1".into(),
//!     adapters: vec![],
//! };
//! let form = Move::Form { purpose, vms: vec!["a".into(), "b".into()] };
//! let record = apply(&empty, &form, 7)?;
//! assert_eq!(record.groups[0].state, GroupState::Forming);
//! # Ok::<(), base::prelude::Findings>(())
//! ```

pub mod fence;
pub mod keeper;
pub mod loads;
pub mod moves;
pub mod order;
pub mod planning;
pub mod probe;
pub mod record;
pub mod settings;
pub mod size;
pub mod trace;
pub mod verify;
pub mod view;
pub mod vouch;

/// The common types of this crate.
pub mod prelude {
    pub use crate::keeper::Keeper;
    pub use crate::keeper::KeeperAction;
    pub use crate::keeper::KeeperEvent;
    pub use crate::keeper::StoredRecord;
    pub use crate::keeper::VmFacts;
    pub use crate::keeper::VmStatus;
    pub use crate::keeper::WriteOutcome;
    pub use crate::loads::LoadSchedule;
    pub use crate::loads::LoadWish;
    pub use crate::moves::MemberBoot;
    pub use crate::moves::Move;
    pub use crate::moves::Purpose;
    pub use crate::moves::Target;
    pub use crate::moves::apply;
    pub use crate::moves::next_group_id;
    pub use crate::order::Order;
    pub use crate::order::OrderMessage;
    pub use crate::order::OrderOutcome;
    pub use crate::planning::FabricMoves;
    pub use crate::planning::LoadModel;
    pub use crate::planning::PlanFacts;
    pub use crate::planning::Planning;
    pub use crate::probe::Assignment;
    pub use crate::probe::Doubt;
    pub use crate::probe::Load;
    pub use crate::probe::ProbeAnswer;
    pub use crate::record::FabricRecord;
    pub use crate::record::GroupRecord;
    pub use crate::record::GroupState;
    pub use crate::record::Member;
    pub use crate::record::Role;
    pub use crate::settings::KeeperSettings;
    pub use crate::view::GroupTable;
    pub use crate::view::GroupView;
    pub use crate::vouch::GroupFacts;
    pub use crate::vouch::ledger::Ledger;
    pub use crate::vouch::table::VoucherTable;
}
