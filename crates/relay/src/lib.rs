//! The handling of one request: attempts, stream integrity, resuming and outcome.
//!
//! - [`stream`]: [`Assembler`](stream::Assembler) passes on only the next piece of the current
//!   attempt.
//! - [`request`]: [`RequestMachine`](request::RequestMachine), the state machine of a request, with
//!   `decide(event, now) -> actions`.
//! - [`outcome`]: [`Outcome`](outcome::Outcome), how a request ended, and why.
//! - [`trace`]: replays recorded traces through the state machine.
//!
//! All decisions are pure functions of state and event; the daemon carries the actions out.
//!
//! ```
//! use relay::prelude::*;
//! use std::time::Duration;
//!
//! let params = RequestParams { idempotent: true, deadline: Duration::from_secs(5) };
//! let mut machine = RequestMachine::new(params);
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
