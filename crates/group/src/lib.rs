//! Replica groups: their records, states and keeping.
//!
//! - [`record`]: [`FabricRecord`](record::FabricRecord), all assignments of one fabric domain, kept
//!   as one value in the key-value service, and the one table of legal moves.
//! - [`verify`]: the verifier of such a record.
//! - [`transition`]: [`Move`](transition::Move) and [`apply`](transition::apply), each one compare-and-swap.
//! - [`size`]: the size of a record at the target, and how the largest domains are split.
//! - [`settings`]: [`KeeperSettings`](settings::KeeperSettings) and the detection bound.
//! - [`controller`]: [`Keeper`](controller::Keeper), the pure state machine that probes the members,
//!   vouches for whole groups and moves groups through their states.
//! - [`probe`], [`order`]: what engines answer and are told; [`fence`]: when orders may leave.
//! - [`planner_bridge`]: between the planner's tables and records, resources and VM reports.
//! - [`weight_loads`]: [`LoadSchedule`](weight_loads::LoadSchedule), the loads of one weight store.
//! - [`routing_lease`]: vouchers from a keeper's process to all daemons.
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

pub mod controller;
pub mod fence;
pub mod order;
pub mod planner_bridge;
pub mod probe;
pub mod record;
pub mod routing_lease;
pub mod settings;
pub mod size;
pub mod trace;
pub mod transition;
pub mod verify;
pub mod view;
pub mod weight_loads;

/// The common types of this crate.
pub mod prelude {
    pub use crate::controller::Keeper;
    pub use crate::controller::KeeperAction;
    pub use crate::controller::KeeperEvent;
    pub use crate::controller::StoredRecord;
    pub use crate::controller::VmFacts;
    pub use crate::controller::VmStatus;
    pub use crate::controller::WriteOutcome;
    pub use crate::order::Order;
    pub use crate::order::OrderMessage;
    pub use crate::order::OrderOutcome;
    pub use crate::planner_bridge::FabricMoves;
    pub use crate::planner_bridge::LoadModel;
    pub use crate::planner_bridge::PlanFacts;
    pub use crate::planner_bridge::Planning;
    pub use crate::probe::Assignment;
    pub use crate::probe::Doubt;
    pub use crate::probe::Load;
    pub use crate::probe::ProbeAnswer;
    pub use crate::record::FabricRecord;
    pub use crate::record::GroupRecord;
    pub use crate::record::GroupState;
    pub use crate::record::Member;
    pub use crate::record::Role;
    pub use crate::routing_lease::GroupFacts;
    pub use crate::routing_lease::issuer::Ledger;
    pub use crate::routing_lease::table::VoucherTable;
    pub use crate::settings::KeeperSettings;
    pub use crate::transition::MemberBoot;
    pub use crate::transition::Move;
    pub use crate::transition::Purpose;
    pub use crate::transition::Target;
    pub use crate::transition::apply;
    pub use crate::transition::next_group_id;
    pub use crate::view::GroupTable;
    pub use crate::view::GroupView;
    pub use crate::weight_loads::LoadSchedule;
    pub use crate::weight_loads::LoadWish;
}
