//! The replica groups as this process knows them, in the form from which the statuses of resources
//! are computed.

use group::record::GroupRecord;
use spec::status::ObservedGroup;

use super::State;
use crate::keeper::GroupReport;

/// Returns all replica groups that this process knows.
pub(super) fn observed_groups(state: &State) -> Vec<ObservedGroup> {
    let now = state.cx.now();
    let table = state.groups.borrow().clone();
    let records = state.records.borrow().clone();
    let report = state.report.borrow().clone();
    let is_routable =
        |id: &str| table.groups.iter().any(|view| &*view.id == id && view.is_routable(now));
    let observe = |group: &GroupRecord| ObservedGroup {
        id: group.id.clone(),
        replica: group.replica.clone(),
        model: group.model.clone(),
        version: group.version.clone(),
        adapters: group.adapters.clone(),
        serving: is_routable(&group.id),
        state: state_text(group, &report),
        vms: group.members.iter().map(|member| member.vm.clone()).collect(),
    };
    records.list.iter().flat_map(|record| &record.groups).map(observe).collect()
}

/// Returns the state of `group`, with the unhealthy member and the reason if there is one.
fn state_text(group: &GroupRecord, report: &GroupReport) -> Box<str> {
    let status = report.groups.iter().find(|status| status.group == group.id);
    match status.and_then(|status| status.unhealthy_member.as_ref()) {
        Some(unhealthy) => {
            let (vm, why) = (&unhealthy.vm, unhealthy.reason.name());
            format!("{} (VM {vm} is {why})", group.state.name()).into()
        }
        None => group.state.name().into(),
    }
}
