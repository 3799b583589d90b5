//! Tests of the validation of manifests and catalogs: all findings are reported at once, with their
//! paths.

use base::prelude::*;
use spec::kind::ALL_KINDS;
use spec::prelude::*;
use spec::status::ConditionKind;
use spec::status::ObservedGroup;
use spec::verify::referrers;

fn places(findings: &Findings) -> Vec<&str> {
    findings.iter().map(|finding| &*finding.place).collect()
}

#[test]
fn all_errors_of_a_manifest_are_reported_with_their_paths() {
    let text = r#"[
      {"kind": "workspace", "name": "Clubs!", "color": 1, "spec": {
        "brand": 7, "key_hashes": ["00"], "models": [{"alias": "a", "model": "m", "size": 2}],
        "services": "x"}},
      {"kind": "replica", "name": "r", "spec": {
        "model": "m", "version": "v", "count": 0, "vms": "two", "downtime_weight": 1.5}},
      {"kind": "planet", "name": "p", "spec": {}}]"#;
    let findings = read_manifests(text).unwrap_err();
    let expected = [
        "$[0].color",
        "$[0].name",
        "$[0].spec.brand",
        "$[0].spec.key_hashes[0]",
        "$[0].spec.models[0]",
        "$[0].spec.models[0].size",
        "$[0].spec.services",
        "$[1].spec.count",
        "$[1].spec.downtime_weight",
        "$[1].spec.vms",
        "$[2].kind",
    ];
    let mut places = places(&findings);
    places.sort_unstable();
    assert_eq!(places, expected, "{findings}");
}

#[test]
fn values_out_of_range_are_reported_together() {
    let text = r#"{"kind": "replica", "name": "R", "spec": {
        "model": "m", "version": "v", "count": 0, "vms": 0, "downtime_weight": 1.5}}"#;
    let findings = read_manifests(text).unwrap_err();
    let expected = ["$.name", "$.spec.count", "$.spec.vms", "$.spec.downtime_weight"];
    assert_eq!(places(&findings), expected, "{findings}");
}

#[test]
fn a_key_hash_must_be_64_lower_case_hexadecimal_digits() {
    let read = |hash: &str| {
        read_manifests(&format!(
            r#"{{"kind": "workspace", "name": "w", "spec":
                {{"brand": "b", "key_hashes": ["{hash}"], "models": []}}}}"#
        ))
    };
    assert!(read(&"0f".repeat(32)).is_ok());
    for hash in ["0f".repeat(31), "0F".repeat(32), "0g".repeat(32)] {
        assert_eq!(places(&read(&hash).unwrap_err()), ["$.spec.key_hashes[0]"]);
    }
}

#[test]
fn concatenated_manifests_of_every_kind_round_trip() {
    let mut text = String::new();
    for kind in ALL_KINDS {
        let resource = Resource::example(kind);
        let manifest = Manifest { name: "a".into(), resource, revision: Some(3) };
        text.push_str(&serde_json::to_string(&manifest).unwrap());
        text.push('\n');
    }
    let manifests = read_manifests(&text).unwrap();
    let kinds: Vec<Kind> = manifests.iter().map(|manifest| manifest.resource.kind()).collect();
    assert_eq!(kinds, ALL_KINDS);
}

fn example_catalog() -> Catalog {
    let mut catalog = Catalog::default();
    for kind in ALL_KINDS {
        catalog.set(kind.as_str(), Resource::example(kind), 1);
    }
    catalog
}

#[test]
fn every_broken_reference_of_a_catalog_is_a_finding() {
    let valid = example_catalog();
    verify(&valid).unwrap();
    for kind in [Kind::Model, Kind::Version, Kind::Adapter, Kind::Brand, Kind::Limits] {
        let mut catalog = valid.clone();
        catalog.delete(kind, kind.as_str(), 2);
        let findings = verify(&catalog).unwrap_err();
        let referrers = referrers(&valid, kind, kind.as_str());
        let named =
            |place: &str| referrers.iter().any(|(k, n)| place.starts_with(&format!("{k}/{n}.")));
        assert!(!referrers.is_empty() && findings.iter().all(|finding| named(&finding.place)));
    }
}

#[test]
fn duplicate_keys_and_addresses_and_versions_of_another_model_are_found() {
    let mut catalog = example_catalog();
    catalog.set("other", Resource::example(Kind::Workspace), 2);
    catalog.set("other", Resource::example(Kind::BackendServer), 2);
    catalog.set("other", Resource::example(Kind::Model), 2);
    let Resource::Version(mut version) = Resource::example(Kind::Version) else { panic!() };
    version.model = "other".into();
    catalog.set("version", Resource::Version(version), 2);
    let findings = verify(&catalog).unwrap_err();
    let expected = [
        "workspace/other.spec.models[0].version",
        "workspace/workspace.spec.models[0].version",
        "replica/replica.spec.version",
        "workspace/workspace.spec.key_hashes[0]",
        "backend_server/other.spec.address",
    ];
    let mut places = places(&findings);
    places.sort_unstable();
    let mut expected = expected;
    expected.sort_unstable();
    assert_eq!(places, expected, "{findings}");
}

#[test]
fn the_status_of_a_replica_names_what_is_missing() {
    let catalog = example_catalog();
    let entry = catalog.find(Kind::Replica, "replica").unwrap();
    let group = |serving| ObservedGroup {
        id: "g1".into(),
        replica: "replica".into(),
        model: "model".into(),
        version: "version".into(),
        adapters: vec![],
        serving,
        state: "broken".into(),
        vms: vec!["backend_server".into()],
    };
    let ready = |groups: &[ObservedGroup]| {
        let status = spec::status::status(&catalog, &entry, groups);
        status.condition(ConditionKind::Ready).unwrap().clone()
    };
    assert!(ready(&[group(true)]).holds);
    assert_eq!(&*ready(&[]).reason, "NoGroups");
    let broken = ready(&[group(false)]);
    assert_eq!(&*broken.message, "0 of 1 declared groups serve; g1 is broken");
}
