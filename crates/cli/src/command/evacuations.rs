//! `evacuations`: the evacuations of failure domains, as each process knows them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use super::print_json;
use crate::args::Output;
use crate::failure::Failure;
use crate::servers::Servers;
use crate::table::Table;

/// A failure domain that is being evacuated or returns, as a process shows it.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct EvacuationView {
    domain: Box<str>,
    state: Box<str>,
    /// Milliseconds since the process learned of it.
    age_ms: u64,
    /// Requests of the process in progress in the domain.
    requests: u64,
}

/// What one process shows.
#[derive(Clone, Debug, Serialize)]
struct ProcessEvacuations {
    server: SocketAddr,
    evacuations: Vec<EvacuationView>,
    /// Why the process did not respond; empty if it did.
    problem: Box<str>,
}

/// Shows the evacuations that the processes at the given servers know.
pub(super) async fn evacuations(servers: &Servers, output: Output) -> Result<(), Failure> {
    let mut shown = Vec::new();
    for &server in servers.addresses() {
        let (evacuations, problem) = match servers.read_from(server, "/evacuations").await {
            Ok(evacuations) => (evacuations, Box::default()),
            Err(Failure::Unreachable(problem)) => (Vec::new(), problem),
            Err(failure) => return Err(failure),
        };
        shown.push(ProcessEvacuations { server, evacuations, problem });
    }
    if shown.iter().all(|process| !process.problem.is_empty()) {
        return Err(Failure::Unreachable("no server responded".into()));
    }
    match output {
        Output::Json => print_json(&shown),
        Output::Table => print_table(&shown),
    }
    Ok(())
}

fn print_table(shown: &[ProcessEvacuations]) {
    let mut table = Table::new(&["SERVER", "DOMAIN", "STATE", "AGE", "REQUESTS"]);
    for process in shown {
        let server = process.server.to_string();
        if !process.problem.is_empty() {
            table.row([server, "?".into(), process.problem.to_string(), "".into(), "".into()]);
            continue;
        }
        for view in &process.evacuations {
            table.row([
                server.clone(),
                view.domain.to_string(),
                view.state.to_string(),
                format!("{:.1} s", view.age_ms as f64 / 1e3),
                view.requests.to_string(),
            ]);
        }
    }
    print!("{table}");
}
