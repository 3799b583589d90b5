//! Encoding of packets as protocol buffers (with `prost`), and validation of decoded packets.
//!
//! Everything received goes through `TryFrom` into the validated types of [`crate::packet`].
//! Addresses are encoded compactly (4 or 16 bytes and the port), because every packet carries some.

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

/// Encodes `packet`, without authentication.
pub fn encode(packet: &Packet) -> Vec<u8> {
    RawPacket {
        sender: Some(raw_record(&packet.sender)),
        revision: packet.revision,
        message: Some(raw_message(&packet.message)),
        updates: packet.updates.iter().map(raw_entry).collect(),
    }
    .encode_to_vec()
}

/// Decodes and validates a packet.
///
/// # Errors
///
/// A finding for each value that is missing or out of bounds.
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

/// Returns the number of bytes by which `update` makes a packet longer.
pub fn update_len(update: &Update) -> usize {
    let body = raw_entry(update).encoded_len();
    1 + prost::length_delimiter_len(body) + body
}

/// Returns the encoding of a key that is used in hashes. It is the same in all processes.
pub fn key_bytes(key: &FactKey) -> Vec<u8> {
    RawFact { key: Some(raw_key(key)), ..RawFact::default() }.encode_to_vec()
}

fn raw_record(record: &MemberRecord) -> RawMemberRecord {
    RawMemberRecord {
        name: record.name.to_string(),
        boot: record.instance.boot,
        incarnation: record.instance.incarnation,
        status: record.status as u32,
        location: record.location.as_ref().map(|location| RawLocation {
            region: location.region.to_string(),
            failure_domain: location.failure_domain.to_string(),
            gossip: raw_address(location.gossip),
            peer: raw_address(location.peer),
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
        Update::Member(record) => RawUpdate::Member(raw_record(record)),
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
        Message::Entries { salt, complete, reply } => RawMessage::Entries(RawEntries {
            salt: *salt,
            complete: complete.0.to_le_bytes().to_vec(),
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
        let sender = raw.sender.and_then(|raw| read_record("sender", raw, &mut findings));
        let message = raw.message.and_then(|raw| message(raw, &mut findings));
        let mut updates = Vec::with_capacity(raw.updates.len());
        for (index, entry) in raw.updates.into_iter().enumerate() {
            updates.extend(update(&format!("updates[{index}]"), entry, &mut findings));
        }
        findings.check(
            sender.as_ref().is_some_and(|sender| sender.location.is_some()),
            "sender",
            || "has no location".to_owned(),
        );
        findings.check(message.is_some(), "message", || "is missing or invalid".to_owned());
        match (sender, message) {
            (Some(sender), Some(message)) => {
                let packet = Packet { sender, revision: raw.revision, message, updates };
                findings.into_result(packet)
            }
            _ => Err(findings),
        }
    }
}

fn name(path: &str, text: String, findings: &mut Findings) -> Box<str> {
    findings.check((1..=MAX_NAME_BYTES).contains(&text.len()), path, || {
        format!("name of {} bytes is outside 1 to {MAX_NAME_BYTES}", text.len())
    });
    text.into()
}

fn read_record(path: &str, raw: RawMemberRecord, findings: &mut Findings) -> Option<MemberRecord> {
    let status = match raw.status {
        0 => Some(Status::Alive),
        1 => Some(Status::Suspect),
        2 => Some(Status::Dead),
        3 => Some(Status::Left),
        other => {
            findings.add(path, format!("unknown status {other}"));
            None
        }
    };
    findings.check(raw.incarnation < MAX_INCARNATION, path, || {
        format!("incarnation {} must be below {MAX_INCARNATION}", raw.incarnation)
    });
    let location = raw.location.and_then(|raw| read_location(path, raw, findings));
    let instance = Instance { boot: raw.boot, incarnation: raw.incarnation };
    Some(MemberRecord { name: name(path, raw.name, findings), instance, status: status?, location })
}

fn read_location(path: &str, raw: RawLocation, findings: &mut Findings) -> Option<Location> {
    let gossip = address(path, &raw.gossip, findings);
    let peer = address(path, &raw.peer, findings);
    let region = name(path, raw.region, findings);
    let failure_domain = name(path, raw.failure_domain, findings);
    Some(Location { region, failure_domain, gossip: gossip?, peer: peer? })
}

fn address(path: &str, bytes: &[u8], findings: &mut Findings) -> Option<SocketAddr> {
    let split = bytes.split_last_chunk::<2>();
    let ip = split.and_then(|(ip, _)| match ip.len() {
        4 => <[u8; 4]>::try_from(ip).ok().map(IpAddr::from),
        16 => <[u8; 16]>::try_from(ip).ok().map(IpAddr::from),
        _ => None,
    });
    match (ip, split) {
        (Some(ip), Some((_, port))) => Some(SocketAddr::new(ip, u16::from_be_bytes(*port))),
        _ => {
            findings.add(path, format!("address has {} bytes instead of 6 or 18", bytes.len()));
            None
        }
    }
}

fn update(path: &str, raw: RawEntry, findings: &mut Findings) -> Option<Update> {
    match raw.update {
        Some(RawUpdate::Member(raw)) => read_record(path, raw, findings).map(Update::Member),
        Some(RawUpdate::Fact(raw)) => fact(path, raw, findings).map(Update::Fact),
        None => {
            findings.add(path, "is neither a membership record nor a fact");
            None
        }
    }
}

fn fact(path: &str, raw: RawFact, findings: &mut Findings) -> Option<Fact> {
    let key = match raw.key {
        Some(RawFactKey::GroupDown(group)) => FactKey::GroupDown(group.into()),
        Some(RawFactKey::Quarantine(fingerprint)) => FactKey::Quarantine(fingerprint),
        Some(RawFactKey::Leaving(vm)) => FactKey::Leaving(vm.into()),
        Some(RawFactKey::Revision(_)) => FactKey::Revision,
        Some(RawFactKey::Usage(raw)) => {
            FactKey::Usage { owner: raw.owner.into(), workspace: raw.workspace.into() }
        }
        None => {
            findings.add(path, "has no key");
            return None;
        }
    };
    let fact = Fact {
        key,
        owner: name(path, raw.owner, findings),
        version: raw.version,
        lifetime: Duration::from_millis(raw.lifetime_ms),
        body: raw.body.into(),
    };
    findings.merge(fact.check());
    Some(fact)
}

fn message(raw: RawMessage, findings: &mut Findings) -> Option<Message> {
    let path = "message";
    Some(match raw {
        RawMessage::Ping(raw) => {
            Message::Ping { seq: raw.seq, target: name(path, raw.target, findings) }
        }
        RawMessage::Ack(raw) => {
            Message::Ack { seq: raw.seq, target: name(path, raw.target, findings) }
        }
        RawMessage::PingRequest(raw) => Message::PingRequest {
            seq: raw.seq,
            address: address(path, &raw.address, findings)?,
            target: name(path, raw.target, findings),
        },
        RawMessage::Compare(raw) => {
            findings.check(raw.hashes.len() == BUCKETS, path, || {
                format!("digest has {} buckets instead of {BUCKETS}", raw.hashes.len())
            });
            Message::Compare { digest: Digest { salt: raw.salt, hashes: raw.hashes.into() } }
        }
        RawMessage::Entries(raw) => {
            let Ok(complete) = <[u8; 16]>::try_from(raw.complete) else {
                findings.add(path, "bucket set is not 16 bytes long");
                return None;
            };
            let complete = Buckets(u128::from_le_bytes(complete));
            Message::Entries { salt: raw.salt, complete, reply: raw.reply }
        }
        RawMessage::Gossip(_) => Message::Gossip,
    })
}
