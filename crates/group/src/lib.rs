//! Replica groups: their records, states and keeping.
//!
//! - [`record`]: [`FabricRecord`](record::FabricRecord), all assignments of one fabric domain, kept
//!   as one value in the key-value service.
//! - [`view`]: [`GroupView`](view::GroupView), what routing knows of one group.

pub mod record;
pub mod view;
