//! Large values as differences from a version that the receiver has.
//!
//! A configuration changes by a route or two at a time, so what has changed takes a hundredth of the whole. A
//! difference is a compressed frame whose prefix is the earlier version; without one it is the whole value, compressed.
//! A frame has a checksum of the value.

use std::collections::HashMap;
use std::io;
use std::io::Read;
use std::io::Write;

use base::prelude::*;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use displaydoc::Display;
use kv::prelude::*;

/// Size from which values are sent as differences, in bytes.
pub const LARGE_BYTES: usize = 16 << 10;
/// Largest value that is sent as a difference, in bytes.
pub const MAX_BYTES: usize = 8 << 20;
const COMPRESSION_LEVEL: i32 = 1;
/// Largest window of a frame, as the logarithm of its bytes: a value and the version before it.
const MAX_WINDOW_LOG: u32 = (2 * MAX_BYTES).ilog2();
const MIN_WINDOW_LOG: u32 = 15;

/// A value as a difference.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Patch {
    /// The key.
    pub key: Box<str>,
    /// The revision that wrote the version that it is the difference from; `None` if it is the whole value.
    pub base: Option<u64>,
    /// The revision that wrote the value.
    pub mod_revision: u64,
    /// A revision of the store that includes the change.
    pub revision: u64,
    /// Bytes of the value.
    pub bytes: usize,
    /// A frame of Zstandard, as Base64.
    pub frame: Box<str>,
}

/// Why a difference can't be applied.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PatchError {
    /// the version of `{key}` that it is the difference from is missing
    NoBase {
        /// The key.
        key: Box<str>,
    },
    /// the value of `{key}` can't be read: {problem}
    Malformed {
        /// The key.
        key: Box<str>,
        /// What is wrong with it.
        problem: Box<str>,
    },
}

impl std::error::Error for PatchError {}

impl Patch {
    /// Returns `value` as a difference from `base`.
    ///
    /// # Errors
    ///
    /// If the value is larger than [`MAX_BYTES`], or the compressor fails.
    pub fn new(key: &str, base: Option<&Versioned>, value: &Versioned) -> io::Result<Self> {
        let bytes = value.value.len();
        if bytes > MAX_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let prefix = base.map_or(&[][..], |base| &*base.value);
        let window_log = (bytes + prefix.len()).max(1).ilog2() + 1;
        let mut encoder =
            zstd::stream::write::Encoder::with_ref_prefix(Vec::new(), COMPRESSION_LEVEL, prefix)?;
        encoder.include_checksum(true)?;
        encoder.long_distance_matching(true)?;
        encoder.window_log(window_log.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG))?;
        encoder.set_pledged_src_size(Some(bytes as u64))?;
        encoder.write_all(&value.value)?;
        Ok(Patch {
            key: key.into(),
            base: base.map(|base| base.mod_revision),
            mod_revision: value.mod_revision,
            revision: value.mod_revision,
            bytes,
            frame: STANDARD.encode(encoder.finish()?).into(),
        })
    }

    /// Returns roughly how many bytes it takes in a message.
    pub fn size(&self) -> usize {
        self.key.len() + self.frame.len()
    }

    /// Returns the value; `base` is the version that it is the difference from, if the receiver has that.
    ///
    /// # Errors
    ///
    /// [`PatchError::NoBase`] without that version; [`PatchError::Malformed`] if the frame or its value is not as
    /// it says.
    pub fn apply(&self, base: Option<&Versioned>) -> Result<Versioned, PatchError> {
        let base = base.filter(|base| Some(base.mod_revision) == self.base);
        if self.base.is_some() && base.is_none() {
            return Err(PatchError::NoBase { key: self.key.clone() });
        }
        let value = self.read(base.map_or(&[][..], |base| &*base.value)).map_err(|error| {
            PatchError::Malformed { key: self.key.clone(), problem: error.to_string().into() }
        })?;
        Ok(Versioned { value: value.into(), mod_revision: self.mod_revision })
    }

    fn read(&self, prefix: &[u8]) -> io::Result<Vec<u8>> {
        if self.bytes > MAX_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let frame = STANDARD.decode(&*self.frame).map_err(io::Error::other)?;
        let mut decoder = zstd::stream::read::Decoder::with_ref_prefix(&*frame, prefix)?;
        decoder.window_log_max(MAX_WINDOW_LOG)?;
        let mut value = Vec::new();
        decoder.take(self.bytes as u64 + 1).read_to_end(&mut value)?;
        match value.len() == self.bytes {
            true => Ok(value),
            false => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// The differences that were made, for the next ones who lack the same.
#[derive(Debug, Default)]
pub struct Patches {
    /// By key and the version that it is the difference from.
    made: HashMap<(Box<str>, Option<u64>), Patch>,
}

impl Patches {
    /// Returns `value` as a difference from `base`; `None` if that can't be made.
    pub fn get(&mut self, key: &str, base: Option<&Versioned>, value: &Versioned) -> Option<Patch> {
        let place = (key.into(), base.map(|base| base.mod_revision));
        if let Some(made) = self.made.get(&place)
            && made.mod_revision == value.mod_revision
        {
            return Some(made.clone());
        }
        let mod_revision = value.mod_revision;
        self.made.retain(|(other, _), made| **other != *key || made.mod_revision == mod_revision);
        let patch = Patch::new(key, base, value).ok()?;
        self.made.insert(place, patch.clone());
        Some(patch)
    }
}
