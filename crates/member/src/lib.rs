//! Gossip-based membership of the system's own processes (not of backend servers), and
//! dissemination of small versioned facts among them.
//!
//! The protocol is a deterministic state machine: [`decide`](decide::decide) applies an
//! [`Event`](decide::Event) to a [`State`](state::State) and returns
//! [`Action`](decide::Action)s. It does no I/O, reads no clock and draws random numbers only from
//! its own seeded generator, so the same seed and events always give the same actions.
//!
//! - [`decide`]: the protocol (SWIM with extensions), its events, actions and invariants.
//! - [`settings`]: protocol periods and multipliers, and the time bounds that follow from them.
//! - [`record`]: membership records, and the order that decides between two of them.
//! - [`fact`]: versioned key-value entries with a lifetime, such as "replica group g is down".
//! - [`packet`]: the message types; [`queue`]: the queue of updates to piggyback on them.
//! - [`digest`]: digests that locate the differences between two states for anti-entropy.
//! - [`wire`] and [`seal`]: encoding and authentication of packets.
//! - [`sync`]: how a process keeps up with the revisions of the configuration.
//! - [`trace`]: replay of recorded traces.
//!
//! ```
//! use member::prelude::*;
//!
//! let location = Location {
//!     region: "pl".into(),
//!     failure_domain: "pl-1".into(),
//!     gossip: "10.0.0.1:7946".parse().unwrap(),
//!     peer: "10.0.0.1:7947".parse().unwrap(),
//! };
//! let identity = Identity { name: "node-1".into(), boot: 7, incarnation: 1000, location };
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

/// The commonly used types of this crate.
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
