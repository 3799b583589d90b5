//! Placement and repair of replica groups, as a pure and deterministic function.
//!
//! - [`world`]: [`World`](world::World), all that the planner knows, in dense tables.
//! - [`command`]: [`Command`](command::Command), what it wants done, and the check of a plan.
//! - [`planner`]: [`plan`](planner::plan), from a world to commands.
//! - [`settings`]: [`PlanSettings`](settings::PlanSettings) and the outlook on missing members.
//! - [`repair`]: the choice among the ways to repair a broken group.
//! - [`fleet`]: a stand-in that carries commands out, for replays and measurements.
//! - [`trace`]: replays of recorded traces.
//!
//! ```
//! use plan::prelude::*;
//!
//! let mut world = World::default();
//! let fabric = world.add_fabric("f1", "d1");
//! for name in ["a", "b"] {
//!     world.add_vm(name, fabric, 8);
//! }
//! world.add_replica(ReplicaNeed::new("tide", 1, 2));
//! let commands = plan(&world, &PlanSettings::default(), Duration::ZERO, &mut Scratch::default());
//! assert_eq!(commands, [Command::Form { replica: 0, fabric: 0, vms: vec![0, 1] }]);
//! # use base::prelude::*;
//! ```

pub mod command;
pub mod fleet;
mod place;
pub mod planner;
pub mod repair;
mod scratch;
pub mod settings;
pub mod trace;
pub mod world;

/// The common types of this crate.
pub mod prelude {
    pub use crate::command::Command;
    pub use crate::command::Reason;
    pub use crate::command::check;
    pub use crate::planner::plan;
    pub use crate::scratch::Scratch;
    pub use crate::settings::Outlook;
    pub use crate::settings::PlanSettings;
    pub use crate::world::Group;
    pub use crate::world::Phase;
    pub use crate::world::ReplicaNeed;
    pub use crate::world::VmState;
    pub use crate::world::World;
}
