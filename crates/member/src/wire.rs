//! The bytes of packets: protocol buffers by `prost`, and their checks.
//!
//! Everything from the wire goes through `TryFrom` into the checked types of [`crate::packet`].
//! Addresses are packed (four or sixteen bytes and the port) because every packet carries some.

use std::net::IpAddr;
use std::net::SocketAddr;

use base::prelude::*;
use prost::Message as _;

use crate::digest::BUCKETS;
use crate::digest::Buckets;
use crate::digest::Digest;
use crate::fact::Fact;
use crate::fact::FactKey;
use crate::packet::Message;
use crate::packet::Packet;
use crate::packet::Update;
use crate::raw::RawDigest;
use crate::raw::RawEntries;
use crate::raw::RawEntry;
use crate::raw::RawFact;
use crate::raw::RawFactKey;
use crate::raw::RawLocation;
use crate::raw::RawMemberRecord;
use crate::raw::RawMessage;
use crate::raw::RawPacket;
use crate::raw::RawProbe;
use crate::raw::RawUpdate;
use crate::raw::RawUsage;
use crate::record::Instance;
use crate::record::Location;
use crate::record::MAX_INCARNATION;
use crate::record::MAX_NAME_BYTES;
use crate::record::MemberRecord;
use crate::record::Status;

/// Returns the bytes of `packet`, without authentication.
pub fn encode(packet: &Packet) -> Vec<u8> {
    RawPacket {
        sender: Some(raw_record(&packet.sender)),
        revision: packet.revision,
        message: Some(raw_message(&packet.message)),
        updates: packet.updates.iter().map(raw_entry).collect(),
    }
    .encode_to_vec()
}

/// Reads the packet in `bytes`; all that is out of bounds is in the findings.
pub fn decode(bytes: &[u8]) -> Result<Packet, Findings> {
    match RawPacket::decode(bytes) {
        Ok(raw) => Packet::try_from(raw),
        Err(error) => {
            let mut findings = Findings::default();
            findings.add("packet", error.to_string());
            Err(findings)
        }
    }
}

/// Returns how many bytes `update` adds to a packet.
pub fn update_len(update: &Update) -> usize {
    let body = raw_entry(update).encoded_len();
    1 + prost::length_delimiter_len(body) + body
}

/// Returns the bytes that stand for a key in hashes.
pub fn key_bytes(key: &FactKey) -> Vec<u8> {
    RawFact { key: Some(raw_key(key)), ..RawFact::default() }.encode_to_vec()
}

fn raw_record(claim: &MemberRecord) -> RawMemberRecord {
    RawMemberRecord {
        name: claim.name.to_string(),
        boot: claim.instance.boot,
        incarnation: claim.instance.incarnation,
        status: claim.status as u32,
        location: claim.location.as_ref().map(|place| RawLocation {
            region: place.region.to_string(),
            failure_domain: place.failure_domain.to_string(),
            gossip: raw_address(place.gossip),
            peer: raw_address(place.peer),
        }),
    }
}

fn raw_key(key: &FactKey) -> RawFactKey {
    match key {
        FactKey::GroupDown(group) => RawFactKey::GroupDown(group.to_string()),
        FactKey::Quarantine(fingerprint) => RawFactKey::Quarantine(*fingerprint),
        FactKey::Leaving(vm) => RawFactKey::Leaving(vm.to_string()),
        FactKey::Revision => RawFactKey::Revision(true),
        FactKey::Usage { owner, workspace } => RawFactKey::Usage(RawUsage {
            owner: owner.to_string(),
            workspace: workspace.to_string(),
        }),
    }
}

fn raw_entry(update: &Update) -> RawEntry {
    let update = match update {
        Update::Member(claim) => RawUpdate::Member(raw_record(claim)),
        Update::Fact(fact) => RawUpdate::Fact(RawFact {
            key: Some(raw_key(&fact.key)),
            owner: fact.owner.to_string(),
            version: fact.version,
            lifetime_ms: u64::try_from(fact.lifetime.as_millis()).unwrap_or(u64::MAX),
            body: fact.body.to_vec(),
        }),
    };
    RawEntry { update: Some(update) }
}

fn raw_message(message: &Message) -> RawMessage {
    let probe = |seq: u32, target: &NodeId, address: Vec<u8>| RawProbe {
        seq,
        target: target.to_string(),
        address,
    };
    match message {
        Message::Ping { seq, target } => RawMessage::Ping(probe(*seq, target, Vec::new())),
        Message::Ack { seq, target } => RawMessage::Ack(probe(*seq, target, Vec::new())),
        Message::PingRequest { seq, target, address } => {
            RawMessage::PingRequest(probe(*seq, target, raw_address(*address)))
        }
        Message::Compare { digest } => {
            RawMessage::Compare(RawDigest { salt: digest.salt, hashes: digest.hashes.to_vec() })
        }
        Message::Entries { salt, whole, reply } => RawMessage::Entries(RawEntries {
            salt: *salt,
            whole: whole.0.to_le_bytes().to_vec(),
            reply: *reply,
        }),
        Message::Gossip => RawMessage::Gossip(true),
    }
}

fn raw_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes
}

impl TryFrom<RawPacket> for Packet {
    type Error = Findings;

