//! What a process, mostly a hub, sends to others of its rows.

use std::collections::BTreeMap;

use base::prelude::*;

use crate::cache::RowCache;
use crate::cache::RowChange;
use crate::limiter::BulkLimiter;
use crate::limiter::SMALL_BYTES;
use crate::message::Answer;
use crate::message::ChangesRequest;
use crate::message::Row;
use crate::message::RowsRequest;
use crate::patch::LARGE_BYTES;
use crate::patch::Patch;
use crate::patch::Patches;

/// Age of rows up to which they count as the current content of the store.
const MAX_FRESH_AGE: Duration = Duration::from_millis(800);

/// Returns whether rows that matched the store `age` ago count as its current content.
pub fn is_fresh(age: Option<Duration>) -> bool {
    age.is_some_and(|age| age < MAX_FRESH_AGE)
}

/// What a process sends to others, and how much.
#[derive(Debug)]
pub struct Feed {
    limiter: BulkLimiter,
    patches: Patches,
}

impl Feed {
    /// Creates the feed of a process whose link carries `link_bytes_per_second`.
    pub fn new(link_bytes_per_second: f64) -> Self {
        Feed { limiter: BulkLimiter::new(link_bytes_per_second), patches: Patches::default() }
    }

    /// Returns the answer to a request that asks for no rows.
    pub fn nothing(cache: &RowCache, now: Mono) -> Answer {
        Answer {
            boot: cache.boot,
            number: cache.last_change(),
            age_ms: cache.age(now).map(millis),
            rows: Vec::new(),
            patches: Vec::new(),
            whole_at: None,
        }
    }

    /// Returns the answer to a request for changes. `None` if it asks for another cache, so that it gets the whole
    /// one, and the link can't take that now.
    pub fn changes(
        &mut self,
        cache: &RowCache,
        asked: &ChangesRequest,
        now: Mono,
    ) -> Option<Answer> {
        let is_known = asked.boot == cache.boot;
        let mut rows = cache.changes_since(if is_known { asked.number } else { 0 });
        if is_known {
            rows.retain(|row| !has(asked, row));
        }
        let (rows, patches, is_complete) = self.limit(cache, rows, asked.large.as_ref(), now);
        if !is_known && !is_complete {
            return None;
        }
        Some(Answer {
            boot: cache.boot,
            number: if is_complete { cache.last_change() } else { asked.number },
            age_ms: cache.age(now).filter(|_| is_complete).map(millis),
            rows,
            patches,
            whole_at: (!is_known).then(|| cache.revision()),
        })
    }

    /// Returns the answer to a request for the rows that the sender lacks.
    pub fn difference(&mut self, cache: &RowCache, asked: &RowsRequest, now: Mono) -> Answer {
        let age = cache.age(now);
        let rows = cache.difference(&asked.versions, is_fresh(age));
        let versions = asked.takes_patches.then_some(&asked.versions);
        let (rows, patches, is_complete) = self.limit(cache, rows, versions, now);
        Answer {
            boot: cache.boot,
            number: cache.last_change(),
            age_ms: age.filter(|_| is_complete).map(millis),
            rows,
            patches,
            whole_at: None,
        }
    }

    /// Returns which of `rows` are sent now, and whether these are all. If the link can't take all of
    /// them, the first small ones are sent, so that a large row doesn't hold them back. Large ones are sent as
    /// differences from the `versions` that the receiver has, if it takes that.
    fn limit(
        &mut self,
        cache: &RowCache,
        rows: Vec<RowChange>,
        versions: Option<&BTreeMap<Box<str>, u64>>,
        now: Mono,
    ) -> (Vec<Row>, Vec<Patch>, bool) {
        let (mut patches, mut whole) = (Vec::new(), Vec::new());
        for row in rows {
            match versions.and_then(|versions| self.patch(cache, &row, versions)) {
                Some(patch) => patches.push(patch),
                None => whole.push(row),
            }
        }
        let bytes: usize = whole.iter().map(RowChange::size).sum();
        let patch_bytes: usize = patches.iter().map(Patch::size).sum();
        let is_complete = self.limiter.try_send(bytes + patch_bytes, now);
        if !is_complete {
            let mut bytes = 0;
            let mut fits = |size: usize| {
                let fits = bytes + size <= SMALL_BYTES;
                bytes += if fits { size } else { 0 };
                fits
            };
            whole.retain(|row| fits(row.size()));
            patches.retain(|patch| fits(patch.size()));
            self.limiter.try_send(bytes, now);
        }
        // Only what is sent is copied.
        (whole.into_iter().map(Row::from).collect(), patches, is_complete)
    }

    /// Returns a large row as a difference from the version that the receiver has.
    fn patch(
        &mut self,
        cache: &RowCache,
        row: &RowChange,
        versions: &BTreeMap<Box<str>, u64>,
    ) -> Option<Patch> {
        let value = row.value.as_ref().filter(|value| value.value.len() >= LARGE_BYTES)?;
        let base = versions.get(&row.key).and_then(|version| cache.version(&row.key, *version));
        self.patches.get(&row.key, base, value)
    }
}

/// Returns whether the sender of a request has got a large row elsewhere.
fn has(asked: &ChangesRequest, row: &RowChange) -> bool {
    let version = asked.large.as_ref().and_then(|large| large.get(&row.key));
    let value = row.value.as_ref();
    value.zip(version).is_some_and(|(value, version)| value.mod_revision <= *version)
}

/// Returns an age in milliseconds, rounded up, so that no row becomes younger on its way.
fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
