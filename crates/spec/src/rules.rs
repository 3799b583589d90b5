//! Validation rules for a single resource.
//!
//! References between resources are validated by [`crate::verify`].

use std::collections::BTreeSet;

use base::prelude::*;

use crate::kind::Resource;
use crate::resource::*;

/// Maximum length of a name in characters.
pub const MAX_NAME_CHARS: usize = 63;
/// Maximum length of an alias in characters.
pub const MAX_ALIAS_CHARS: usize = 128;
/// Length of a SHA-256 hash in hexadecimal digits.
pub const KEY_HASH_CHARS: usize = 64;

/// Validates the name of a resource, or a name that a resource gives to something outside the
/// catalog, such as a fabric domain.
pub fn check_name(name: &str, place: &str, findings: &mut Findings) {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    let first = name.chars().next();
    let ok = name.len() <= MAX_NAME_CHARS
        && name.chars().all(allowed)
        && first.is_some_and(|c| c.is_ascii_alphanumeric());
    findings.check(ok, place, || {
        format!(
            "name `{name}` is not allowed; allowed are 1 to {MAX_NAME_CHARS} of a-z, 0-9, `-`, \
             `.` and `_`, the first a letter or digit"
        )
    });
}

/// Validates the values of one resource; `place` is the path of its spec in findings.
pub fn check_resource(resource: &Resource, place: &str, findings: &mut Findings) {
    match resource {
        Resource::Model(model) => {
            at_least_one(model.max_output_tokens, &format!("{place}.max_output_tokens"), findings);
        }
        Resource::Version(version) => {
            weights(&version.weights, version.weight_bytes, place, findings);
        }
        Resource::Adapter(adapter) => {
            weights(&adapter.weights, adapter.weight_bytes, place, findings);
        }
        Resource::Brand(brand) => {
            let place = format!("{place}.display_name");
            let named = !brand.display_name.trim().is_empty();
            findings.check(named, &place, || "the display name is empty".to_owned());
        }
        Resource::Workspace(workspace) => check_workspace(workspace, place, findings),
        Resource::Replica(replica) => check_replica(replica, place, findings),
        Resource::BackendServer(server) => check_backend_server(server, place, findings),
        Resource::Service(service) => check_service(service, place, findings),
        Resource::Limits(limits) => check_limits(limits, place, findings),
    }
}

fn at_least_one(number: u32, place: &str, findings: &mut Findings) {
    findings.check(number >= 1, place, || "0 is below 1".to_owned());
}

fn weights(weights: &str, bytes: u64, place: &str, findings: &mut Findings) {
    let named = !weights.is_empty();
    findings.check(named, &format!("{place}.weights"), || {
        "the location of the weights is empty".to_owned()
    });
    findings.check(bytes >= 1, &format!("{place}.weight_bytes"), || "0 is below 1".to_owned());
}

fn unique<'a>(
    items: impl IntoIterator<Item = &'a str>,
    place: impl Fn(usize) -> String,
    item_kind: &str,
    findings: &mut Findings,
) {
    let mut seen = BTreeSet::new();
    for (index, item) in items.into_iter().enumerate() {
        let is_new = seen.insert(item);
        findings.check(is_new, &place(index), || format!("{item_kind} `{item}` is listed twice"));
    }
}

fn check_workspace(workspace: &Workspace, place: &str, findings: &mut Findings) {
    for (index, hash) in workspace.key_hashes.iter().enumerate() {
        let hexadecimal = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        let ok = hash.len() == KEY_HASH_CHARS && hash.chars().all(hexadecimal);
        findings.check(ok, &format!("{place}.key_hashes[{index}]"), || {
            "a key hash is the SHA-256 of the key: 64 lower-case hexadecimal digits".to_owned()
        });
    }
    let hashes = workspace.key_hashes.iter().map(|hash| &**hash);
    unique(hashes, |i| format!("{place}.key_hashes[{i}]"), "key hash", findings);
    for (index, access) in workspace.models.iter().enumerate() {
        check_alias(&access.alias, &format!("{place}.models[{index}].alias"), findings);
    }
    let aliases = workspace.models.iter().map(|access| &*access.alias);
    unique(aliases, |i| format!("{place}.models[{i}].alias"), "alias", findings);
    let services = workspace.services.iter().map(|service| &**service);
    unique(services, |i| format!("{place}.services[{i}]"), "service", findings);
}

fn check_alias(alias: &str, place: &str, findings: &mut Findings) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-._:/".contains(c);
    let ok = !alias.is_empty() && alias.len() <= MAX_ALIAS_CHARS && alias.chars().all(allowed);
    findings.check(ok, place, || {
        format!(
            "alias `{alias}` is not allowed; allowed are 1 to {MAX_ALIAS_CHARS} letters, digits, \
             `-`, `.`, `_`, `:` and `/`"
        )
    });
}

fn check_replica(replica: &Replica, place: &str, findings: &mut Findings) {
    at_least_one(replica.count, &format!("{place}.count"), findings);
    at_least_one(replica.vms, &format!("{place}.vms"), findings);
    let weight = replica.downtime_weight;
    findings.check((0.0..=1.0).contains(&weight), &format!("{place}.downtime_weight"), || {
        format!("{weight} is not between 0 and 1")
    });
    let adapters = replica.adapters.iter().map(|adapter| &**adapter);
    unique(adapters, |i| format!("{place}.adapters[{i}]"), "adapter", findings);
    let fabrics = replica.fabrics.iter().map(|fabric| &**fabric);
    unique(fabrics, |i| format!("{place}.fabrics[{i}]"), "fabric domain", findings);
}

fn check_backend_server(server: &BackendServer, place: &str, findings: &mut Findings) {
    let port = server.address.port();
    findings.check(port != 0, &format!("{place}.address"), || "port 0 is below 1".to_owned());
    check_name(&server.fabric, &format!("{place}.fabric"), findings);
    check_name(&server.failure_domain, &format!("{place}.failure_domain"), findings);
    at_least_one(server.accelerators, &format!("{place}.accelerators"), findings);
}

fn check_service(service: &Service, place: &str, findings: &mut Findings) {
    let any = !service.addresses.is_empty();
    findings.check(any, &format!("{place}.addresses"), || "no address".to_owned());
    let addresses: Vec<String> = service.addresses.iter().map(ToString::to_string).collect();
    let texts = addresses.iter().map(String::as_str);
    unique(texts, |i| format!("{place}.addresses[{i}]"), "address", findings);
    for (index, call) in service.non_idempotent.iter().enumerate() {
        let place = format!("{place}.non_idempotent[{index}]");
        let method = &*call.method;
        let upper = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
        findings.check(upper || method == "*", &format!("{place}.method"), || {
            format!("method `{method}` is neither in upper case nor `*`")
        });
        findings.check(call.path.starts_with('/'), &format!("{place}.path"), || {
            format!("path `{}` does not begin with `/`", call.path)
        });
    }
}

fn check_limits(limits: &Limits, place: &str, findings: &mut Findings) {
    let rates = [
        ("requests_per_second", limits.requests_per_second),
        ("tokens_per_second", limits.tokens_per_second),
        ("share", limits.share),
    ];
    for (name, rate) in rates {
        findings.check(rate.is_finite() && rate > 0.0, &format!("{place}.{name}"), || {
            format!("{rate} is not above 0")
        });
    }
    at_least_one(limits.burst, &format!("{place}.burst"), findings);
    at_least_one(limits.concurrent, &format!("{place}.concurrent"), findings);
}
