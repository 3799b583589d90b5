//! Membership of our own processes by gossip, and the small facts that they tell each other.
//!
//! A process holds a [`State`](state::State); [`decide`](decide::decide) takes an
//! [`Event`](decide::Event) and returns [`Action`](decide::Action)s. It has no clock, socket or
//! randomness of its own, so the same seed and events always give the same actions.
//!
//! - [`settings`]: periods and multipliers, and the bounds that follow from them.
//! - [`record`]: what is said of one process, and which of two claims wins.
//! - [`fact`]: small facts with a priority, such as the down of a replica group.
//! - [`packet`]: the messages between processes; [`queue`]: the updates that they pass on.
//! - [`digest`]: digests that show two processes where their states differ.
//! - [`wire`] and [`seal`]: their bytes, and the proof that a member sent them.
//! - [`sync`]: how a process keeps up with the revisions of the configuration.
//! - [`trace`]: replay of recorded traces.
//!
//! ```
//! use member::prelude::*;
//!
//! let place = Place {
//!     region: "pl".into(),
//!     failure_domain: "pl-1".into(),
//!     gossip: "10.0.0.1:7946".parse().unwrap(),
//!     peer: "10.0.0.1:7947".parse().unwrap(),
//! };
//! let identity = Identity { name: "node-1".into(), boot: 7, incarnation: 1000, place };
//! let seeds = vec!["10.0.0.2:7946".parse().unwrap()];
//! let mut state = State::new(Settings::default(), identity, seeds, 42);
//! let actions = decide(&mut state, Event::Tick, Duration::from_millis(100));
//! assert!(matches!(actions[0], Action::Send { .. }));
//! ```

mod anti_entropy;
pub mod decide;
pub mod digest;
pub mod fact;
mod facts;
pub mod packet;
mod probe;
pub mod queue;
mod raw;
pub mod record;
pub mod seal;
pub mod settings;
pub mod state;
pub mod sync;
pub mod trace;
pub mod wire;

/// The common types of this crate.
pub mod prelude {
    pub use base::prelude::*;

    pub use crate::decide::Action;
    pub use crate::decide::Event;
    pub use crate::decide::decide;
    pub use crate::fact::Fact;
    pub use crate::fact::FactKey;
    pub use crate::packet::Message;
    pub use crate::packet::Packet;
    pub use crate::record::Identity;
    pub use crate::record::Instance;
    pub use crate::record::Location;
    pub use crate::record::MemberRecord;
    pub use crate::record::Status;
    pub use crate::seal::DropReason;
    pub use crate::seal::Seal;
    pub use crate::settings::Settings;
    pub use crate::state::Peer;
    pub use crate::state::State;
}
