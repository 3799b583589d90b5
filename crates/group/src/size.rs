//! The size of a fabric domain's record, and how the largest domains are split.
//!
//! The key-value service stores values of up to [`MAX_RECORD_BYTES`]. A domain whose record could
//! exceed [`SPLIT_RECORD_BYTES`] is split into cells. Each VM belongs to exactly one cell, given by
//! [`cell_of`] from its name alone, and each cell has a record of its own. No two cells can name
//! the same VM, so a single compare-and-swap still decides each VM's assignment. All members of a
//! group are in the same cell. The number of cells of a domain may change only while its records
//! hold no groups.

use base::hash;

use crate::record::FabricRecord;
use crate::record::GroupRecord;
use crate::record::GroupState;
use crate::record::Member;

/// Prefix of the keys of records in the key-value service.
pub const RECORD_PREFIX: &str = "samphire/fabric/";
/// Largest size of a value in the key-value service, in bytes.
pub const MAX_RECORD_BYTES: usize = 1_000_000;
/// Size of a record, in bytes, above which its domain is split into cells.
pub const SPLIT_RECORD_BYTES: usize = MAX_RECORD_BYTES / 2;
/// Length of a name, in bytes, that is assumed for the upper bound of a record's size.
pub const LONG_NAME_BYTES: usize = 40;

/// Returns the cell of `vm` in a domain of `cells` cells.
pub fn cell_of(vm: &str, cells: u32) -> u32 {
    debug_assert!(cells > 0, "a domain has at least one cell");
    (hash::stable(vm.as_bytes()) % u64::from(cells.max(1))) as u32
}

/// Returns the key of the record of `cell` in `fabric`.
pub fn record_key(fabric: &str, cell: u32) -> Box<str> {
    match cell {
        0 => format!("{RECORD_PREFIX}{fabric}").into(),
        _ => format!("{RECORD_PREFIX}{fabric}/{cell}").into(),
    }
}

/// Returns a record of `groups` groups of `vms` VMs each and of `spares` spares, in which all names
/// are [`LONG_NAME_BYTES`] long and all numbers have their largest values.
pub fn largest_record(groups: usize, vms: usize, spares: usize) -> FabricRecord {
    let name = |number: usize| -> Box<str> { format!("{number:0LONG_NAME_BYTES$}").into() };
    let member =
        |vm: usize, rank: usize| Member { boot: u64::MAX, ..Member::new(name(vm), rank as u32) };
    let group = |i: usize| GroupRecord {
        id: name(i),
        replica: name(0),
        model: name(0),
        version: name(0),
        adapters: vec![name(0), name(1)],
        generation: u64::MAX - i as u64,
        state: GroupState::Draining,
        members: (0..vms).map(|rank| member(i * vms + rank, rank)).collect(),
    };
    FabricRecord {
        fabric: name(0),
        write_id: u64::MAX,
        last_generation: u64::MAX,
        groups: (0..groups).map(group).collect(),
        spares: (0..spares).map(|i| name(groups * vms + i)).collect(),
    }
}

/// Returns the number of cells that a domain of `groups` groups of `vms` VMs each and of `spares`
/// spares needs.
///
/// Cells fill unevenly, so a cell is sized for half of the largest value.
pub fn cells_needed(groups: usize, vms: usize, spares: usize) -> u32 {
    let bytes = largest_record(groups, vms, spares).to_text().len();
    bytes.div_ceil(SPLIT_RECORD_BYTES).max(1) as u32
}
