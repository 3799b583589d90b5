//! The declared resources of the repair measurement.

use spec::prelude::*;

use crate::measure::repair::ACCELERATORS_PER_VM;
use crate::measure::repair::DOMAINS;
use crate::measure::repair::FABRICS_PER_DOMAIN;
use crate::measure::repair::GROUP_BYTES;
use crate::measure::repair::GROUPS;
use crate::measure::repair::VMS_PER_FABRIC;
use crate::measure::repair::VMS_PER_GROUP;

const MODEL: &str = "m";
const VERSION: &str = "v";
const REPLICA: &str = "r";

/// Returns a catalog with one replica of the given downtime weight.
pub(super) fn catalog(downtime_weight: f64) -> Catalog {
    let mut catalog = Catalog { revision: 1, ..Catalog::default() };
    catalog.models.put(MODEL, Model { max_output_tokens: 1 });
    let version =
        Version { model: MODEL.into(), weights: VERSION.into(), weight_bytes: GROUP_BYTES };
    catalog.versions.put(VERSION, version);
    for fabric in 0..DOMAINS * FABRICS_PER_DOMAIN {
        for vm in 0..VMS_PER_FABRIC {
            let name = format!("f{fabric}-{vm:03}");
            catalog.backend_servers.put(&name, server(fabric));
        }
    }
    catalog.replicas.put(
        REPLICA,
        Replica {
            model: MODEL.into(),
            version: VERSION.into(),
            adapters: vec![],
            count: GROUPS,
            vms: VMS_PER_GROUP,
            fabrics: vec![],
            spares: 0,
            downtime_weight,
        },
    );
    catalog
}

fn server(fabric: u32) -> BackendServer {
    BackendServer {
        address: ([127, 0, 0, 1], 1).into(),
        fabric: format!("f{fabric}").into(),
        failure_domain: format!("d{}", fabric / FABRICS_PER_DOMAIN).into(),
        accelerators: ACCELERATORS_PER_VM,
        checks_fencing: true,
        drain: false,
    }
}
