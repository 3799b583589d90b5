//! Authentication of datagrams between members.
//!
//! A datagram consists of a version byte, a tag, and an encoded packet. The tag is HMAC-SHA256 over
//! the version byte and the packet, truncated to [`TAG_BYTES`] and keyed with a secret that all
//! members share. Tags are compared in constant time. Two secrets are accepted at the same time, so
//! that operators can rotate the secret without downtime: add the new one as the second everywhere,
//! make it the first everywhere, then remove the old one.
//!
//! Replayed datagrams are harmless. Membership records and facts form semilattices, so an old one
//! loses against what the receiver has, and the tag covers incarnations, versions and lifetimes. A
//! replayed ping costs one answer, which is sent to the source address of the replay. A replayed
//! answer carries the sequence number of a probe that is no longer open.

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
/// Length of the version byte and the tag, which precede the packet.
pub const HEADER_BYTES: usize = 1 + TAG_BYTES;
/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

const VERSION: u8 = 1;

/// Why a datagram was dropped.
#[key]
#[derive(Display)]
pub enum DropReason {
    /// longer than the maximum datagram size
    Oversized,
    /// shorter than the header
    Short,
    /// unknown version byte
    Foreign,
    /// tag does not match any accepted secret
    Unauthentic,
    /// not a valid packet
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

    /// Returns the name of the reason in metrics.
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

/// Seals packets into datagrams, opens received datagrams, and counts those that are dropped.
///
/// The `Debug` output does not contain the secrets.
#[derive(Clone)]
pub struct Seal {
    /// HMAC state of each accepted secret. The first one seals.
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

    /// Takes one secret, or two during a rotation. The first one seals.
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
    /// Encodes and authenticates `packet`.
    pub fn seal(&self, packet: &Packet) -> Vec<u8> {
        let body = wire::encode(packet);
        let mut datagram = Vec::with_capacity(HEADER_BYTES + body.len());
        datagram.push(VERSION);
        datagram.extend_from_slice(&tag(&self.keyed[0], &body));
        datagram.extend_from_slice(&body);
        debug_assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{} bytes", datagram.len());
        datagram
    }

    /// Authenticates, decodes and validates `datagram`.
    ///
    /// # Errors
    ///
    /// Why the datagram must be dropped; it is counted.
    pub fn open(&mut self, datagram: &[u8]) -> Result<Packet, DropReason> {
        let opened = self.read(datagram);
        if let Err(reason) = &opened {
            *self.refused.entry(*reason).or_default() += 1;
        }
        opened
    }

    /// Returns the number of datagrams dropped for `reason`.
    pub fn refused(&self, reason: DropReason) -> u64 {
        self.refused.get(&reason).copied().unwrap_or_default()
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

    /// Compares `claimed` with the tags of all secrets, so that the time taken does not reveal
    /// which one matched.
    fn is_authentic(&self, claimed: &[u8], body: &[u8]) -> bool {
        let mut matches = subtle::Choice::from(0);
        for keyed in &self.keyed {
            matches |= tag(keyed, body).ct_eq(claimed);
        }
        matches.into()
    }
}

fn tag(keyed: &Hmac<Sha256>, body: &[u8]) -> [u8; TAG_BYTES] {
    let mut mac = keyed.clone();
    mac.update(&[VERSION]);
    mac.update(body);
    let full = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&full[..TAG_BYTES]);
    tag
}
