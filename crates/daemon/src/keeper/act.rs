//! Carries out the actions of the group controllers.

use base::prelude::*;
use group::prelude::*;

use crate::keeper::GroupControlService;

impl GroupControlService {
    /// Passes an event to the controller of `fabric` and carries out the resulting actions.
    pub(super) fn decide(&mut self, fabric: &FabricId, event: ControllerEvent) {
        let now = self.cx.now();
        let Some(controller) = self.controllers.get_mut(fabric) else { return };
        let actions = controller.decide(event, now);
        let mut leases_changed = false;
        for action in actions {
            leases_changed |= self.carry_out(fabric, action);
        }
        if leases_changed {
            self.exchange_routing_leases();
        }
    }

    /// Carries out one action and returns whether the list of routing leases changed.
    fn carry_out(&mut self, fabric: &FabricId, action: ControllerAction) -> bool {
        match action {
            ControllerAction::RevokeLease(group, generation) => {
                log::warn!("group `{group}` generation {generation}: routing lease revoked");
                self.lease_issuer.revoke(&group, generation);
                return true;
            }
            ControllerAction::GrantLease(group, oldest_probe_sent_at) => {
                let Some(endpoint) = self.io.endpoint(&group) else { return false };
                log::info!(
                    "group `{}` generation {}: healthy, routing lease granted",
                    group.id,
                    group.generation
                );
                self.lease_issuer.grant(endpoint, oldest_probe_sent_at);
                return true;
            }
            ControllerAction::LetLeaseExpire(group) => {
                self.lease_issuer.let_expire(&group);
                return true;
            }
            ControllerAction::ReportLoad(group, load) => {
                self.lease_issuer.report_load(&group, load)
            }
            ControllerAction::Probe(vm, number) => self.io.probe(fabric, vm, number),
            ControllerAction::Order(vm, number, message, deadline) => {
                self.io.order(fabric, vm, number, message, deadline);
            }
            ControllerAction::RequestLoad { vm, group, version, members, missing } => {
                let bytes = self.io.member_bytes(&version, members);
                self.loads.request(WeightLoadRequest { group, vm, bytes, missing }, self.cx.now());
            }
            ControllerAction::FinishLoad(vm) => self.loads.finish(&vm),
            ControllerAction::ReadRecord => self.io.read(fabric),
            ControllerAction::WriteRecord(expected, record) => {
                self.io.write(fabric, expected, &record)
            }
            ControllerAction::LogEvent(event) => self.cx.record(event),
        }
        false
    }
}
