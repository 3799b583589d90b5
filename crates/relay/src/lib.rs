//! One request's life: attempts, stream integrity, resuming and outcome.
//!
//! - [`stream`]: [`Assembler`](stream::Assembler) lets only the next piece of the right attempt
//!   through.
//! - [`request`]: [`RequestMachine`](request::RequestMachine), the request's state machine: `decide(event) -> actions`.
//! - [`outcome`]: [`Outcome`](outcome::Outcome), and what may be told of it.
//! - [`trace`]: replays recorded traces through the state machine.
//!
//! All decisions are pure; the daemon carries the actions out.
//!
//! ```
//! use relay::prelude::*;
//! use std::time::Duration;
//!
//! let mut machine = RequestMachine::new(RequestParams { idempotent: true, deadline: Duration::from_secs(5) });
//! let actions = machine.decide(RequestEvent::Accepted, Duration::ZERO);
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
    pub use crate::request::NO_GROUP_RETRY_DELAY;
    pub use crate::request::RequestEvent;
    pub use crate::request::RequestMachine;
    pub use crate::request::RequestParams;
    pub use crate::stream::Assembler;
    pub use crate::stream::Verdict;
}
