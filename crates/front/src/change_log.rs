//! The last change of each of many things, numbered, so that another process gets those that it lacks.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;

/// The number of a change; numbers start at 1.
pub type ChangeNumber = u64;

/// The changes.
#[derive(Debug)]
pub struct ChangeLog<K> {
    last: ChangeNumber,
    changes: BTreeMap<ChangeNumber, K>,
    numbers: HashMap<K, ChangeNumber>,
}

impl<K> Default for ChangeLog<K> {
    fn default() -> Self {
        ChangeLog { last: 0, changes: BTreeMap::new(), numbers: HashMap::new() }
    }
}

impl<K: Copy + Eq + Hash> ChangeLog<K> {
    /// Numbers a change of `key`, in place of its last one.
    pub fn record(&mut self, key: K) {
        self.last += 1;
        self.changes.insert(self.last, key);
        if let Some(old) = self.numbers.insert(key, self.last) {
            self.changes.remove(&old);
        }
    }

    /// Returns the number of the last change; 0 before the first.
    pub fn last(&self) -> ChangeNumber {
        self.last
    }

    /// Returns the changes after the change `after`, with their numbers.
    pub fn since(&self, after: ChangeNumber) -> impl Iterator<Item = (ChangeNumber, K)> + '_ {
        self.changes.range(after.saturating_add(1)..).map(|(number, key)| (*number, *key))
    }

    /// Drops the changes of all other keys.
    pub fn retain(&mut self, is_kept: impl Fn(K) -> bool) {
        self.changes.retain(|_, key| is_kept(*key));
        self.numbers.retain(|key, _| is_kept(*key));
    }
}
