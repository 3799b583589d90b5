//! Stand-ins for the systems around the daemon, a load generator, and measurements.
//!
//! - [`engine`]: a stand-in model engine.
//! - [`weights`]: the weight store that engines load from.
//! - [`text`]: the text that a request must produce.

pub mod engine;
pub mod text;
pub mod weights;
