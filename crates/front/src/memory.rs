//! How the memory of a process is divided.
//!
//! Bodies of requests and responses, and messages of other processes, have a budget each, so that callers
//! can't keep processes from hearing of each other. The rest is for rows of the store, connections and
//! everything else.

use web::prelude::*;

use crate::settings::Settings;

/// Share of the memory for bodies of requests and responses.
const BODY_SHARE: f64 = 0.25;
/// Share of the memory for messages of other processes.
const MESSAGE_SHARE: f64 = 0.125;
/// Smallest budget: the largest body or message fits.
const MIN_BUDGET_BYTES: f64 = (16 << 20) as f64;

/// The budgets of one process. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Memory {
    /// For bodies of requests and responses; the holders are workspaces.
    pub(crate) bodies: ByteBudget,
    /// For messages of other processes and the responses to them; the holders are their addresses.
    pub(crate) messages: ByteBudget,
}

impl From<&Settings> for Memory {
    fn from(settings: &Settings) -> Self {
        let budget = |share: f64| {
            let bytes = settings.memory_bytes * share;
            ByteBudget::new(bytes.max(MIN_BUDGET_BYTES) as usize)
        };
        Memory { bodies: budget(BODY_SHARE), messages: budget(MESSAGE_SHARE) }
    }
}
