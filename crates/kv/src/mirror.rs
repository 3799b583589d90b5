//! A local copy of some prefixes of the store, kept up to date by one watch.
//!
//! The mirror lists each prefix, then watches the longest prefix that all have in common, so that
//! a process has one open call however many prefixes it follows. When the watch ends, it lists
//! again. A reader receives every change of a watch in order; after a gap between two watches it
//! receives the difference between the copy and what was listed.
//!
//! Invariants:
//! - A row of the copy is never replaced by an older revision.
//! - A reader that has been told that the copy is current as of a time has got all that was written before.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use crate::store::KvError;
use crate::store::ListResult;
use crate::store::Store;
use crate::store::Versioned;
use crate::store::WatchEvent;
use crate::store::Watched;

/// Pause before the first retry after a failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// What a mirror reports to its reader.
#[derive(Clone, Debug, PartialEq)]
pub enum MirrorEvent {
    /// A key was written, or was deleted if there is no value.
    Row {
        /// The key.
        key: Box<str>,
        /// Its new value.
        value: Option<Versioned>,
    },
    /// All prefixes were listed, and every change is received from now on.
    Synced,
    /// The copy holds all that was written until `asked_at`.
    Current {
        /// When the store was asked for it.
        asked_at: Instant,
    },
    /// The watch ended: the copy may miss changes until the next [`MirrorEvent::Synced`].
    WatchEnded,
    /// The store could not be read or watched; the copy is unchanged. Sent once per outage.
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

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Replaces all keys below `prefix` by `listed`, except rows newer than the listing, and returns
    /// the changes.
    pub fn replace(&mut self, prefix: &str, listed: &ListResult) -> Vec<WatchEvent> {
        let mut changes = Vec::new();
        let current: Vec<Box<str>> = self.keys_below(prefix);
        for key in current {
            let is_listed = listed.rows.binary_search_by(|(listed, _)| listed.cmp(&key)).is_ok();
            let is_newer = self.rows[&key].mod_revision > listed.revision;
            if !is_listed && !is_newer {
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

    /// Applies one change, and returns it unless it is outdated or changes nothing.
    pub fn apply(&mut self, event: WatchEvent) -> Option<WatchEvent> {
        match &event.value {
            None => self.rows.remove(&event.key).map(|_| event),
            Some(value) => {
                let current = self.rows.get(&event.key).map_or(0, |current| current.mod_revision);
                if value.mod_revision <= current {
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

/// Mirrors `prefixes` of `store` until the receiver of `tx` is dropped.
///
/// `rows` is what the reader knows already; only changes against it are sent. While the store is
/// unavailable, the pause between attempts doubles up to `max_backoff`.
pub async fn run(
    store: Arc<dyn Store>,
    prefixes: Vec<Box<str>>,
    mut rows: Rows,
    max_backoff: Duration,
    tx: mpsc::Sender<MirrorEvent>,
) {
    let mut backoff = INITIAL_BACKOFF;
    let mut unavailable = false;
    while !tx.is_closed() {
        let result = follow_once(&*store, &prefixes, &mut rows, &tx, &mut backoff).await;
        match result {
            Ok(()) => unavailable = false,
            Err(error) if !unavailable => {
                unavailable = true;
                if tx.send(MirrorEvent::Unavailable(error)).await.is_err() {
                    return;
                }
            }
            Err(_) => {}
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(max_backoff);
    }
}

/// Lists all prefixes, then forwards the changes of one watch until it ends.
async fn follow_once(
    store: &dyn Store,
    prefixes: &[Box<str>],
    rows: &mut Rows,
    tx: &mpsc::Sender<MirrorEvent>,
    backoff: &mut Duration,
) -> Result<(), KvError> {
    let mut from = u64::MAX;
    let asked_at = Instant::now();
    for prefix in prefixes {
        let listed = store.list(prefix).await?;
        from = from.min(listed.revision);
        send_all(tx, rows.replace(prefix, &listed)).await;
    }
    let shared: Vec<&str> = prefixes.iter().map(|prefix| &**prefix).collect();
    let mut watch = store.watch(common_prefix(&shared), from).await?;
    *backoff = INITIAL_BACKOFF;
    if tx.send(MirrorEvent::Synced).await.is_err() {
        return Ok(());
    }
    send_current(tx, asked_at).await;
    while let Some(watched) = watch.recv().await {
        match watched {
            Watched::Current { asked_at } => send_current(tx, asked_at).await,
            Watched::Change(event) => {
                if prefixes.iter().any(|prefix| event.key.starts_with(&**prefix)) {
                    send_all(tx, rows.apply(event)).await;
                }
            }
        }
    }
    // If the reader has been dropped, the loop of `run` ends.
    let _ = tx.send(MirrorEvent::WatchEnded).await;
    Ok(())
}

async fn send_current(tx: &mpsc::Sender<MirrorEvent>, asked_at: Instant) {
    // If the reader has been dropped, the loop of `run` ends.
    let _ = tx.send(MirrorEvent::Current { asked_at }).await;
}

async fn send_all(tx: &mpsc::Sender<MirrorEvent>, events: impl IntoIterator<Item = WatchEvent>) {
    for WatchEvent { key, value } in events {
        // If the reader has been dropped, the loop of `run` ends.
        let _ = tx.send(MirrorEvent::Row { key, value }).await;
    }
}
