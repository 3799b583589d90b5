//! The report of a backend server, and its bounds.
//!
//! A report may come from another writer than the server. One that breaks a bound names no server to use.

use std::net::SocketAddr;

use base::prelude::*;

/// Epochs of groups are below this; those that owners give out, from revisions of the store, are far
/// below.
pub const EPOCH_LIMIT: Generation = 1 << 53;

/// Most requests that a server can run concurrently.
pub const MAX_SLOTS: usize = 1 << 16;
/// Longest warm-up that is plausible.
pub const MAX_WARM_UP: Duration = Duration::from_secs(3_600);
/// Start times are below this, in Unix milliseconds; it is in the year 2109.
const START_TIME_LIMIT_MS: u64 = 1 << 42;
/// Numbers of reports are below this.
const REPORT_NUMBER_LIMIT: u64 = 1 << 53;
/// Ranks of members are below this.
const RANK_LIMIT: usize = 1 << 16;
/// Longest id or name, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// Id of a backend server. A restarted server may keep its id; see [`InstanceId`].
pub type ServerId = Box<str>;

/// One instance of a backend server, from its start to its end: the server's id and the start time
/// in Unix milliseconds.
///
/// A restarted server has lost all its state, so knowledge of an earlier instance doesn't apply to
/// it.
pub type InstanceId = (ServerId, u64);

/// Whether a backend server takes new work.
#[key]
pub enum ServerState {
    /// The server takes work.
    Ready,
    /// The server finishes the work that it has and will leave.
    Draining,
}

/// Progress of a member in its group.
#[key]
pub enum Phase {
    /// The member loads weights or connects to the others.
    Joining,
    /// The member has joined; the head is not open.
    Ready,
    /// The head takes requests.
    Open,
    /// The head takes no new requests and finishes those that run.
    Closing,
    /// The head has given up the group.
    Broken,
}

/// The membership of a backend server in a group.
#[data]
pub struct Membership {
    /// Name of the group.
    pub group: GroupId,
    /// Epoch of the group: a server refuses a join with an epoch below the highest it has seen.
    pub epoch: Generation,
    /// The server's rank; the head has rank 0.
    pub rank: usize,
    /// Progress of the server.
    pub phase: Phase,
}

/// The last report of a backend server.
#[data]
pub struct Server {
    /// The server's id.
    pub id: ServerId,
    /// Start time of this instance in Unix milliseconds; zero if the server doesn't report it.
    pub started_at_ms: u64,
    /// Number of the report: it rises with the reports of an instance.
    pub report_number: u64,
    /// The service that the server belongs to.
    pub service: ServiceId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Its fabric domain; `None` if it belongs to no model service.
    pub fabric: Option<FabricId>,
    /// Requests that it runs concurrently.
    pub slots: usize,
    /// Whether it takes work.
    pub state: ServerState,
    /// How much longer it stays slow after its start.
    pub warmup_remaining: Duration,
    /// The model whose weights are loaded in its accelerators.
    pub model: Option<ModelId>,
    /// Models whose weights are staged on its host.
    pub staged_models: Vec<ModelId>,
    /// The group that it is in, if any.
    pub membership: Option<Membership>,
}

impl Server {
    /// Returns every value that is out of its bounds, with its path.
    pub fn verify(&self) -> Findings {
        let mut findings = Findings::default();
        // The id goes into a header of requests.
        let is_id = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
        let is_valid_id =
            (1..=MAX_NAME_BYTES).contains(&self.id.len()) && self.id.bytes().all(is_id);
        findings.check(is_valid_id, "$.id", || {
            format!("allowed are 1 to {MAX_NAME_BYTES} visible ASCII characters without a slash")
        });
        let ip = self.address.ip();
        let is_destination = !ip.is_unspecified() && !ip.is_multicast() && self.address.port() != 0;
        findings.check(is_destination, "$.address", || {
            format!("found {}; no server listens there", self.address)
        });
        let mut check_name = |name: &str, place: &str| {
            findings.check((1..=MAX_NAME_BYTES).contains(&name.len()), place, || {
                format!("found {} bytes; allowed are 1 to {MAX_NAME_BYTES}", name.len())
            });
        };
        check_name(&self.service, "$.service");
        check_name(&self.failure_domain, "$.failure_domain");
        if let Some(fabric) = &self.fabric {
            check_name(fabric, "$.fabric");
        }
        for model in self.model.iter().chain(&self.staged_models) {
            check_name(model, "$.models");
        }
        if let Some(membership) = &self.membership {
            check_name(&membership.group, "$.membership.group");
        }
        self.verify_numbers(&mut findings);
        findings
    }

    fn verify_numbers(&self, findings: &mut Findings) {
        findings.check((1..=MAX_SLOTS).contains(&self.slots), "$.slots", || {
            format!("found {}; allowed is 1 to {MAX_SLOTS}", self.slots)
        });
        findings.check(self.warmup_remaining <= MAX_WARM_UP, "$.warmup_remaining", || {
            format!("found {:?}; allowed is up to {MAX_WARM_UP:?}", self.warmup_remaining)
        });
        let mut check_limit = |value: u64, limit: u64, place: &str| {
            findings.check(value < limit, place, || {
                format!("found {value}; allowed is a number below {limit}")
            });
        };
        check_limit(self.started_at_ms, START_TIME_LIMIT_MS, "$.started_at_ms");
        check_limit(self.report_number, REPORT_NUMBER_LIMIT, "$.report_number");
        if let Some(membership) = &self.membership {
            check_limit(membership.epoch, EPOCH_LIMIT, "$.membership.epoch");
            check_limit(membership.rank as u64, RANK_LIMIT as u64, "$.membership.rank");
        }
    }

    /// Returns the instance that made this report.
    pub fn instance_id(&self) -> InstanceId {
        (self.id.clone(), self.started_at_ms)
    }

    /// Returns whether this report was made before `other`, a report of the same server.
    pub fn is_older_than(&self, other: &Server) -> bool {
        (self.started_at_ms, self.report_number) < (other.started_at_ms, other.report_number)
    }

    /// Returns the server's membership if it is in `group` at `epoch`.
    pub fn membership_in(&self, group: &str, epoch: Generation) -> Option<&Membership> {
        self.membership.as_ref().filter(|m| &*m.group == group && m.epoch == epoch)
    }
}
