//! Carries a keeper's actions out.

use base::prelude::*;
use group::prelude::*;

use crate::keeper::KeeperService;

impl KeeperService {
    /// Lets the keeper of `fabric` decide about an event and carries out what it asks for.
    pub(super) fn decide(&mut self, fabric: &FabricId, event: ControllerEvent) {
        let now = self.cx.now();
        let Some(keeper) = self.keepers.get_mut(fabric) else { return };
        let actions = keeper.decide(event, now);
        let mut vouchers_changed = false;
        for action in actions {
            vouchers_changed |= self.carry_out(fabric, action);
        }
        if vouchers_changed {
            self.exchange_vouchers();
        }
    }

    /// Carries out one action and returns whether the list of vouchers changed.
    fn carry_out(&mut self, fabric: &FabricId, action: ControllerAction) -> bool {
        match action {
            ControllerAction::RevokeLease(group, generation) => {
                log::warn!("group `{group}` generation {generation}: no new work");
                self.ledger.revoke(&group, generation);
                return true;
            }
            ControllerAction::GrantLease(group, oldest_probe_sent_at) => {
                let Some(facts) = self.io.facts(&group) else { return false };
                log::info!("group `{}` generation {}: whole", group.id, group.generation);
                self.ledger.grant(facts, oldest_probe_sent_at);
                return true;
            }
            ControllerAction::LetLeaseExpire(group) => {
                self.ledger.let_expire(&group);
                return true;
            }
            ControllerAction::ReportLoad(group, load) => self.ledger.report_load(&group, load),
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
