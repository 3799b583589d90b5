//! Keeps the world up to date from the store.

use std::sync::Arc;

use kernel::prelude::*;
use kv::prelude::*;
use tokio::sync::mpsc;

use crate::edges::Edges;
use crate::edges::PeerEntry;
use crate::names;
use crate::report;
use crate::report::Line;
use crate::world::Shared;

/// Changes that may wait to be applied.
const DEPTH_CHANGES: usize = 256;

/// Prefix of the peers' entries below the system's own keys.
pub const PEERS: &str = "peers/";

/// Makes the service.
pub fn service() -> Service {
    Service::new(names::FOLLOW, &[], run)
}

async fn run(cx: Context) -> Result<(), Fault> {
    let edges: Edges = cx.registry().find(names::PROCESS)?;
    let shared: Arc<Shared> = cx.registry().find(names::PROCESS)?;
    let (tx, mut rx) = mpsc::channel(DEPTH_CHANGES);
    let peers = format!("{}{PEERS}", edges.keys.own).into();
    let prefixes = vec![edges.keys.declared.clone(), edges.keys.servers.clone(), peers];
    let mirror = tokio::spawn(kv::mirror::run(edges.store.clone(), prefixes, tx));
    cx.ready();
    loop {
        let change = tokio::select! {
            () = cx.stopping() => break,
            change = rx.recv() => change,
        };
        let Some(change) = change else { break };
        apply(&cx, &edges, &shared, change);
        while let Ok(change) = rx.try_recv() {
            apply(&cx, &edges, &shared, change);
        }
        shared.pump(cx.now());
        shared.servers_changed.notify_one();
    }
    mirror.abort();
    Ok(())
}

fn apply(cx: &Context, edges: &Edges, shared: &Shared, change: Change) {
    match change {
        Change::Row { key, value } => row(cx, edges, shared, &key, value.as_ref()),
        Change::Synced => set_store_up(shared, true, ""),
        Change::Lost(error) => set_store_up(shared, false, &error.to_string()),
    }
}

fn set_store_up(shared: &Shared, up: bool, problem: &str) {
    let mut world = shared.world.lock();
    if world.store_up != up {
        let state = if up { "up" } else { "down" };
        report::write(&Line::Dependency { name: "store", state, problem });
    }
    world.store_up = up;
}

fn row(cx: &Context, edges: &Edges, shared: &Shared, key: &str, value: Option<&Versioned>) {
    if let Some(id) = key.strip_prefix(&*edges.keys.servers) {
        server_row(cx, edges, shared, id, value);
    } else if key == &*edges.keys.declared {
        if let Some(value) = value {
            declared_row(edges, shared, value);
        }
    } else if let Some((_, node)) = key.split_once(PEERS) {
        peer_row(shared, node, value);
    }
}

fn server_row(cx: &Context, edges: &Edges, shared: &Shared, id: &str, value: Option<&Versioned>) {
    let decoded = value.map(|value| edges.decode.server(id, &value.value));
    let mut world = shared.world.lock();
    match decoded {
        Some(Ok(server)) => world.set_server(server),
        Some(Err(findings)) => {
            report::write(&Line::LeftOut { key: id, findings: &findings });
            world.remove_server(id, cx.now());
        }
        None => world.remove_server(id, cx.now()),
    }
}

fn declared_row(edges: &Edges, shared: &Shared, value: &Versioned) {
    match edges.decode.declared(&value.value) {
        Ok(declared) => {
            let findings = declared.verify();
            if !findings.is_empty() {
                report::write(&Line::LeftOut { key: &edges.keys.declared, findings: &findings });
            }
            shared.world.lock().set_declared(declared, "store");
        }
        Err(findings) => {
            report::write(&Line::LeftOut { key: &edges.keys.declared, findings: &findings });
        }
    }
}

fn peer_row(shared: &Shared, node: &str, value: Option<&Versioned>) {
    let entry = value.map(|value| serde_json::from_slice::<PeerEntry>(&value.value));
    let mut world = shared.world.lock();
    match entry {
        Some(Ok(entry)) => {
            world.peers.insert(node.into(), entry);
        }
        Some(Err(error)) => log::warn!("peer `{node}`: its entry can't be read: {error}"),
        None => {
            world.peers.remove(node);
        }
    }
}
