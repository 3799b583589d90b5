//! Where a new group goes.
//!
//! Groups of a replica are spread over failure domains first, then over fabric domains; among
//! equals the tightest fit wins, so that large gaps stay for groups that need them.

use crate::scratch::Scratch;
use crate::world::FabricIndex;
use crate::world::ReplicaIndex;
use crate::world::World;

/// Returns the best fabric domain for a group of `replica`, which is in focus, if one has room beside its spares.
pub(crate) fn place(
    world: &World,
    scratch: &Scratch,
    replica: ReplicaIndex,
    except: Option<FabricIndex>,
) -> Option<FabricIndex> {
    let need = &world.replicas[replica as usize];
    let fits = |fabric: &FabricIndex| {
        let allowed = need.fabrics.is_empty() || need.fabrics.contains(fabric);
        allowed && except != Some(*fabric) && scratch.room(*fabric) >= need.vms as usize
    };
    let cost = |fabric: &FabricIndex| {
        let domain = world.fabrics[*fabric as usize].domain;
        let in_domain = scratch.in_domain(domain);
        let in_fabric = scratch.in_fabric(*fabric);
        (in_domain, in_fabric, scratch.room(*fabric), *fabric)
    };
    (0..world.fabrics.len() as FabricIndex).filter(fits).min_by_key(cost)
}
