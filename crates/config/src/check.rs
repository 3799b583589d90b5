//! Validation rules that involve several settings, or the expectations of other processes.

use base::prelude::*;

use crate::settings::Settings;

/// Maximum length in bytes of the name of a process, failure domain or region.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of secrets that processes accept from each other: the current one, and a second
/// one during a rotation.
const MAX_PEER_SECRETS: usize = 2;

impl Settings {
    /// Adds a finding for each violated rule.
    pub(crate) fn check(&self, findings: &mut Findings) {
        self.check_peers(findings);
        self.claims.check("$.claims", findings);
        let controller = &self.group_controller;
        findings.check(controller.probe_timeout <= controller.lease_ttl, "$.keeper", || {
            format!(
                "probe_timeout_ms {} is above voucher_ttl_ms {}",
                controller.probe_timeout.as_millis(),
                controller.lease_ttl.as_millis(),
            )
        });
        findings.check(controller.probe_period < controller.lease_ttl, "$.keeper", || {
            format!(
                "probe_period_ms {} is not below voucher_ttl_ms {}",
                controller.probe_period.as_millis(),
                controller.lease_ttl.as_millis(),
            )
        });
    }

    /// Checks the limits that other processes enforce, and that they can reach this one.
    fn check_peers(&self, findings: &mut Findings) {
        let names = [
            ("$.node", &self.node),
            ("$.failure_domain", &self.failure_domain),
            ("$.region", &self.region),
        ];
        for (place, name) in names {
            findings.check(name.len() <= MAX_NAME_BYTES, place, || {
                format!(
                    "found a name of {} bytes; at most {MAX_NAME_BYTES} are allowed",
                    name.len()
                )
            });
        }
        let count = self.peers.secrets.len();
        findings.check(count <= MAX_PEER_SECRETS, "$.peers.secrets", || {
            format!("found {count} secrets; at most {MAX_PEER_SECRETS} are allowed")
        });
        let listening =
            [("$.listen.gossip", self.listen.gossip), ("$.listen.peer", self.listen.peer)];
        for (place, address) in listening {
            findings.check(count == 0 || !address.ip().is_unspecified(), place, || {
                format!("{address} is not an address at which other processes can reach this one")
            });
        }
    }
}
