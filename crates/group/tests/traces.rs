//! Replays all recorded traces of the group controller.

use base::prelude::*;
use base::trace::Trace;

#[test]
fn group_traces_meet_their_expectations() {
    let mut findings = Findings::default();
    let mut files: Vec<_> =
        std::fs::read_dir("../../traces/group").unwrap().map(|file| file.unwrap().path()).collect();
    files.sort();
    for file in &files {
        let text = std::fs::read_to_string(file).unwrap();
        let outcome = Trace::try_from(&*text).and_then(|trace| group::trace::replay(&trace));
        for finding in outcome.err().unwrap_or_default().iter() {
            let name = file.file_name().unwrap().to_string_lossy();
            findings.add(format!("{name} {}", finding.place), &*finding.problem);
        }
    }
    assert!(files.len() >= 3, "found only {} traces", files.len());
    assert!(findings.is_empty(), "{findings}");
}
