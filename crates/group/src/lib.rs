//! Replica groups: their records, states and control.
//!
//! A replica group is a set of VMs that together serve one copy of a model. Its members, ordered by
//! rank, belong to one fabric domain, whose VMs are connected by a fast interconnect. Rank 0
//! receives the group's requests. A [`record`] in the key-value service assigns the VMs of a
//! domain to groups. The group controller ([`controller`]) of the domain probes the members, orders
//! them to load weights, and grants daemons time-limited routing leases ([`routing_lease`]) for
//! healthy groups.
//!
//! - [`record`]: [`FabricRecord`](record::FabricRecord), all assignments of one fabric domain, kept
//!   as one value in the key-value service, and the table of allowed state transitions.
//! - [`verify`]: the verifier of such a record.
//! - [`transition`]: [`Transition`](transition::Transition) and [`apply`](transition::apply); each
//!   transition is one compare-and-swap.
//! - [`size`]: the size of the largest records, and how large domains are split.
//! - [`settings`]: [`ControllerSettings`](settings::ControllerSettings) and the detection bound.
//! - [`controller`]: [`GroupController`](controller::GroupController), the pure state machine that
//!   probes the members, grants routing leases for healthy groups and takes groups through their
//!   states.
//! - [`probe`], [`order`]: the answers of engines to probes, and the orders to engines; [`fence`]:
//!   when orders may be sent.
//! - [`planner_bridge`]: conversion between the planner's tables and records, resources and VM
//!   reports.
//! - [`weight_loads`]: [`WeightLoadScheduler`](weight_loads::WeightLoadScheduler), which schedules
//!   the loads from one weight store.
//! - [`routing_lease`]: routing leases, granted by a controller's process to all daemons.
//! - [`trace`]: replays of recorded traces, in a simulation of engines, controllers and daemons.
//! - [`view`]: [`GroupView`](view::GroupView), one group as routing sees it.
//!
//! ```
//! use group::prelude::*;
//!
//! let empty = FabricRecord::empty("f1".into());
//! let spec = GroupSpec {
//!     replica: "tide".into(),
//!     model: "tide".into(),
//!     version: "v1".into(),
//!     adapters: vec![],
//! };
//! let form = Transition::Form { spec, vms: vec!["a".into(), "b".into()] };
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
    pub use crate::controller::ControllerAction;
    pub use crate::controller::ControllerEvent;
    pub use crate::controller::GroupController;
    pub use crate::controller::StoredRecord;
    pub use crate::controller::VmConfig;
    pub use crate::controller::VmStatus;
    pub use crate::controller::WriteOutcome;
    pub use crate::order::Order;
    pub use crate::order::OrderMessage;
    pub use crate::order::OrderOutcome;
    pub use crate::planner_bridge::FabricTransitions;
    pub use crate::planner_bridge::LoadTimeModel;
    pub use crate::planner_bridge::PlannerBridge;
    pub use crate::planner_bridge::PlannerInputs;
    pub use crate::probe::Assignment;
    pub use crate::probe::Load;
    pub use crate::probe::ProbeAnswer;
    pub use crate::probe::UnhealthyReason;
    pub use crate::record::FabricRecord;
    pub use crate::record::GroupRecord;
    pub use crate::record::GroupState;
    pub use crate::record::Member;
    pub use crate::record::Role;
    pub use crate::routing_lease::GroupEndpoint;
    pub use crate::routing_lease::issuer::LeaseIssuer;
    pub use crate::routing_lease::table::RoutingLeaseTable;
    pub use crate::settings::ControllerSettings;
    pub use crate::transition::GroupRef;
    pub use crate::transition::GroupSpec;
    pub use crate::transition::MemberBoot;
    pub use crate::transition::Transition;
    pub use crate::transition::apply;
    pub use crate::transition::next_group_id;
    pub use crate::view::GroupTable;
    pub use crate::view::GroupView;
    pub use crate::weight_loads::WeightLoadRequest;
    pub use crate::weight_loads::WeightLoadScheduler;
}
