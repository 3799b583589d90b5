//! The proof that a member sent a datagram.
//!
//! A datagram is a version byte, a tag, and the bytes of a packet. The tag is HMAC-SHA256 over the
//! version byte and the packet, cut to [`TAG_BYTES`], with a secret that all members share. It is
//! compared in constant time. Two secrets are accepted at once, so that operators can rotate them
//! without a stop: add the new one as second everywhere, make it the first, drop the old one.
//!
//! A datagram that is replayed does no harm. Claims and facts form semilattices, so an old one
//! loses against what the receiver knows, and incarnations, versions and lifetimes are covered by
//! the tag. A replayed ping costs one answer, which goes to where the replay came from; a replayed
//! answer has the number of a probe that is no longer open.

use std::collections::BTreeMap;

use base::prelude::*;
use displaydoc::Display;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::packet::Packet;
use crate::settings::MAX_DATAGRAM_BYTES;
use crate::wire;

/// Length of the tag, in bytes.
pub const TAG_BYTES: usize = 16;
/// Bytes that precede the packet.
pub const HEADER_BYTES: usize = 1 + TAG_BYTES;
/// Shortest secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

const VERSION: u8 = 1;

/// Why a datagram was dropped.
#[key]
#[derive(Display)]
pub enum DropReason {
    /// longer than the largest datagram
    Oversized,
    /// shorter than the header
    Short,
    /// of another version or protocol
    Foreign,
    /// sealed with an unknown secret
    Unauthentic,
    /// not a packet, or out of bounds
    Malformed,
}

impl DropReason {
    /// All reasons.
    pub const ALL: [DropReason; 5] = [
        DropReason::Oversized,
        DropReason::Short,
        DropReason::Foreign,
        DropReason::Unauthentic,
        DropReason::Malformed,
    ];

    /// Returns the reason as it stands in metrics.
    pub fn name(self) -> &'static str {
        match self {
            DropReason::Oversized => "oversized",
            DropReason::Short => "short",
            DropReason::Foreign => "foreign",
            DropReason::Unauthentic => "unauthentic",
            DropReason::Malformed => "malformed",
        }
    }
}

/// Seals packets into datagrams, and opens and counts what comes.
///
/// The secrets are never printed.
#[derive(Clone)]
pub struct Seal {
    /// The keyed hash of each accepted secret; the first seals.
    keyed: Vec<Hmac<Sha256>>,
    refused: BTreeMap<DropReason, u64>,
}

impl std::fmt::Debug for Seal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Seal").field("refused", &self.refused).finish_non_exhaustive()
    }
}

impl TryFrom<&[&[u8]]> for Seal {
    type Error = Findings;

    /// Takes one secret, or two during a rotation; the first seals.
    fn try_from(secrets: &[&[u8]]) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        findings.check((1..=2).contains(&secrets.len()), "secrets", || {
            format!("{} secrets are not one or two", secrets.len())
        });
        for (index, secret) in secrets.iter().enumerate() {
            findings.check(secret.len() >= MIN_SECRET_BYTES, &format!("secrets[{index}]"), || {
                format!("shorter than {MIN_SECRET_BYTES} bytes")
            });
        }
        let keyed = secrets.iter().filter_map(|secret| Hmac::new_from_slice(secret).ok()).collect();
        findings.into_result(Seal { keyed, refused: BTreeMap::new() })
    }
}

impl Seal {
    /// Returns the datagram of `packet`.
    pub fn seal(&self, packet: &Packet) -> Vec<u8> {
        let body = wire::encode(packet);
        let mut datagram = Vec::with_capacity(HEADER_BYTES + body.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&tag(&self.keyed[0], &body));
        datagram.extend_from_slice(&body);
        debug_assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{} bytes", datagram.len());
        datagram
    }

    /// Returns the packet of `datagram`, or counts why it is dropped.
    pub fn open(&mut self, datagram: &[u8]) -> Result<Packet, DropReason> {
        let opened = self.read(datagram);
        if let Err(refusal) = &opened {
            *self.refused.entry(*refusal).or_default() += 1;
        }
        opened
    }

    /// Returns how many datagrams were dropped for `refusal`.
    pub fn refused(&self, refusal: DropReason) -> u64 {
        self.refused.get(&refusal).copied().unwrap_or_default()
    }

    fn read(&self, datagram: &[u8]) -> Result<Packet, DropReason> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(DropReason::Oversized);
        }
        let (header, body) = datagram.split_at_checked(HEADER_BYTES).ok_or(DropReason::Short)?;
        if header[0] != VERSION {
            return Err(DropReason::Foreign);
        }
        if !self.is_authentic(&header[1..], body) {
            return Err(DropReason::Unauthentic);
        }
        wire::decode(body).map_err(|_| DropReason::Malformed)
    }

    /// Compares with every secret, so that the time does not show which one fitted.
    fn is_authentic(&self, claimed: &[u8], body: &[u8]) -> bool {
        let mut fits = subtle::Choice::from(0);
        for keyed in &self.keyed {
            fits |= tag(keyed, body).ct_eq(claimed);
        }
        fits.into()
    }
}

fn tag(keyed: &Hmac<Sha256>, body: &[u8]) -> [u8; TAG_BYTES] {
    let mut mac = keyed.clone();
    mac.update(&[VERSION]);
    mac.update(body);
    let whole = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&whole[..TAG_BYTES]);
    tag
}
