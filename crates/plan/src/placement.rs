//! The choice of a fabric domain for a new group.
//!
//! Groups of a replica are spread over failure domains first, then over fabric domains. Ties go to
//! the tightest fit, which keeps large blocks of free VMs for the groups that need them.

use crate::cluster::ClusterState;
use crate::cluster::FabricIndex;
use crate::cluster::ReplicaIndex;
use crate::scratch::Scratch;

/// Returns the best fabric domain for a group of `replica`, if one has enough VMs beside its
/// spares.
///
/// `replica` must be the one whose groups `scratch` counts; `except` is a fabric domain to avoid.
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
