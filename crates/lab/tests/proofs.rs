//! Checks that every test named in docs/PROOFS.md exists.

use std::path::Path;

#[test]
fn every_test_named_in_proofs_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/PROOFS.md")).unwrap();
    let mut checked = 0;
    let mut missing = Vec::new();
    for name in page.split('`').skip(1).step_by(2) {
        let Some((file, test)) = name.split_once(' ') else { continue };
        let Some((package, file)) = file.split_once("::") else { continue };
        let folder = match package {
            "platform" => root.join(package),
            _ => root.join("crates").join(package),
        };
        let path = folder.join(format!("tests/{file}.rs"));
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        checked += 1;
        if !text.contains(&format!("fn {test}(")) {
            missing.push(name.to_owned());
        }
    }
    assert!(checked > 30, "only {checked} names were found");
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}
