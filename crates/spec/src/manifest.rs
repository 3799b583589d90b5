//! Manifests: resources as operators write them in files and send them to the operator API.
//!
//! A manifest is `{"kind": "...", "name": "...", "spec": {...}, "revision": N}`. The optional
//! revision makes the change conditional: it is accepted only if the revision of the resource is
//! still `N`, where 0 means that the resource must not exist. A file contains one manifest, an array
//! of manifests, or several manifests one after the other.
//!
//! Here each manifest is parsed and validated by itself, and all findings are reported at once.
//! References between resources are validated by [`crate::verify`].

use base::prelude::*;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::kind::Resource;
use crate::read::read_with_recovery;
use crate::resource::*;
use crate::rules::check_name;
use crate::rules::check_resource;

/// A valid manifest.
#[derive(Clone, Debug, PartialEq)]
pub struct Manifest {
    /// The resource's name.
    pub name: Box<str>,
    /// The kind and spec.
    pub resource: Resource,
    /// The revision that the resource must have; 0 if it must not exist, `None` if the change is
    /// unconditional.
    pub revision: Option<Revision>,
}

/// A manifest before validation.
#[wire]
pub struct RawManifest {
    /// The kind's name.
    pub kind: Box<str>,
    /// The resource's name.
    pub name: Box<str>,
    /// The spec, whose fields depend on the kind.
    pub spec: Value,
    /// The revision that the resource must have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

impl From<&Manifest> for RawManifest {
    fn from(manifest: &Manifest) -> Self {
        RawManifest {
            kind: manifest.resource.kind().as_str().into(),
            name: manifest.name.clone(),
            spec: manifest.resource.to_json(),
            revision: manifest.revision,
        }
    }
}

impl Serialize for Manifest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        RawManifest::from(self).serialize(serializer)
    }
}

impl TryFrom<RawManifest> for Manifest {
    type Error = Findings;

    fn try_from(raw: RawManifest) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let manifest = check(raw, "$", &mut findings);
        match manifest {
            Some(manifest) => findings.into_result(manifest),
            None => Err(findings),
        }
    }
}

/// Parses and validates all manifests of a file or request body.
///
/// # Errors
///
/// All findings, not only the first.
pub fn read_manifests(text: &str) -> Result<Vec<Manifest>, Findings> {
    let mut findings = Findings::default();
    let values = values(text, &mut findings);
    let mut manifests = Vec::new();
    for (place, value) in values {
        let example = json!({"kind": "", "name": "", "spec": null, "revision": 0});
        let raw = read_with_recovery::<RawManifest>(value, &example, &place, &mut findings);
        if let Some(manifest) = raw.and_then(|raw| check(raw, &place, &mut findings)) {
            manifests.push(manifest);
        }
    }
    findings.into_result(manifests)
}

/// Parses a text into JSON values with their paths.
fn values(text: &str, findings: &mut Findings) -> Vec<(String, Value)> {
    let mut list = Vec::new();
    for value in serde_json::Deserializer::from_str(text).into_iter::<Value>() {
        match value {
            Ok(Value::Array(items)) => list.extend(items),
            Ok(value) => list.push(value),
            Err(error) => {
                findings.add(format!("$[{}]", list.len()), error.to_string());
                break;
            }
        }
    }
    findings.check(!list.is_empty() || !findings.is_empty(), "$", || "no manifest".to_owned());
    let single = list.len() == 1 && !text.trim_start().starts_with('[');
    let place = |index: usize| if single { "$".to_owned() } else { format!("$[{index}]") };
    list.into_iter().enumerate().map(|(index, value)| (place(index), value)).collect()
}

fn check(raw: RawManifest, place: &str, findings: &mut Findings) -> Option<Manifest> {
    check_name(&raw.name, &format!("{place}.name"), findings);
    let kind = match raw.kind.parse::<Kind>() {
        Ok(kind) => kind,
        Err(error) => {
            findings.add(format!("{place}.kind"), error.to_string());
            return None;
        }
    };
    let spec_place = format!("{place}.spec");
    let mut type_errors = Findings::default();
    let resource = read_resource(kind, raw.spec, &spec_place, &mut type_errors);
    let mut invalid_values = Findings::default();
    if let Some(resource) = &resource {
        check_resource(resource, &spec_place, &mut invalid_values);
    }
    // A problem in a part that was substituted from the example does not concern the input.
    let substituted =
        |place: &str| type_errors.iter().any(|error| place.starts_with(&*error.place));
    for finding in invalid_values.iter().filter(|finding| !substituted(&finding.place)) {
        findings.add(finding.place.clone(), finding.problem.clone());
    }
    findings.merge(type_errors);
    let resource = resource?;
    Some(Manifest { name: raw.name, resource, revision: raw.revision })
}

/// Deserializes the spec of a resource of `kind`, and adds all errors to `findings` with their path
/// below `place`.
pub fn read_resource(
    kind: Kind,
    spec: Value,
    place: &str,
    findings: &mut Findings,
) -> Option<Resource> {
    let example = Resource::example(kind).to_json();
    macro_rules! read {
        ($variant:ident) => {
            read_with_recovery(spec, &example, place, findings).map(Resource::$variant)
        };
    }
    match kind {
        Kind::Model => read!(Model),
        Kind::Version => read!(Version),
        Kind::Adapter => read!(Adapter),
        Kind::Brand => read!(Brand),
        Kind::Workspace => read!(Workspace),
        Kind::Replica => read!(Replica),
        Kind::BackendServer => read!(BackendServer),
        Kind::Service => read!(Service),
        Kind::Limits => read!(Limits),
    }
}
