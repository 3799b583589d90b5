//! The typed events of the time line.
//!
//! Every process records its events into a bounded ring; the operators' tool merges the rings of
//! all reachable processes by their stamps.

use crate::prelude::*;

/// Something that happened in one process.
#[wire]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A process started.
    Started {
        /// The life that began.
        boot: BootId,
    },
    /// A process began its graceful shutdown.
    Stopping {
        /// Streams that are still open.
        streams: u64,
    },
    /// A replica group changed its state.
    Group {
        /// The group.
        group: GroupId,
        /// Its generation after the change.
        generation: Generation,
        /// The state that it entered.
        state: Box<str>,
        /// Why.
        reason: Box<str>,
    },
    /// An order was sent to a backend server, or its outcome is known.
    Order {
        /// The VM of the backend server.
        vm: VmId,
        /// The group that the order is for.
        group: GroupId,
        /// The fencing number that the order carried.
        generation: Generation,
        /// The order.
        order: Box<str>,
        /// `sent`, `done`, `fenced` or an error.
        outcome: Box<str>,
    },
    /// A request entered a stage of its life.
    Request {
        /// The request.
        request: RequestId,
        /// The workspace whose key it carried.
        workspace: WorkspaceId,
        /// The stage: `accepted`, `queued`, `streaming`, `final`.
        stage: Box<str>,
        /// The outcome or other detail.
        detail: Box<str>,
    },
    /// An attempt of a request at a replica group began or ended.
    Attempt {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// The group or service that got it.
        group: GroupId,
        /// `sent`, `resumed`, or how it ended.
        outcome: Box<str>,
    },
    /// A non-idempotent request's key was claimed, or its claim was refused.
    Claim {
        /// The request key.
        key: Box<str>,
        /// `claimed`, `duplicate`, `unclear` or `refused`.
        outcome: Box<str>,
    },
    /// A configuration change was accepted.
    Accepted {
        /// The revision that holds it.
        revision: Revision,
        /// Who asked for it.
        operator: Box<str>,
    },
    /// A revision came into force in this process.
    InForce {
        /// The revision.
        revision: Revision,
        /// Where it came from: `kv`, or the peer's name.
        source: Box<str>,
    },
    /// This process's view of another process changed.
    Member {
        /// The other process.
        member: NodeId,
        /// `alive`, `suspect`, `dead` or `left`.
        state: Box<str>,
    },
    /// A request fingerprint was quarantined, or its quarantine was lifted.
    Quarantine {
        /// The fingerprint.
        fingerprint: u64,
        /// `suspect`, `quarantined`, `cleared` or `lifted`.
        state: Box<str>,
    },
    /// A backend server or VM was marked as leaving, or the mark was taken back.
    Leaving {
        /// The VM.
        vm: VmId,
        /// Who said so: `operator`, `vm_list` or `backend_server`.
        source: Box<str>,
    },
    /// The key-value service became unreachable or reachable.
    Kv {
        /// `down` or `up`.
        state: Box<str>,
    },
}

/// An event with its place in the time line.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StampedEvent {
    /// When, comparable over processes.
    pub at: Hlc,
    /// The process that recorded it.
    pub node: NodeId,
    /// Number of the event in its process, without gaps; a gap means that the ring overflowed.
    pub number: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}
