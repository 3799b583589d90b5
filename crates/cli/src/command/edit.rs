//! `apply`, `delete`, `drain` and `undrain`.

use std::path::PathBuf;

use base::prelude::*;
use http::Method;
use serde_json::Value;
use spec::api::ChangeView;
use spec::api::ErrorKind;
use spec::api::ResourceView;
use spec::manifest::read_manifests;
use spec::prelude::Kind;

use super::print_json;
use super::read_file;
use crate::args::Output;
use crate::failure::ErrorResponse;
use crate::failure::Failure;
use crate::servers::Servers;
use crate::servers::Write;

/// Attempts to drain a backend server that others modify concurrently.
const MAX_DRAIN_ATTEMPTS: usize = 8;

/// Applies the manifests of all files in one change.
pub(super) async fn apply(
    servers: &Servers,
    files: &[PathBuf],
    dry_run: bool,
    output: Output,
) -> Result<(), Failure> {
    let mut manifests = Vec::new();
    let mut problems = String::new();
    for file in files {
        match read_manifests(&read_file(file)?) {
            Ok(more) => manifests.extend(more),
            Err(findings) => problems.push_str(&format!("{}:\n{findings}\n", file.display())),
        }
    }
    if !problems.is_empty() {
        return Err(Failure::bad_input("manifests", format!("\n{}", problems.trim_end())));
    }
    let write = Write {
        method: Method::POST,
        path: format!("/api/v1/apply?dry_run={dry_run}"),
        body: serde_json::to_string(&manifests).expect("manifests can be serialized as JSON"),
        revision: None,
        write_id: random_id(),
    };
    let response = servers.write(&write).await?;
    print_change(&response, output);
    Ok(())
}

/// Deletes a resource.
pub(super) async fn delete(
    servers: &Servers,
    kind: Kind,
    name: &str,
    revision: Option<Revision>,
    dry_run: bool,
    output: Output,
) -> Result<(), Failure> {
    let write = Write {
        method: Method::DELETE,
        path: format!("/api/v1/{kind}/{name}?dry_run={dry_run}"),
        body: String::new(),
        revision,
        write_id: random_id(),
    };
    let response = servers.write(&write).await?;
    print_change(&response, output);
    Ok(())
}

/// Sets or clears the drain flag of a backend server, conditionally on the revision that was read;
/// repeated when the revision has changed in between.
pub(super) async fn drain(
    servers: &Servers,
    name: &str,
    drain: bool,
    output: Output,
) -> Result<(), Failure> {
    let path = format!("/api/v1/{}/{name}", Kind::BackendServer);
    for _ in 1..MAX_DRAIN_ATTEMPTS {
        let view: ResourceView = servers.read(&path).await?;
        match set_drain(servers, &path, view, drain).await {
            Err(Failure::Refused(ErrorResponse(response)))
                if response.error == ErrorKind::Conflict => {}
            response => {
                print_change(&response?, output);
                return Ok(());
            }
        }
    }
    let view: ResourceView = servers.read(&path).await?;
    print_change(&set_drain(servers, &path, view, drain).await?, output);
    Ok(())
}

async fn set_drain(
    servers: &Servers,
    path: &str,
    view: ResourceView,
    drain: bool,
) -> Result<ChangeView, Failure> {
    let mut spec = view.spec;
    if let Value::Object(fields) = &mut spec {
        fields.insert("drain".to_owned(), Value::Bool(drain));
    }
    let manifest = serde_json::json!({"kind": view.kind, "name": view.name, "spec": spec});
    let write = Write {
        method: Method::PUT,
        path: path.to_owned(),
        body: manifest.to_string(),
        revision: Some(view.revision),
        write_id: random_id(),
    };
    servers.write(&write).await
}

fn print_change(change: &ChangeView, output: Output) {
    if output == Output::Json {
        print_json(change);
        return;
    }
    let revision = change.revision;
    match (change.dry_run, change.changed) {
        (true, true) => println!("would be accepted, checked on revision {revision}"),
        (true, false) => println!("would change nothing, checked on revision {revision}"),
        (false, true) => println!("accepted as revision {revision}"),
        (false, false) => println!("unchanged since revision {revision}"),
    }
}
