//! Checks of settings that span several fields, or what other processes expect.

use base::prelude::*;

use crate::settings::Settings;

/// Longest name of a process, failure domain or region, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Secrets that processes accept from each other: the one in use, and one during a rotation.
const MAX_PEER_SECRETS: usize = 2;

impl Settings {
    /// Checks what spans several fields.
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

    /// Checks what the processes must keep to so that they understand each other.
    fn check_peers(&self, findings: &mut Findings) {
        let names = [
            ("$.node", &self.node),
            ("$.failure_domain", &self.failure_domain),
            ("$.region", &self.region),
        ];
        for (place, name) in names {
            findings.check(name.len() <= MAX_NAME_BYTES, place, || {
                format!("a name of {} bytes is above {MAX_NAME_BYTES}", name.len())
            });
        }
        let count = self.peers.secrets.len();
        findings.check(count <= MAX_PEER_SECRETS, "$.peers.secrets", || {
            format!("{count} secrets are more than {MAX_PEER_SECRETS}")
        });
        let listening =
            [("$.listen.gossip", self.listen.gossip), ("$.listen.peer", self.listen.peer)];
        for (place, address) in listening {
            findings.check(count == 0 || !address.ip().is_unspecified(), place, || {
                format!("{address} is not an address that other processes reach")
            });
        }
    }
}
