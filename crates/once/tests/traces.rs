//! Replays all recorded traces of claims.

use base::trace::Trace;

#[test]
fn every_trace_has_its_stated_outcome() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../traces/once");
    let mut count = 0;
    for entry in std::fs::read_dir(dir).expect("the traces' directory") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a text");
        let trace = Trace::try_from(&*text);
        let replayed = trace.and_then(|trace| once::trace::replay(&trace));
        assert!(replayed.is_ok(), "{}:\n{}", path.display(), replayed.unwrap_err());
        count += 1;
    }
    assert!(count >= 6, "{count} traces");
}
