//! Replays all recorded traces of routing.

use std::path::Path;

use base::trace::Trace;

#[test]
fn every_trace_meets_its_expectations() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces/route");
    let mut failed = Vec::new();
    let mut replayed = 0;
    for entry in std::fs::read_dir(dir).expect("the directory of traces exists") {
        let path = entry.expect("the directory is readable").path();
        let text = std::fs::read_to_string(&path).expect("the trace is readable");
        let result = Trace::try_from(&*text).and_then(|trace| route::trace::replay(&trace));
        replayed += 1;
        if let Err(findings) = result {
            failed.push(format!("{}:\n{findings}", path.display()));
        }
    }
    assert!(replayed >= 4, "found {replayed} traces");
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
