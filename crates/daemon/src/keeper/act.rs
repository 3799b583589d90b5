//! Carries a keeper's actions out.

use base::prelude::*;
use group::prelude::*;

use crate::keeper::KeeperService;

impl KeeperService {
    /// Lets the keeper of `fabric` decide about an event and carries out what it asks for.
    pub(super) fn decide(&mut self, fabric: &FabricId, event: KeeperEvent) {
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
    fn carry_out(&mut self, fabric: &FabricId, action: KeeperAction) -> bool {
        match action {
            KeeperAction::Withdraw(group, generation) => {
                log::warn!("group `{group}` generation {generation}: no new work");
                self.ledger.down(&group, generation);
                return true;
            }
            KeeperAction::Vouch(group, fresh_since) => {
                let Some(facts) = self.io.facts(&group) else { return false };
                log::info!("group `{}` generation {}: whole", group.id, group.generation);
                self.ledger.up(facts, fresh_since);
                return true;
            }
            KeeperAction::Release(group) => {
                self.ledger.release(&group);
                return true;
            }
            KeeperAction::ReportLoad(group, load) => self.ledger.report_load(&group, load),
            KeeperAction::Probe(vm, number) => self.io.probe(fabric, vm, number),
            KeeperAction::Order(vm, number, message, deadline) => {
                self.io.order(fabric, vm, number, message, deadline);
            }
            KeeperAction::AskLoad { vm, group, version, members, missing } => {
                let bytes = self.io.member_bytes(&version, members);
                self.loads.ask(LoadWish { group, vm, bytes, missing }, self.cx.now());
            }
            KeeperAction::EndLoad(vm) => self.loads.end(&vm),
            KeeperAction::Read => self.io.read(fabric),
            KeeperAction::Write(expected, record) => self.io.write(fabric, expected, &record),
            KeeperAction::Record(event) => self.cx.record(event),
        }
        false
    }
}
