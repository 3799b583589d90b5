//! Request keys (idempotency keys), their hashes, and fingerprints of requests.
//!
//! The issue time is part of the key: the same text with a different issue time is a different key.
//! Keys are stored as the first 128 bits of a SHA-256 hash that includes the workspace, so that a
//! workspace cannot construct a key that collides with one of another workspace.

use std::fmt;

use base::prelude::*;
use sha2::Digest;
use sha2::Sha256;

/// Maximum length of the text of a request key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Hash of a request key, 128 bits.
pub type KeyHash = u128;
/// Hash of a request's method, path and body, which distinguishes a resubmission from a different
/// request with the same key.
pub type Fingerprint = u64;

/// Holder of a claim: one submission of a request, accepted by one instance of a process.
#[key]
pub struct ClaimId {
    /// Boot id of the process instance.
    pub boot: BootId,
    /// Number of the submission, unique within that instance.
    pub attempt: u64,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.boot, self.attempt)
    }
}

/// A request key as received from a caller, before validation.
#[data]
pub struct RawKey<'a> {
    /// The workspace whose bearer key authenticated the caller.
    pub workspace: &'a str,
    /// The key's text. If `issued_ms` is absent, it starts with the issue time and a hyphen.
    pub key: &'a str,
    /// The issue time, in milliseconds since the Unix epoch, as text.
    pub issued_ms: Option<&'a str>,
}

/// A validated request key.
#[data]
#[derive(Eq)]
pub struct RequestKey {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The key's text, unique within the workspace for its issue time.
    pub key: Box<str>,
    /// When the caller created the key, in milliseconds since the Unix epoch.
    pub issued_ms: u64,
}

impl TryFrom<RawKey<'_>> for RequestKey {
    type Error = Findings;

    fn try_from(raw: RawKey<'_>) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let bytes = raw.key.len();
        findings.check(bytes > 0, "key", || "is empty".to_owned());
        findings.check(bytes <= MAX_KEY_BYTES, "key", || {
            format!("{bytes} bytes exceed the limit of {MAX_KEY_BYTES}")
        });
        let visible = raw.key.chars().all(|c| c.is_ascii_graphic());
        findings
            .check(visible, "key", || "contains other than visible ASCII characters".to_owned());
        let (path, text) = match raw.issued_ms {
            Some(text) => ("issued", text),
            None => ("key", raw.key.split('-').next().unwrap_or_default()),
        };
        let issued_ms = text.parse().unwrap_or_else(|_| {
            findings.add(path, "must give the issue time in milliseconds since the Unix epoch");
            0
        });
        let workspace = raw.workspace.into();
        findings.into_result(RequestKey { workspace, key: raw.key.into(), issued_ms })
    }
}

impl RequestKey {
    /// Returns the hash under which the key is stored.
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

/// Returns the digest that is recorded for an answer.
pub fn answer_digest(body: &[u8]) -> u64 {
    u64::from_be_bytes(first(&digest(&[body])))
}

/// Hashes the parts with their lengths, so that different lists of parts have different encodings.
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
