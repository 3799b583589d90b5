//! One request's life: attempts, stream integrity, resuming and outcome.
//!
//! - [`stream`]: [`Assembler`](stream::Assembler) lets only the next piece of the right attempt
//!   through.
//! - [`life`]: [`Life`](life::Life), the request's state machine: `decide(event) -> actions`.
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

pub mod life;
pub mod outcome;
pub mod stream;
pub mod trace;

/// The common types of this crate.
pub mod prelude {
    pub use crate::life::Action;
    pub use crate::life::Life;
    pub use crate::life::LifeEvent;
    pub use crate::life::REGROUP_PAUSE;
    pub use crate::life::RequestTerms;
    pub use crate::outcome::Failure;
    pub use crate::outcome::Outcome;
    pub use crate::stream::Assembler;
    pub use crate::stream::Verdict;
}
