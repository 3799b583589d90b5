//! A budget of bytes that a process may hold in the bodies of requests and responses.
//!
//! Algorithm: whoever stores bytes takes them from the budget first, under the name of a holder, and gives them
//! back once the last reference to them has been dropped. Nobody waits for bytes: what doesn't fit is
//! refused, and its peer may come back. Grants up to [`SMALL_GRANT_BYTES`] may use the whole budget, larger ones
//! all but a part of it, and of that part each holder at most twice what it leaves free. Half of that part may
//! be lent to those who could do without.
//!
//! Invariants:
//! - The bytes that are granted never exceed the budget.
//! - However many large bodies there are, small ones find the reserved part.
//! - However many large bodies one holder has, another one finds bytes.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use displaydoc::Display;
use parking_lot::Mutex;

/// Largest grant that may use the whole budget.
pub const SMALL_GRANT_BYTES: usize = 64 << 10;
/// Share of the budget that large grants can't use.
const RESERVED_SHARE: f64 = 0.25;
/// Share of the bytes for large grants up to which some are lent.
const LENT_SHARE: f64 = 0.5;
/// Most bytes of a holder with a large grant, relative to those that remain for large grants.
const MAX_HELD_PER_FREE: usize = 2;
/// Smallest capacity of a buffer that is not empty.
const MIN_CAPACITY_BYTES: usize = 1 << 10;

/// Who answers for bytes, for example a workspace or the address of a peer.
pub type Holder = Box<str>;

/// no memory for it now
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct OutOfMemory;

impl std::error::Error for OutOfMemory {}

/// A budget of bytes. Clones share it.
#[derive(Clone, Debug)]
pub struct ByteBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    capacity: usize,
    granted: Mutex<Granted>,
}

#[derive(Debug, Default)]
struct Granted {
    total: usize,
    by_holder: HashMap<Holder, usize>,
}

impl ByteBudget {
    /// Creates a budget of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        ByteBudget(Arc::new(Shared { capacity, granted: Mutex::default() }))
    }

    /// Returns how many bytes are granted.
    pub fn granted(&self) -> usize {
        self.0.granted.lock().total
    }

    /// Returns an empty grant of `holder`.
    pub fn grant(&self, holder: &str) -> Grant {
        Grant { budget: self.clone(), holder: holder.into(), bytes: 0 }
    }

    /// Returns a grant of `bytes` to a holder that could do without; `None` if others may need them.
    pub fn lend(&self, holder: &str, bytes: usize) -> Option<Grant> {
        let mut granted = self.0.granted.lock();
        let total = granted.total.saturating_add(bytes);
        if total > (self.0.for_large() as f64 * LENT_SHARE) as usize {
            return None;
        }
        granted.add(holder, bytes);
        Some(Grant { budget: self.clone(), holder: holder.into(), bytes })
    }
}

impl Granted {
    fn add(&mut self, holder: &str, bytes: usize) {
        self.total += bytes;
        match self.by_holder.get_mut(holder) {
            Some(held) => *held += bytes,
            None => {
                self.by_holder.insert(holder.into(), bytes);
            }
        }
    }
}

impl Shared {
    /// Returns how many bytes large grants may use.
    fn for_large(&self) -> usize {
        self.capacity - (self.capacity as f64 * RESERVED_SHARE) as usize
    }

    /// Grants `more` bytes to a grant of `holder` that has `bytes`.
    fn take(&self, holder: &str, bytes: usize, more: usize) -> Result<(), OutOfMemory> {
        let mut granted = self.granted.lock();
        let held = granted.by_holder.get(holder).copied().unwrap_or(0).saturating_add(more);
        let total = granted.total.saturating_add(more);
        let fits = match bytes.saturating_add(more) <= SMALL_GRANT_BYTES {
            true => total <= self.capacity,
            false => {
                let free = self.for_large().checked_sub(total);
                free.is_some_and(|free| held <= free.saturating_mul(MAX_HELD_PER_FREE))
            }
        };
        if !fits {
            return Err(OutOfMemory);
        }
        granted.add(holder, more);
        Ok(())
    }

    fn give_back(&self, holder: &str, bytes: usize) {
        let mut granted = self.granted.lock();
        granted.total -= bytes;
        let Some(held) = granted.by_holder.get_mut(holder) else { return };
        *held -= bytes;
        if *held == 0 {
            granted.by_holder.remove(holder);
        }
    }
}

/// Bytes of a budget; dropping it gives them back.
#[derive(Debug)]
pub struct Grant {
    budget: ByteBudget,
    holder: Holder,
    bytes: usize,
}

impl Grant {
    /// Takes `more` bytes.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if the budget doesn't have them for this holder; the grant stays as it is.
    pub fn grow(&mut self, more: usize) -> Result<(), OutOfMemory> {
        if more > 0 {
            self.budget.0.take(&self.holder, self.bytes, more)?;
            self.bytes += more;
        }
        Ok(())
    }

    /// Returns `bytes`, whose memory the grant covers until the last reference to them has been dropped.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if the budget doesn't have them.
    pub fn cover(mut self, bytes: Vec<u8>) -> Result<Bytes, OutOfMemory> {
        self.grow(bytes.capacity().saturating_sub(self.bytes))?;
        Ok(Bytes::from_owner(Covered { bytes, _grant: self }))
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.0.give_back(&self.holder, self.bytes);
        }
    }
}

/// Bytes, and the grant that covers them.
struct Covered {
    bytes: Vec<u8>,
    _grant: Grant,
}

impl AsRef<[u8]> for Covered {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A growing buffer whose capacity is taken from a budget.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    grant: Grant,
}

impl Buffer {
    /// Creates an empty buffer that takes its bytes with `grant`.
    pub fn new(grant: Grant) -> Self {
        Buffer { bytes: Vec::new(), grant }
    }

    /// Returns the number of its bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Makes room for `more` bytes.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if the budget doesn't have them; the buffer stays as it is.
    pub fn reserve(&mut self, more: usize) -> Result<(), OutOfMemory> {
        let capacity = self.bytes.len() + more;
        self.grant.grow(capacity.saturating_sub(self.grant.bytes))?;
        self.bytes.reserve_exact(more);
        Ok(())
    }

    /// Appends `chunk`.
    ///
    /// # Errors
    ///
    /// [`OutOfMemory`] if the budget doesn't have the bytes; the buffer stays as it is.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), OutOfMemory> {
        let needed = self.bytes.len() + chunk.len();
        if needed > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(MIN_CAPACITY_BYTES);
            let more = |capacity: usize| capacity - self.bytes.len();
            let (ample, least) = (more(doubled.max(needed)), chunk.len());
            self.reserve(ample).or_else(|_| self.reserve(least))?;
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the bytes; the grant ends when the last reference to them has been dropped.
    pub fn freeze(self) -> Bytes {
        let Buffer { bytes, grant } = self;
        match bytes.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(Covered { bytes, _grant: grant }),
        }
    }
}
