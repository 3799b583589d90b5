//! Placement and repair of replica groups, as a pure and deterministic function.
//!
//! - [`cluster`]: [`ClusterState`](cluster::ClusterState), the planner's input, in dense tables.
//! - [`command`]: [`Command`](command::Command), the planner's output, and a validity check.
//! - [`planner`]: [`plan`](planner::plan), which maps a cluster state to commands.
//! - [`settings`]: [`PlanSettings`](settings::PlanSettings) and the model of VM absences.
//! - [`repair`]: the choice of a repair action for a broken group.
//! - [`simulation`]: a simulated cluster that executes commands, for replays and measurements.
//! - [`trace`]: replays of recorded traces.
//!
//! ```
//! use plan::prelude::*;
//!
//! let mut cluster = ClusterState::default();
//! let fabric = cluster.add_fabric("f1", "d1");
//! for name in ["a", "b"] {
//!     cluster.add_vm(name, fabric, 8);
//! }
//! cluster.add_replica(ReplicaSpec::new("tide", 1, 2));
//! let commands = plan(&cluster, &PlanSettings::default(), Duration::ZERO, &mut Scratch::default());
//! assert_eq!(commands, [Command::Form { replica: 0, fabric: 0, vms: vec![0, 1] }]);
//! # use base::prelude::*;
//! ```

pub mod cluster;
pub mod command;
mod placement;
pub mod planner;
pub mod repair;
mod scratch;
pub mod settings;
pub mod simulation;
pub mod trace;

/// The types that most users of this crate import.
pub mod prelude {
    pub use crate::cluster::ClusterState;
    pub use crate::cluster::Group;
    pub use crate::cluster::Phase;
    pub use crate::cluster::ReplicaSpec;
    pub use crate::cluster::VmState;
    pub use crate::command::Command;
    pub use crate::command::RemovalReason;
    pub use crate::command::check;
    pub use crate::planner::plan;
    pub use crate::scratch::Scratch;
    pub use crate::settings::AbsenceModel;
    pub use crate::settings::PlanSettings;
}
