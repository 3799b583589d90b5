//! Protocol buffer messages of packets, before validation.
//!
//! Only tags and types are on the wire; processes of other versions depend on them.

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RawLocation {
    #[prost(string, tag = "1")]
    pub(crate) region: String,
    #[prost(string, tag = "2")]
    pub(crate) failure_domain: String,
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) gossip: Vec<u8>,
    #[prost(bytes = "vec", tag = "4")]
    pub(crate) peer: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RawMemberRecord {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) boot: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) incarnation: u64,
    #[prost(uint32, tag = "4")]
    pub(crate) status: u32,
    #[prost(message, optional, tag = "5")]
    pub(crate) location: Option<RawLocation>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RawUsage {
    #[prost(string, tag = "1")]
    pub(crate) owner: String,
    #[prost(string, tag = "2")]
    pub(crate) workspace: String,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum RawFactKey {
    #[prost(string, tag = "1")]
    GroupDown(String),
    #[prost(fixed64, tag = "2")]
    Quarantine(u64),
    #[prost(string, tag = "3")]
    Leaving(String),
    #[prost(bool, tag = "4")]
    Revision(bool),
    #[prost(message, tag = "5")]
    Usage(RawUsage),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RawFact {
    #[prost(oneof = "RawFactKey", tags = "1, 2, 3, 4, 5")]
    pub(crate) key: Option<RawFactKey>,
    #[prost(string, tag = "6")]
    pub(crate) owner: String,
    #[prost(uint64, tag = "7")]
    pub(crate) version: u64,
    #[prost(uint64, tag = "8")]
    pub(crate) lifetime_ms: u64,
    #[prost(bytes = "vec", tag = "9")]
    pub(crate) body: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum RawUpdate {
    #[prost(message, tag = "1")]
    Member(RawMemberRecord),
    #[prost(message, tag = "2")]
    Fact(RawFact),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RawEntry {
    #[prost(oneof = "RawUpdate", tags = "1, 2")]
    pub(crate) update: Option<RawUpdate>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RawProbe {
    #[prost(uint32, tag = "1")]
    pub(crate) seq: u32,
    #[prost(string, tag = "2")]
    pub(crate) target: String,
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) address: Vec<u8>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RawDigest {
    #[prost(fixed32, tag = "1")]
    pub(crate) salt: u32,
    #[prost(fixed32, repeated, tag = "2")]
    pub(crate) hashes: Vec<u32>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RawEntries {
    #[prost(fixed32, tag = "1")]
    pub(crate) salt: u32,
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) complete: Vec<u8>,
    #[prost(bool, tag = "3")]
    pub(crate) reply: bool,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum RawMessage {
    #[prost(message, tag = "3")]
    Ping(RawProbe),
    #[prost(message, tag = "4")]
    Ack(RawProbe),
    #[prost(message, tag = "5")]
    PingRequest(RawProbe),
    #[prost(message, tag = "6")]
    Compare(RawDigest),
    #[prost(message, tag = "7")]
    Entries(RawEntries),
    #[prost(bool, tag = "8")]
    Gossip(bool),
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RawPacket {
    #[prost(message, optional, tag = "1")]
    pub(crate) sender: Option<RawMemberRecord>,
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    #[prost(oneof = "RawMessage", tags = "3, 4, 5, 6, 7, 8")]
    pub(crate) message: Option<RawMessage>,
    #[prost(message, repeated, tag = "9")]
    pub(crate) updates: Vec<RawEntry>,
}
