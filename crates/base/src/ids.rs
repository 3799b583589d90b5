//! Type aliases for ids and numbers that travel between processes.
//!
//! Names that operators give are text; numbers that the system draws are `u64`.

use std::time::Duration;

use rand::Rng;

/// Name of one of our own processes (an entry VM's daemon).
pub type NodeId = Box<str>;
/// Name of a VM that hosts a backend server.
pub type VmId = Box<str>;
/// Name of a fabric domain: VMs joined by one fast fabric.
pub type FabricId = Box<str>;
/// Name of a failure domain.
pub type FailureDomainId = Box<str>;
/// Name of a replica group, unique over the deployment.
pub type GroupId = Box<str>;
/// Name of a model.
pub type ModelId = Box<str>;
/// Name of a version of a model.
pub type VersionId = Box<str>;
/// Name of an adapter of a model.
pub type AdapterId = Box<str>;
/// Name of a workspace.
pub type WorkspaceId = Box<str>;
/// Name of a plain service.
pub type ServiceId = Box<str>;
/// Id of one caller request, drawn by the process that accepted it.
pub type RequestId = u64;
/// Id of one attempt of a request at one replica group, unique over the deployment.
pub type AttemptId = u64;
/// Id of one write to the key-value service, drawn at random by its writer.
pub type WriteId = u64;
/// Id of one life of a process or VM, drawn at random when it starts.
pub type BootId = u64;
/// Generation of a replica group: the fencing number that its orders carry.
pub type Generation = u64;
/// Revision of the accepted configuration.
pub type Revision = u64;
/// Monotonic time since the process started. Pure code takes it as an argument.
pub type Mono = Duration;

/// Draws a random id that is unlike any other, and never zero.
pub fn random_id() -> u64 {
    rand::rng().random_range(1..=u64::MAX)
}
