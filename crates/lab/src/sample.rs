//! The sample deployment that the demo, the load generator and the tests use.
//!
//! It has two brands, three workspaces, one model in one version with one adapter, groups of two
//! VMs in two fabric domains, and one plain service.

use std::net::SocketAddr;

use base::prelude::*;
use daemon::entry::auth::hash_key;
use engine::prelude::*;
use group::record::FabricRecord;
use group::record::GroupRecord;
use group::record::GroupState;
use group::record::Member;
use http::Method;
use kv::prelude::*;
use spec::prelude::*;
use web::prelude::Client;

/// The model's alias for callers.
pub const ALIAS: &str = "assistant";
/// The model.
pub const MODEL: &str = "regatta";
/// The version.
pub const VERSION: &str = "regatta-1";
/// The adapter of the second brand.
pub const ADAPTER: &str = "tidal";
/// The plain service.
pub const SERVICE: &str = "entries";
/// Bearer key of the workspace `club`, which has access to the model without an adapter.
pub const CLUB_KEY: &str = "club-key-for-the-sample";
/// Bearer key of the workspace `harbour`, which has access to the model with the adapter.
pub const HARBOUR_KEY: &str = "harbour-key-for-the-sample";
/// Bearer key of the workspace `empty`, which has access to nothing.
pub const EMPTY_KEY: &str = "empty-key-for-the-sample";
/// Token of operators.
pub const OPERATOR_TOKEN: &str = "operator-token-for-the-sample";
/// Token of viewers.
pub const VIEWER_TOKEN: &str = "viewer-token-for-the-sample";
/// Secret that the daemons share.
pub const PEER_SECRET: &str = "peer-secret-for-the-sample";
/// VMs that each group spans.
pub const VMS_PER_GROUP: usize = 2;
/// Size of the model's weights in bytes.
pub const WEIGHT_BYTES: u64 = 1_000_000;
/// Timeout of an engine's response to an order or a status request.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// A VM of the deployment.
#[data]
pub struct Vm {
    /// Its name.
    pub name: VmId,
    /// Address of its engine.
    pub address: SocketAddr,
}

/// Returns the fabric domain of VM number `index` of `count`.
pub fn fabric_of(index: usize, count: usize) -> FabricId {
    if index < count.div_ceil(VMS_PER_GROUP * 2) * VMS_PER_GROUP { "f1" } else { "f2" }.into()
}

/// Returns the catalog of the deployment with these VMs and a plain service at `services`.
pub fn catalog(vms: &[Vm], services: Vec<SocketAddr>) -> Catalog {
    let mut catalog = Catalog { revision: 1, write_id: 1, ..Catalog::default() };
    catalog.models.put(MODEL, Model { max_output_tokens: 4_096 });
    let version =
        Version { model: MODEL.into(), weights: VERSION.into(), weight_bytes: WEIGHT_BYTES };
    catalog.versions.put(VERSION, version);
    let adapter =
        Adapter { model: MODEL.into(), weights: ADAPTER.into(), weight_bytes: WEIGHT_BYTES / 100 };
    catalog.adapters.put(ADAPTER, adapter);
    catalog.brands.put("franchise", Brand { display_name: "Franchise Regattas".into() });
    catalog.brands.put("tides", Brand { display_name: "Tidal Notices".into() });
    catalog.workspaces.put("club", workspace("franchise", CLUB_KEY, Some(None)));
    catalog.workspaces.put("harbour", workspace("tides", HARBOUR_KEY, Some(Some(ADAPTER))));
    catalog.workspaces.put("empty", workspace("tides", EMPTY_KEY, None));
    let non_idempotent = vec![CallPattern { method: "POST".into(), path: "/**".into() }];
    catalog.services.put(SERVICE, Service { addresses: services, non_idempotent });
    for (index, vm) in vms.iter().enumerate() {
        catalog.backend_servers.put(&vm.name, backend_server(vm, index, vms.len()));
    }
    let count = u32::try_from(vms.len() / VMS_PER_GROUP).unwrap_or(0);
    catalog.replicas.put("main", replica(count));
    catalog
}

fn workspace(brand: &str, key: &str, adapter: Option<Option<&str>>) -> Workspace {
    let models = adapter.iter().map(|adapter| ModelAccess {
        alias: ALIAS.into(),
        model: MODEL.into(),
        version: VERSION.into(),
        adapter: adapter.map(Into::into),
    });
    Workspace {
        brand: brand.into(),
        key_hashes: vec![hash_key(key)],
        models: models.collect(),
        services: adapter.iter().map(|_| SERVICE.into()).collect(),
        limits: None,
    }
}

fn backend_server(vm: &Vm, index: usize, count: usize) -> BackendServer {
    let fabric = fabric_of(index, count);
    BackendServer {
        address: vm.address,
        failure_domain: format!("domain-of-{fabric}").into(),
        fabric,
        accelerators: 8,
        checks_fencing: true,
        drain: false,
    }
}

fn replica(count: u32) -> Replica {
    Replica {
        model: MODEL.into(),
        version: VERSION.into(),
        adapters: vec![ADAPTER.into()],
        count,
        vms: u32::try_from(VMS_PER_GROUP).unwrap_or(1),
        fabrics: Vec::new(),
        spares: 0,
        downtime_weight: 0.5,
    }
}

