//! Typed events of the timeline.
//!
//! Every process records its events in a bounded ring buffer; the operators' command-line tool
//! merges the rings of all reachable processes by timestamp.

use crate::prelude::*;

/// Something that happened in one process.
#[wire]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A process started.
    Started {
        /// Random id of the process instance that started.
        boot: BootId,
    },
    /// A process began its graceful shutdown.
    Stopping {
        /// Number of streams that are still open.
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
        /// The fencing token that the order carried.
        generation: Generation,
        /// The order.
        order: Box<str>,
        /// `sent`, `done`, `fenced` or an error.
        outcome: Box<str>,
    },
    /// A request entered a processing stage.
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
        /// The replica group or plain service that received it.
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
        /// The revision that contains it.
        revision: Revision,
        /// The operator who requested it.
        operator: Box<str>,
    },
    /// A configuration revision took effect in this process.
    InForce {
        /// The revision.
        revision: Revision,
        /// Where the revision was read from: `kv`, or the peer's name.
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
    /// A backend server or VM was marked as leaving, or the mark was removed.
    Leaving {
        /// The VM.
        vm: VmId,
        /// Origin of the mark: `operator`, `vm_list` or `backend_server`.
        source: Box<str>,
    },
    /// The key-value service became unreachable or reachable.
    Kv {
        /// `down` or `up`.
        state: Box<str>,
    },
}

/// An event with its timestamp, origin and sequence number.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StampedEvent {
    /// When it was recorded; comparable across processes.
    pub at: Hlc,
    /// The process that recorded it.
    pub node: NodeId,
    /// Sequence number within its process. Numbers are consecutive, so a gap between two events
    /// means that the ring overflowed in between.
    pub number: u64,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}
