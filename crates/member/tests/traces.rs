//! Replays all recorded traces of the membership.

use base::trace::Trace;

#[test]
fn all_traces_have_their_stated_outcomes() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces/member");
    let mut count = 0;
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let trace = Trace::try_from(&*text).unwrap_or_else(|e| panic!("{}:\n{e}", path.display()));
        member::trace::replay(&trace).unwrap_or_else(|e| panic!("{}:\n{e}", path.display()));
        count += 1;
    }
    assert!(count >= 3, "{count} traces");
}
