//! One request's life: attempts, stream integrity, resuming and outcome.
//!
//! - [`stream`]: [`Assembler`](stream::Assembler) lets only the next piece of the right attempt
//!   through.
//! - [`request`]: [`Life`](request::Life), the request's state machine: `decide(event) -> actions`.
//! - [`outcome`]: [`Outcome`](outcome::Outcome), and what may be told of it.
//! - [`trace`]: replays recorded traces through the state machine.
//!
//! All decisions are pure; the daemon carries the actions out.
//!
//! ```
//! use relay::prelude::*;
//! use std::time::Duration;
//!
//! let mut life = Life::new(RequestTerms { idempotent: true, deadline: Duration::from_secs(5) });
//! let actions = life.decide(LifeEvent::Accepted, Duration::ZERO);
//! assert_eq!(actions, [Action::Pick { exclude: vec![] }]);
//! ```

pub mod outcome;
pub mod request;
pub mod stream;
pub mod trace;

/// The common types of this crate.
pub mod prelude {
    pub use crate::outcome::Failure;
    pub use crate::outcome::Outcome;
    pub use crate::request::Action;
    pub use crate::request::Life;
    pub use crate::request::LifeEvent;
    pub use crate::request::REGROUP_PAUSE;
    pub use crate::request::RequestTerms;
    pub use crate::stream::Assembler;
    pub use crate::stream::Verdict;
}