/// Returns the records of groups formed from consecutive VMs.
pub fn fabric_records(vms: &[Vm]) -> Vec<FabricRecord> {
    let mut records: Vec<FabricRecord> = Vec::new();
    for (index, members) in vms.chunks_exact(VMS_PER_GROUP).enumerate() {
        let fabric = fabric_of(index * VMS_PER_GROUP, vms.len());
        if records.last().is_none_or(|record| record.fabric != fabric) {
            records.push(FabricRecord {
                fabric,
                write_id: 1,
                last_generation: 0,
                groups: Vec::new(),
                spares: Vec::new(),
            });
        }
        let record = records.last_mut().expect("one was pushed");
        record.last_generation += 1;
        record.groups.push(group_record(index, record.last_generation, members));
    }
    records
}

fn group_record(index: usize, generation: Generation, members: &[Vm]) -> GroupRecord {
    let ranked = members.iter().zip(0..);
    let members = ranked.map(|(vm, rank)| Member::new(vm.name.clone(), rank)).collect();
    GroupRecord {
        id: format!("main-{index}").into(),
        replica: "main".into(),
        model: MODEL.into(),
        version: VERSION.into(),
        adapters: vec![ADAPTER.into()],
        generation,
        state: GroupState::Serving,
        members,
    }
}

/// Assigns the engines to their groups and lets them load the model and the adapter.
///
/// Waits until each engine is ready and writes its boot id into `records`.
pub async fn assign_engines(vms: &[Vm], records: &mut [FabricRecord]) -> Result<(), Box<str>> {
    let client = Client::pooled(ORDER_TIMEOUT);
    let address = |name: &str| vms.iter().find(|vm| &*vm.name == name).map(|vm| vm.address);
    for group in records.iter_mut().flat_map(|record| &mut record.groups) {
        let members: Vec<_> =
            group.members.iter().filter_map(|member| address(&member.vm)).collect();
        for (rank, at) in members.iter().enumerate() {
            let rank = u32::try_from(rank).unwrap_or(0);
            let kinds = [
                OrderKind::Assign { rank, members: members.clone() },
                OrderKind::Load {
                    model: MODEL.into(),
                    version: VERSION.into(),
                    weights: VERSION.into(),
                    weight_bytes: WEIGHT_BYTES,
                },
                OrderKind::LoadAdapter {
                    adapter: ADAPTER.into(),
                    weights: ADAPTER.into(),
                    weight_bytes: WEIGHT_BYTES / 100,
                },
            ];
            for kind in kinds {
                let order = Order { group: group.id.clone(), generation: group.generation, kind };
                send_order(&client, *at, &order).await?;
            }
            group.members[rank as usize].boot = wait_ready(&client, *at).await?;
        }
    }
    Ok(())
}

async fn send_order(client: &Client, at: SocketAddr, order: &Order) -> Result<(), Box<str>> {
    let answer: OrderAnswer = client
        .json(at, Method::POST, "/v1/order", Some(order), ORDER_TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    match answer {
        OrderAnswer::Done | OrderAnswer::Accepted => Ok(()),
        unexpected => Err(format!("{at}: {unexpected:?}").into()),
    }
}

async fn wait_ready(client: &Client, at: SocketAddr) -> Result<BootId, Box<str>> {
    loop {
        let status: Status = client
            .json::<(), _>(at, Method::GET, "/v1/status", None, ORDER_TIMEOUT)
            .await
            .map_err(|error| error.to_string())?;
        if status.ready {
            return Ok(status.boot);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Writes the catalog and the records to the key-value service.
pub async fn seed(
    store: &dyn Store,
    catalog: &Catalog,
    records: &[FabricRecord],
) -> Result<(), KvError> {
    let bytes = serde_json::to_vec(catalog).expect("the catalog is serializable");
    store.compare_and_swap(CATALOG_KEY, 0, bytes.into()).await?;
    for record in records {
        let key = group::size::record_key(&record.fabric, 0);
        let bytes = serde_json::to_vec(record).expect("the record is serializable");
        store.compare_and_swap(&key, 0, bytes.into()).await?;
    }
    Ok(())
}

/// Returns the settings of a daemon of the deployment as JSON text; the system picks all ports.
pub fn settings(
    node: &str,
    kv: SocketAddr,
    seeds: &[SocketAddr],
    vm_list: Option<SocketAddr>,
) -> String {
    let any_port = "127.0.0.1:0";
    serde_json::json!({
        "node": node,
        "failure_domain": "domain-of-f1",
        "listen": {
            "caller": any_port,
            "operator": any_port,
            "peer": any_port,
            "gossip": any_port,
        },
        "kv": {"endpoints": [kv]},
        "vm_list": {"address": vm_list, "period_ms": 200},
        "peers": {"seeds": seeds, "secrets": [PEER_SECRET]},
        "operators": {"viewer_tokens": [VIEWER_TOKEN], "operator_tokens": [OPERATOR_TOKEN]},
        "log": {"level": "warn"},
    })
    .to_string()
}
