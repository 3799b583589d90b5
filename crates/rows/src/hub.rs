//! What a process, mostly a hub, sends to others of its rows.

use base::prelude::*;

use crate::cache::RowCache;
use crate::cache::RowChange;
use crate::limiter::BulkLimiter;
use crate::limiter::SMALL_BYTES;
use crate::message::Answer;
use crate::message::Row;
use crate::message::RowsRequest;

/// Age of rows up to which they count as the current content of the store.
const MAX_FRESH_AGE: Duration = Duration::from_millis(800);

/// Returns whether rows that matched the store `age` ago count as its current content.
pub fn is_fresh(age: Option<Duration>) -> bool {
    age.is_some_and(|age| age < MAX_FRESH_AGE)
}

/// Returns the answer to a request for the rows that changed after those that the sender has: the last change
/// of a cache, by the id of that. `None` if it gets the whole cache, and the link can't take that now.
pub fn changes(
    cache: &RowCache,
    limiter: &mut BulkLimiter,
    have: Option<(BootId, u64)>,
    now: Mono,
) -> Option<Answer> {
    let known = have.filter(|(boot, _)| *boot == cache.boot);
    let rows = match have {
        None => Vec::new(),
        Some(_) => cache.changes_since(known.map_or(0, |(_, number)| number)),
    };
    let is_whole = have.is_some() && known.is_none();
    let (rows, is_complete) = limit(limiter, rows, now);
    if is_whole && !is_complete {
        return None;
    }
    let number = match known {
        Some((_, number)) if !is_complete => number,
        _ => cache.last_change(),
    };
    Some(Answer {
        boot: cache.boot,
        number,
        age_ms: cache.age(now).filter(|_| is_complete).map(millis),
        rows,
        whole_at: is_whole.then(|| cache.revision()),
    })
}

/// Returns the answer to a request for the rows that the sender lacks.
pub fn difference(
    cache: &RowCache,
    limiter: &mut BulkLimiter,
    asked: &RowsRequest,
    now: Mono,
) -> Answer {
    let age = cache.age(now);
    let rows = cache.difference(&asked.versions, is_fresh(age));
    let (rows, is_complete) = limit(limiter, rows, now);
    Answer {
        boot: cache.boot,
        number: cache.last_change(),
        age_ms: age.filter(|_| is_complete).map(millis),
        rows,
        whole_at: None,
    }
}

/// Returns which of `rows` are sent now, and whether these are all. If the link can't take all of
/// them, the first small ones are sent, so that a large row doesn't hold them back.
fn limit(limiter: &mut BulkLimiter, mut rows: Vec<RowChange>, now: Mono) -> (Vec<Row>, bool) {
    let is_complete = limiter.try_send(rows.iter().map(RowChange::size).sum(), now);
    if !is_complete {
        let mut bytes = 0;
        rows.retain(|row| {
            let fits = bytes + row.size() <= SMALL_BYTES;
            bytes += if fits { row.size() } else { 0 };
            fits
        });
        limiter.try_send(bytes, now);
    }
    // Only what is sent is copied.
    (rows.into_iter().map(Row::from).collect(), is_complete)
}

/// Returns an age in milliseconds, rounded up, so that no row becomes younger on its way.
fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
