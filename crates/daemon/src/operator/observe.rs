//! What this process sees of the replica groups, in the form that statuses are computed from.

use group::record::GroupRecord;
use spec::status::ObservedGroup;

use super::State;

/// Returns all replica groups that this process knows.
pub(super) fn observed_groups(state: &State) -> Vec<ObservedGroup> {
    let now = state.cx.now();
    let table = state.groups.borrow().clone();
    let records = state.records.borrow().clone();
    let is_routable =
        |id: &str| table.groups.iter().any(|view| &*view.id == id && view.is_routable(now));
    let observe = |group: &GroupRecord| ObservedGroup {
        id: group.id.clone(),
        replica: group.replica.clone(),
        model: group.model.clone(),
        version: group.version.clone(),
        adapters: group.adapters.clone(),
        serving: is_routable(&group.id),
        state: format!("{:?}", group.state).to_lowercase().into(),
        vms: group.members.iter().map(|member| member.vm.clone()).collect(),
    };
    records.list.iter().flat_map(|record| &record.groups).map(observe).collect()
}