    fn try_from(raw: RawPacket) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let sender = raw.sender.and_then(|raw| claim("sender", raw, &mut findings));
        let message = raw.message.and_then(|raw| message(raw, &mut findings));
        let mut updates = Vec::with_capacity(raw.updates.len());
        for (index, entry) in raw.updates.into_iter().enumerate() {
            updates.extend(update(&format!("updates[{index}]"), entry, &mut findings));
        }
        findings.check(
            sender.as_ref().is_some_and(|sender| sender.location.is_some()),
            "sender",
            || "has no place".to_owned(),
        );
        findings.check(message.is_some(), "message", || "does not stand".to_owned());
        match (sender, message) {
            (Some(sender), Some(message)) => {
                let packet = Packet { sender, revision: raw.revision, message, updates };
                findings.into_result(packet)
            }
            _ => Err(findings),
        }
    }
}

fn name(place: &str, text: String, findings: &mut Findings) -> Box<str> {
    findings.check((1..=MAX_NAME_BYTES).contains(&text.len()), place, || {
        format!("name of {} bytes is outside 1 to {MAX_NAME_BYTES}", text.len())
    });
    text.into()
}

fn claim(at: &str, raw: RawMemberRecord, findings: &mut Findings) -> Option<MemberRecord> {
    let status = match raw.status {
        0 => Some(Status::Alive),
        1 => Some(Status::Suspect),
        2 => Some(Status::Dead),
        3 => Some(Status::Left),
        other => {
            findings.add(at, format!("status {other} does not exist"));
            None
        }
    };
    findings.check(raw.incarnation < MAX_INCARNATION, at, || {
        format!("incarnation {} is not below {MAX_INCARNATION}", raw.incarnation)
    });
    let place = raw.location.and_then(|raw| read_location(at, raw, findings));
    let life = Instance { boot: raw.boot, incarnation: raw.incarnation };
    Some(MemberRecord {
        name: name(at, raw.name, findings),
        instance: life,
        status: status?,
        location: place,
    })
}

fn read_location(at: &str, raw: RawLocation, findings: &mut Findings) -> Option<Location> {
    let gossip = address(at, &raw.gossip, findings);
    let peer = address(at, &raw.peer, findings);
    let region = name(at, raw.region, findings);
    let failure_domain = name(at, raw.failure_domain, findings);
    Some(Location { region, failure_domain, gossip: gossip?, peer: peer? })
}

fn address(at: &str, bytes: &[u8], findings: &mut Findings) -> Option<SocketAddr> {
    let split = bytes.split_last_chunk::<2>();
    let ip = split.and_then(|(ip, _)| match ip.len() {
        4 => <[u8; 4]>::try_from(ip).ok().map(IpAddr::from),
        16 => <[u8; 16]>::try_from(ip).ok().map(IpAddr::from),
        _ => None,
    });
    match (ip, split) {
        (Some(ip), Some((_, port))) => Some(SocketAddr::new(ip, u16::from_be_bytes(*port))),
        _ => {
            findings.add(at, format!("address of {} bytes is not 6 or 18 long", bytes.len()));
            None
        }
    }
}

fn update(at: &str, raw: RawEntry, findings: &mut Findings) -> Option<Update> {
    match raw.update {
        Some(RawUpdate::Member(raw)) => claim(at, raw, findings).map(Update::Member),
        Some(RawUpdate::Fact(raw)) => fact(at, raw, findings).map(Update::Fact),
        None => {
            findings.add(at, "is neither a member nor a fact");
            None
        }
    }
}

fn fact(at: &str, raw: RawFact, findings: &mut Findings) -> Option<Fact> {
    let key = match raw.key {
        Some(RawFactKey::GroupDown(group)) => FactKey::GroupDown(group.into()),
        Some(RawFactKey::Quarantine(fingerprint)) => FactKey::Quarantine(fingerprint),
        Some(RawFactKey::Leaving(vm)) => FactKey::Leaving(vm.into()),
        Some(RawFactKey::Revision(_)) => FactKey::Revision,
        Some(RawFactKey::Usage(raw)) => {
            FactKey::Usage { owner: raw.owner.into(), workspace: raw.workspace.into() }
        }
        None => {
            findings.add(at, "has no key");
            return None;
        }
    };
    let fact = Fact {
        key,
        owner: name(at, raw.owner, findings),
        version: raw.version,
        lifetime: Duration::from_millis(raw.lifetime_ms),
        body: raw.body.into(),
    };
    findings.merge(fact.check());
    Some(fact)
}

fn message(raw: RawMessage, findings: &mut Findings) -> Option<Message> {
    let at = "message";
    Some(match raw {
        RawMessage::Ping(raw) => {
            Message::Ping { seq: raw.seq, target: name(at, raw.target, findings) }
        }
        RawMessage::Ack(raw) => {
            Message::Ack { seq: raw.seq, target: name(at, raw.target, findings) }
        }
        RawMessage::PingRequest(raw) => Message::PingRequest {
            seq: raw.seq,
            address: address(at, &raw.address, findings)?,
            target: name(at, raw.target, findings),
        },
        RawMessage::Compare(raw) => {
            findings.check(raw.hashes.len() == BUCKETS, at, || {
                format!("digest of {} buckets is not of {BUCKETS}", raw.hashes.len())
            });
            Message::Compare { digest: Digest { salt: raw.salt, hashes: raw.hashes.into() } }
        }
        RawMessage::Entries(raw) => {
            let Ok(whole) = <[u8; 16]>::try_from(raw.whole) else {
                findings.add(at, "set of buckets is not 16 bytes long");
                return None;
            };
            let whole = Buckets(u128::from_le_bytes(whole));
            Message::Entries { salt: raw.salt, whole, reply: raw.reply }
        }
        RawMessage::Gossip(_) => Message::Gossip,
    })
}
