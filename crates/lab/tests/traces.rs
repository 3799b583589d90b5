//! Replays all recorded traces, `traces/<area>/<name>.jsonl`, through the decision functions of
//! their area. A new trace needs no code.

use std::path::Path;
use std::path::PathBuf;

use base::prelude::Findings;
use base::trace::Trace;

/// Minimum number of traces, so that a wrong folder fails the test.
const MIN_TRACES: usize = 15;

fn replay(trace: &Trace) -> Result<(), Findings> {
    match &*trace.area {
        "group" => group::trace::replay(trace),
        "member" => member::trace::replay(trace),
        "once" => once::trace::replay(trace),
        "plan" => plan::trace::replay(trace),
        "relay" => relay::trace::replay(trace),
        "route" => route::trace::replay(trace),
        "spec" => spec::trace::replay(trace),
        area => {
            let mut findings = Findings::default();
            findings.add("line 1", format!("area \"{area}\" has no traces"));
            Err(findings)
        }
    }
}

fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files.sort();
    files
}

#[test]
fn every_recorded_trace_replays_with_its_expected_outcomes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let files = files_below(&folder);
    assert!(files.len() >= MIN_TRACES, "only {} traces in {}", files.len(), folder.display());
    let mut failures = Vec::new();
    for path in files {
        let text = std::fs::read_to_string(&path).unwrap();
        let replayed = Trace::try_from(text.as_str()).and_then(|trace| replay(&trace));
        if let Err(findings) = replayed {
            failures.push(format!("{}:\n{findings}", path.display()));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn failed_expectation_of_a_trace_is_reported_with_its_line() {
    let text = r#"{"trace": "relay", "about": "an expectation that does not hold"}
{"at_ms": 0, "event": {"request": {"idempotent": true, "deadline_ms": 1000}}}
{"at_ms": 0, "event": "accepted"}
{"at_ms": 0, "expect": {"actions": ["finish done"]}}"#;
    let findings = replay(&Trace::try_from(text).unwrap()).unwrap_err();
    assert!(findings.to_string().starts_with("line 4: the actions were"), "{findings}");
}
