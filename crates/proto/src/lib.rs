//! Protobuf messages and gRPC services; the generated code is committed.
//!
//! The sources are in `protos/`; `cargo run -p protogen` regenerates `src/gen/`.
//!
//! - [`etcdserverpb`] and [`mvccpb`]: the platform's key-value service, through the published etcd
//!   v3 protocol, reduced to the calls that this system makes.
//! - [`peer`]: RPCs between the processes of this system.
//!
//! ```
//! use proto::prelude::*;
//!
//! let req = etcdserverpb::RangeRequest { key: "config/".into(), ..Default::default() };
//! assert_eq!(req.limit, 0);
//! ```

/// Records of the key-value service (etcd's `mvccpb` package).
#[allow(missing_docs, unreachable_pub, unused_qualifications, clippy::all)]
pub mod mvccpb {
    include!("gen/mvccpb.rs");
}

/// RPCs of the key-value service (etcd's `etcdserverpb` package).
#[allow(missing_docs, unreachable_pub, unused_qualifications, clippy::all)]
pub mod etcdserverpb {
    include!("gen/etcdserverpb.rs");
}

/// RPCs between the processes of this system.
#[allow(missing_docs, unreachable_pub, unused_qualifications, clippy::all)]
pub mod peer {
    include!("gen/samphire.peer.rs");
}

/// The modules of generated code.
pub mod prelude {
    pub use crate::etcdserverpb;
    pub use crate::mvccpb;
    pub use crate::peer;
}
