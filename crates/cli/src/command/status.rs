//! `status`: the active revision of each process, and why some are behind.

use base::prelude::*;
use serde::Serialize;
use spec::api::ProcessView;
use spec::api::WriteStatusView;

use super::print_json;
use crate::args::Output;
use crate::failure::Failure;
use crate::servers::Servers;
use crate::table::Table;

/// The status of one process.
#[derive(Clone, Debug, Serialize)]
struct ProcessStatus {
    node: Box<str>,
    server: Box<str>,
    revision: Option<Revision>,
    boot: Option<BootId>,
    failure_domain: Box<str>,
    /// Whether the process is ready and at the highest revision that any process knows.
    current: bool,
    reason: Box<str>,
}

/// Shows the processes at the given servers, and the other processes that these know.
pub(super) async fn processes(servers: &Servers, output: Output) -> Result<(), Failure> {
    let mut views: Vec<ProcessView> = Vec::new();
    let mut responding = Vec::new();
    let mut lines = Vec::new();
    for address in servers.addresses() {
        match servers.read_from::<ProcessView>(*address, "/api/v1/status").await {
            Ok(view) => {
                views.push(view);
                responding.push(address);
            }
            Err(Failure::Unreachable(problem)) => lines.push(unreachable(address, problem)),
            Err(failure) => return Err(failure),
        }
    }
    if views.is_empty() {
        return Err(Failure::Unreachable("no server responded".into()));
    }
    let highest = views.iter().map(|view| view.highest.max(view.revision)).max().unwrap_or(0);
    for (view, address) in views.iter().zip(responding) {
        lines.push(responded(view, &address.to_string(), highest));
    }
    lines.extend(known_by_peers(&views, highest));
    print(&lines, output);
    Ok(())
}

fn unreachable(address: &std::net::SocketAddr, problem: Box<str>) -> ProcessStatus {
    ProcessStatus {
        node: "?".into(),
        server: address.to_string().into(),
        revision: None,
        boot: None,
        failure_domain: "".into(),
        current: false,
        reason: problem,
    }
}

fn responded(view: &ProcessView, server: &str, highest: Revision) -> ProcessStatus {
    let behind = highest.saturating_sub(view.revision);
    let reason = match (behind, view.reason.is_empty()) {
        (0, _) => view.reason.clone(),
        (_, true) => format!("{behind} revisions behind").into(),
        (_, false) => format!("{behind} revisions behind: {}", view.reason).into(),
    };
    ProcessStatus {
        node: view.node.clone(),
        server: server.into(),
        revision: Some(view.revision),
        boot: Some(view.boot),
        failure_domain: view.failure_domain.clone(),
        current: behind == 0 && view.ready,
        reason,
    }
}

/// Returns the processes that were not queried or did not respond, as known to those that did.
fn known_by_peers(views: &[ProcessView], highest: Revision) -> Vec<ProcessStatus> {
    let mut lines: Vec<ProcessStatus> = Vec::new();
    for peer in views.iter().flat_map(|view| &view.peers) {
        let known = views.iter().any(|view| view.node == peer.node)
            || lines.iter().any(|line| line.node == peer.node);
        if !known {
            lines.push(ProcessStatus {
                node: peer.node.clone(),
                server: "".into(),
                revision: Some(peer.revision),
                boot: None,
                failure_domain: "".into(),
                current: peer.revision >= highest && &*peer.state == "alive",
                reason: format!("heard of by others: {}", peer.state).into(),
            });
        }
    }
    lines
}

fn print(lines: &[ProcessStatus], output: Output) {
    if output == Output::Json {
        print_json(&lines);
        return;
    }
    let mut table = Table::new(&["NODE", "SERVER", "REVISION", "CURRENT", "BOOT", "REASON"]);
    let text = |number: Option<u64>| number.map_or("?".to_owned(), |number| number.to_string());
    for line in lines {
        table.row([
            line.node.to_string(),
            line.server.to_string(),
            text(line.revision),
            line.current.to_string(),
            line.boot.map_or("?".to_owned(), |boot| format!("{boot:016x}")),
            line.reason.to_string(),
        ]);
    }
    print!("{table}");
}

/// Shows the status of a write.
pub(super) async fn write(servers: &Servers, id: WriteId, output: Output) -> Result<(), Failure> {
    let status: WriteStatusView = servers.read(&format!("/api/v1/writes/{id}")).await?;
    if output == Output::Json {
        print_json(&status);
    }
    match status {
        WriteStatusView::Applied { revision } => {
            if output == Output::Table {
                println!("write {id} was accepted as revision {revision}");
            }
            Ok(())
        }
        WriteStatusView::NeverApplied | WriteStatusView::Open | WriteStatusView::Forgotten => {
            Err(Failure::Unknown { write_id: id })
        }
    }
}
