//! Tokens by which a caller resumes a stream through another process.
//!
//! A token contains the attempt and the address of its group. It is signed with the secret that all
//! processes share, so any of them can continue the stream and nobody else can create a token. It
//! is bound to the workspace and to the body of the request, so it cannot be used by another
//! workspace or for another request.

use std::net::SocketAddr;

use base::prelude::*;
use config::prelude::*;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// The contents of a token.
#[wire]
pub struct ResumePoint {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Hash of workspace and body.
    pub fingerprint: u64,
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The group.
    pub group: GroupId,
    /// Address of the group's rank 0.
    pub leader: SocketAddr,
    /// The version, so that the text continues exactly.
    pub version: VersionId,
    /// The seed, for the same reason.
    pub seed: u64,
}

/// Signs and checks tokens.
pub struct Signer {
    secrets: Vec<Secret>,
}

impl Signer {
    /// Returns a signer that signs with the first of `secrets` and accepts all of them. If there
    /// are none, it uses a random secret that only this process knows.
    pub fn new(secrets: &[Secret]) -> Self {
        if secrets.is_empty() {
            let drawn = format!("{:016x}{:016x}", random_id(), random_id());
            return Signer { secrets: vec![Secret::new(drawn)] };
        }
        Signer { secrets: secrets.to_vec() }
    }

    /// Returns the token of `point`.
    pub fn sign(&self, point: &ResumePoint) -> String {
        let payload = serde_json::to_vec(point).expect("the point has a JSON form");
        let tag = mac(&self.secrets[0], &payload).finalize().into_bytes();
        format!("{}.{}", hex::encode(&payload), hex::encode(tag))
    }

    /// Returns the contents of `token` if it is signed with one of the secrets.
    pub fn check(&self, token: &str) -> Option<ResumePoint> {
        let (payload, tag) = token.split_once('.')?;
        let payload = hex::decode(payload).ok()?;
        let tag = hex::decode(tag).ok()?;
        let signed = |secret| mac(secret, &payload).verify_slice(&tag).is_ok();
        if !self.secrets.iter().any(signed) {
            return None;
        }
        serde_json::from_slice(&payload).ok()
    }
}

fn mac(secret: &Secret, payload: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.expose().as_bytes())
        .expect("HMAC takes keys of any length");
    mac.update(b"resume\0");
    mac.update(payload);
    mac
}
