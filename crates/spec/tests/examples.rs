//! Tests that the examples of docs/CONFIGURATION.md are accepted unchanged.

use std::collections::BTreeSet;

use spec::accept::Change;
use spec::accept::Edit;
use spec::accept::Evaluation;
use spec::accept::WorkingCatalog;
use spec::kind::ALL_KINDS;
use spec::prelude::*;
use spec::status::ConditionKind;

/// Replica groups that each user runs.
const GROUPS: u32 = 55;
const WORKSPACES: usize = 10;
const FAILURE_DOMAINS: usize = 3;

fn root() -> &'static str {
    concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs")
}

fn accept(catalog: &Catalog, text: &str) -> Catalog {
    let manifests = read_manifests(text).unwrap_or_else(|findings| panic!("{findings}\n{text}"));
    let edits = manifests.into_iter().map(Edit::Apply).collect();
    let change = Change { write_id: 1, operator: "o".into(), edits, dry_run: false };
    let mut working = WorkingCatalog::new(catalog);
    let verdict = working.evaluate(&change);
    assert!(!matches!(verdict, Evaluation::Refused { .. }), "{verdict:?}\n{text}");
    working.into_catalog()
}

#[test]
fn each_example_deployment_is_accepted_and_placeable() {
    for user in ["wioslarz", "vatuloa"] {
        let text = std::fs::read_to_string(format!("{}/examples/{user}.jsonl", root())).unwrap();
        let catalog = accept(&Catalog::default(), &text);
        let groups: u32 = catalog.replicas.iter().map(|(_, replica)| replica.count).sum();
        let domains: BTreeSet<&str> =
            catalog.backend_servers.iter().map(|(_, server)| &*server.failure_domain).collect();
        assert_eq!(groups, GROUPS, "{user}");
        assert_eq!(catalog.workspaces.len(), WORKSPACES, "{user}");
        assert_eq!(domains.len(), FAILURE_DOMAINS, "{user}");
        let needed: u32 = catalog.replicas.iter().map(|(_, r)| r.count * r.vms).sum();
        assert!(needed as usize <= catalog.backend_servers.len(), "{user}");
        for entry in catalog.list(Kind::Replica) {
            let status = spec::status::status(&catalog, &entry, &[]);
            assert!(status.condition(ConditionKind::Placeable).unwrap().holds, "{user}");
        }
    }
}

#[test]
fn the_manifests_in_the_page_are_accepted() {
    let page = std::fs::read_to_string(format!("{}/CONFIGURATION.md", root())).unwrap();
    let blocks: Vec<&str> = page
        .split("```json\n")
        .skip(1)
        .filter_map(|rest| rest.split("```").next())
        .filter(|block| block.contains("\"kind\""))
        .collect();
    let shown: BTreeSet<Kind> = blocks
        .iter()
        .flat_map(|block| read_manifests(block).unwrap())
        .map(|manifest| manifest.resource.kind())
        .collect();
    assert_eq!(shown, ALL_KINDS.into_iter().collect(), "the page shows a manifest of each kind");
    let text = std::fs::read_to_string(format!("{}/examples/vatuloa.jsonl", root())).unwrap();
    let mut catalog = accept(&Catalog::default(), &text);
    for block in blocks {
        catalog = accept(&catalog, block);
    }
}
