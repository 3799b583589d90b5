//! A copy of some prefixes of the store, kept up to date by one watch.
//!
//! The mirror lists each prefix, then watches the longest prefix that all have in common, so that
//! a process has one waiting call however many prefixes it follows. When the watch ends, it lists
//! again. A reader gets every change in order; after a gap it gets the whole of each prefix.
//!
//! Invariant: a row of the copy is never replaced by one that the store wrote earlier.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::store::KvError;
use crate::store::ListResult;
use crate::store::Store;
use crate::store::Versioned;
use crate::store::WatchEvent;

/// Pause before the first new try after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// What a mirror tells its reader.
#[derive(Clone, Debug, PartialEq)]
pub enum MirrorEvent {
    /// A key was written, or was deleted if there is no value.
    Row {
        /// The key.
        key: Box<str>,
        /// Its new value.
        value: Option<Versioned>,
    },
    /// All prefixes were read again, and the copy holds what the store held then.
    Synced,
    /// The watch ended: changes may be missing until the next [`MirrorEvent::Synced`].
    WatchEnded,
    /// The store did not answer; the copy stays as it was.
    Unavailable(KvError),
}

/// The rows of a mirror, without I/O.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    rows: BTreeMap<Box<str>, Versioned>,
}

impl FromIterator<(Box<str>, Versioned)> for Rows {
    fn from_iter<T: IntoIterator<Item = (Box<str>, Versioned)>>(rows: T) -> Self {
        Rows { rows: rows.into_iter().collect() }
    }
}

impl Rows {
    /// Returns the value of `key`.
    pub fn get(&self, key: &str) -> Option<&Versioned> {
        self.rows.get(key)
    }

    /// Returns how many keys are held.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Replaces all keys below `prefix` by `listed`; returns what changed.
    pub fn replace(&mut self, prefix: &str, listed: &ListResult) -> Vec<WatchEvent> {
        let mut changes = Vec::new();
        let held: Vec<Box<str>> = self.keys_below(prefix);
        for key in held {
            let stands = listed.rows.binary_search_by(|(listed, _)| listed.cmp(&key)).is_ok();
            let newer = self.rows[&key].mod_revision > listed.revision;
            if !stands && !newer {
                self.rows.remove(&key);
                changes.push(WatchEvent { key, value: None });
            }
        }
        for (key, value) in &listed.rows {
            let event = WatchEvent { key: key.clone(), value: Some(value.clone()) };
            changes.extend(self.apply(event));
        }
        changes
    }

    /// Applies one change; returns it unless it says nothing new.
    pub fn apply(&mut self, event: WatchEvent) -> Option<WatchEvent> {
        match &event.value {
            None => self.rows.remove(&event.key).map(|_| event),
            Some(value) => {
                let held = self.rows.get(&event.key).map_or(0, |held| held.mod_revision);
                if value.mod_revision <= held {
                    return None;
                }
                self.rows.insert(event.key.clone(), value.clone());
                Some(event)
            }
        }
    }

    fn keys_below(&self, prefix: &str) -> Vec<Box<str>> {
        let from = self.rows.range(Box::from(prefix)..);
        from.take_while(|(key, _)| key.starts_with(prefix)).map(|(key, _)| key.clone()).collect()
    }
}

/// Returns the longest prefix that all of `prefixes` share.
pub fn common_prefix<'a>(prefixes: &[&'a str]) -> &'a str {
    let Some(first) = prefixes.first() else { return "" };
    let mut len = first.len();
    for prefix in prefixes {
        let same = first.bytes().zip(prefix.bytes()).take_while(|(a, b)| a == b).count();
        len = len.min(same);
    }
    while !first.is_char_boundary(len) {
        len -= 1;
    }
    &first[..len]
}

/// Follows `prefixes` in `store` until the reader of `tx` has gone.
///
/// `rows` is what the reader knows already; it is told what has changed since. While the store gives
/// no answer, the pause between tries doubles up to `longest_pause`.
pub async fn run(
    store: Arc<dyn Store>,
    prefixes: Vec<Box<str>>,
    mut rows: Rows,
    longest_pause: Duration,
    tx: mpsc::Sender<MirrorEvent>,
) {
    let mut pause = FIRST_PAUSE;
    let mut lost = false;
    while !tx.is_closed() {
        let round = follow_once(&*store, &prefixes, &mut rows, &tx, &mut pause).await;
        match round {
            Ok(()) => lost = false,
            Err(error) if !lost => {
                lost = true;
                if tx.send(MirrorEvent::Unavailable(error)).await.is_err() {
                    return;
                }
            }
            Err(_) => {}
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(longest_pause);
    }
}

/// Lists all prefixes and follows one watch to its end.
async fn follow_once(
    store: &dyn Store,
    prefixes: &[Box<str>],
    rows: &mut Rows,
    tx: &mpsc::Sender<MirrorEvent>,
    pause: &mut Duration,
) -> Result<(), KvError> {
    let mut from = u64::MAX;
    for prefix in prefixes {
        let listed = store.list(prefix).await?;
        from = from.min(listed.revision);
        send_all(tx, rows.replace(prefix, &listed)).await;
    }
    let shared: Vec<&str> = prefixes.iter().map(|prefix| &**prefix).collect();
    let mut watch = store.watch(common_prefix(&shared), from).await?;
    *pause = FIRST_PAUSE;
    if tx.send(MirrorEvent::Synced).await.is_err() {
        return Ok(());
    }
    while let Some(event) = watch.recv().await {
        if prefixes.iter().any(|prefix| event.key.starts_with(&**prefix)) {
            send_all(tx, rows.apply(event)).await;
        }
    }
    // A reader that has gone ends the loop of `run`.
    let _ = tx.send(MirrorEvent::WatchEnded).await;
    Ok(())
}

async fn send_all(tx: &mpsc::Sender<MirrorEvent>, events: impl IntoIterator<Item = WatchEvent>) {
    for WatchEvent { key, value } in events {
        // A reader that has gone ends the loop of `run`.
        let _ = tx.send(MirrorEvent::Row { key, value }).await;
    }
}
