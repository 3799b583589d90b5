//! Replica groups: their records, states and keeping.
//!
//! - [`record`]: [`FabricRecord`](record::FabricRecord), all assignments of one fabric domain, kept
//!   as one value in the key-value service, and the one table of legal moves.
//! - [`verify`]: the verifier of such a record.
//! - [`moves`]: [`Move`](moves::Move) and [`apply`](moves::apply), each one compare-and-swap.
//! - [`size`]: the size of a record at the target, and how the largest domains are split.
//! - [`view`]: [`GroupView`](view::GroupView), what routing knows of one group.
//!
//! ```
//! use group::prelude::*;
//!
//! let empty = FabricRecord::empty("f1".into());
//! let purpose = Purpose {
//!     replica: "tide".into(),
//!     model: "tide".into(),
//!     version: "v1".into(),
//!     adapters: vec![],
//! };
//! let form = Move::Form { purpose, vms: vec!["a".into(), "b".into()] };
//! let record = apply(&empty, &form, 7)?;
//! assert_eq!(record.groups[0].state, GroupState::Forming);
//! # Ok::<(), base::prelude::Findings>(())
//! ```

pub mod moves;
pub mod record;
pub mod size;
pub mod verify;
pub mod view;

/// The common types of this crate.
pub mod prelude {
    pub use crate::moves::MemberBoot;
    pub use crate::moves::Move;
    pub use crate::moves::Purpose;
    pub use crate::moves::Target;
    pub use crate::moves::apply;
    pub use crate::moves::next_group_id;
    pub use crate::record::FabricRecord;
    pub use crate::record::GroupRecord;
    pub use crate::record::GroupState;
    pub use crate::record::Member;
    pub use crate::record::Role;
    pub use crate::view::GroupTable;
    pub use crate::view::GroupView;
}
