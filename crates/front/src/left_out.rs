//! Which entries of the store were left out, so that each is logged once and not at every read.

use std::collections::HashSet;

use base::hash::stable;
use base::prelude::*;

use crate::decision_log;
use crate::decision_log::Record;

/// Number of entries that are remembered.
const MAX_ENTRIES: usize = 4_096;

/// The entries that were logged, as hashes of their keys and contents.
#[derive(Debug, Default)]
pub struct LeftOut {
    logged: HashSet<u64>,
}

impl LeftOut {
    /// Logs why the entry under `key` was left out, unless an entry with this `content` was before.
    pub(crate) fn log(&mut self, key: &str, content: &[u8], findings: &Findings) {
        if self.is_new(key, content) {
            decision_log::write(&Record::LeftOut { key, findings });
        }
    }

    fn is_new(&mut self, key: &str, content: &[u8]) -> bool {
        if self.logged.len() >= MAX_ENTRIES {
            self.logged.clear();
        }
        let entry = [stable(key.as_bytes()).to_be_bytes(), stable(content).to_be_bytes()];
        self.logged.insert(stable(&entry.concat()))
    }
}
