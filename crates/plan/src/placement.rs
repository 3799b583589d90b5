//! Where a new group goes.
//!
//! Groups of a replica are spread over failure domains first, then over fabric domains; among
//! equals the tightest fit wins, so that large gaps stay for groups that need them.

use crate::cluster::ClusterState;
use crate::cluster::FabricIndex;
use crate::cluster::ReplicaIndex;
use crate::scratch::Scratch;

/// Returns the best fabric domain for a group of `replica`, which is in focus, if one has room beside its spares.
pub(crate) fn best_fabric(
    cluster: &ClusterState,
    scratch: &Scratch,
    replica: ReplicaIndex,
    except: Option<FabricIndex>,
) -> Option<FabricIndex> {
    let spec = &cluster.replicas[replica as usize];
    let fits = |fabric: &FabricIndex| {
        let allowed = spec.fabrics.is_empty() || spec.fabrics.contains(fabric);
        allowed && except != Some(*fabric) && scratch.available(*fabric) >= spec.vms as usize
    };
    let cost = |fabric: &FabricIndex| {
        let domain = cluster.fabrics[*fabric as usize].domain;
        let groups_in_domain = scratch.groups_in_domain(domain);
        let groups_in_fabric = scratch.groups_in_fabric(*fabric);
        (groups_in_domain, groups_in_fabric, scratch.available(*fabric), *fabric)
    };
    (0..cluster.fabrics.len() as FabricIndex).filter(fits).min_by_key(cost)
}
