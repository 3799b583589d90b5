//! Request keys, their hashes, and fingerprints of requests.
//!
//! The issue time is part of the key: the same text with another issue time is another key. Keys
//! are stored as the first 128 bits of a SHA-256 hash that includes the workspace, so that no
//! workspace can aim at another's keys.

use std::fmt;

use base::prelude::*;
use sha2::Digest;
use sha2::Sha256;

/// Longest text of a request key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Hash of a request key, 128 bits.
pub type KeyHash = u128;
/// Hash of a request's method, path and body, which tells a resend from another request.
pub type Fingerprint = u64;

/// A claim's holder: one send of a request, in one life of a process.
#[key]
pub struct ClaimId {
    /// The life of the process.
    pub boot: BootId,
    /// The send, numbered within that life.
    pub attempt: u64,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.boot, self.attempt)
    }
}

/// A request key as it came from a caller.
#[data]
pub struct RawKey<'a> {
    /// The workspace whose bearer key the caller showed.
    pub workspace: &'a str,
    /// The key's text. Without `issued_ms` it begins with the issue time and a hyphen.
    pub key: &'a str,
    /// The issue time, in milliseconds since the Unix epoch, as text.
    pub issued_ms: Option<&'a str>,
}

/// A checked request key.
#[data]
#[derive(Eq)]
pub struct RequestKey {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The key's text, unique in the workspace for its issue time.
    pub key: Box<str>,
    /// When the caller made the key, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
}

impl TryFrom<RawKey<'_>> for RequestKey {
    type Error = Findings;

    fn try_from(raw: RawKey<'_>) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let bytes = raw.key.len();
        findings.check(bytes > 0, "key", || "is empty".to_owned());
        findings.check(bytes <= MAX_KEY_BYTES, "key", || {
            format!("{bytes} bytes are more than {MAX_KEY_BYTES}")
        });
        let visible = raw.key.chars().all(|c| c.is_ascii_graphic());
        findings.check(visible, "key", || "has other than visible ASCII characters".to_owned());
        let (place, text) = match raw.issued_ms {
            Some(text) => ("issued", text),
            None => ("key", raw.key.split('-').next().unwrap_or_default()),
        };
        let issued_ms = text.parse().unwrap_or_else(|_| {
            findings.add(place, "must give the issue time in milliseconds since the Unix epoch");
            0
        });
        let workspace = raw.workspace.into();
        findings.into_result(RequestKey { workspace, key: raw.key.into(), issued_ms })
    }
}

impl RequestKey {
    /// Returns the key's hash.
    pub fn hash(&self) -> KeyHash {
        let digest = digest(&[
            self.workspace.as_bytes(),
            self.key.as_bytes(),
            &self.issued_ms.to_be_bytes(),
        ]);
        u128::from_be_bytes(first(&digest))
    }
}

/// Returns the fingerprint of a request.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> Fingerprint {
    u64::from_be_bytes(first(&digest(&[method.as_bytes(), path.as_bytes(), body])))
}

/// Returns the digest of an answer, as it is recorded.
pub fn answer_digest(body: &[u8]) -> u64 {
    u64::from_be_bytes(first(&digest(&[body])))
}

/// Hashes the parts with their lengths, so that no two lists of parts look the same.
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

fn first<const N: usize>(digest: &[u8; 32]) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&digest[..N]);
    bytes
}
