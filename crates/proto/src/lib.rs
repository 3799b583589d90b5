//! The protocols, as generated code that is committed.
//!
//! The sources are in `protos/`; `cargo run -p protogen` writes `src/gen/` anew.
//!
//! - [`etcdserverpb`] and [`mvccpb`]: the key-value service of the platform, met through the
//!   published etcd v3 protocol, with those calls only that the system makes.
//! - [`peer`]: the calls between the system's own processes.
//!
//! ```
//! use proto::prelude::*;
//!
//! let req = etcdserverpb::RangeRequest { key: "config/".into(), ..Default::default() };
//! assert_eq!(req.limit, 0);
//! ```

/// Records of the key-value service.
#[allow(missing_docs, unreachable_pub, unused_qualifications, clippy::all)]
pub mod mvccpb {
    include!("gen/mvccpb.rs");
}

/// Calls of the key-value service.
#[allow(missing_docs, unreachable_pub, unused_qualifications, clippy::all)]
pub mod etcdserverpb {
    include!("gen/etcdserverpb.rs");
}

/// Calls between the system's own processes.
#[allow(missing_docs, unreachable_pub, unused_qualifications, clippy::all)]
pub mod peer {
    include!("gen/samphire.peer.rs");
}

/// The protocols' modules.
pub mod prelude {
    pub use crate::etcdserverpb;
    pub use crate::mvccpb;
    pub use crate::peer;
}
