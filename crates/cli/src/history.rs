//! The history of one request, reconstructed from the logs of all processes.
//!
//! An entry of the decision log of `samphire-platform` contains a time, a node and a decision. The
//! history lists the entries of a request in the order of time. Each entry that names a backend
//! server is followed by the state of that server as last known to the same process, and by the
//! first different state that any process logged soon after. The latter approximates the actual
//! state at the time of the decision.

use base::prelude::*;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

/// How long after a decision a logged state still counts as the actual state at that decision.
const LATER_REPORT_WINDOW_MS: u64 = 8_000;

/// An entry of the decision log of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Entry {
    /// Time of the entry, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The process.
    pub node: NodeId,
    /// The decision.
    pub decision: Decision,
}

/// The decision of an [`Entry`].
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Decision {
    /// The kind of decision.
    pub event: Box<str>,
    /// Id of the request as assigned by the caller, if the decision concerns one.
    #[serde(default)]
    pub request: Option<Box<str>>,
    /// The backend server, if the decision concerns one.
    #[serde(default)]
    pub server: Option<Box<str>>,
    /// The other fields: the inputs of the decision and its outcome.
    #[serde(flatten)]
    pub inputs: Map<String, Value>,
}

/// Parses the entries of the decision log; other lines are skipped. A line may begin with other
/// text, such as the time stamp of a log collector.
pub fn parse(text: &str) -> Vec<Entry> {
    let entry = |line: &str| serde_json::from_str(&line[line.find("{\"at_ms\"")?..]).ok();
    text.lines().filter_map(entry).collect()
}

/// Formats the history of `request`, one element per entry; empty if no entry names the request.
pub fn format(entries: &[Entry], request: &str) -> Vec<String> {
    let mut of_request: Vec<&Entry> =
        entries.iter().filter(|entry| entry.decision.request.as_deref() == Some(request)).collect();
    of_request.sort_by_key(|entry| entry.at_ms);
    let Some(first) = of_request.first() else { return Vec::new() };
    let start = first.at_ms;
    of_request.iter().map(|entry| format_entry(entry, entries, start)).collect()
}

fn format_entry(entry: &Entry, entries: &[Entry], start: u64) -> String {
    let after = entry.at_ms - start;
    let mut text = format!(
        "+{after} ms {} {} {}",
        entry.node,
        entry.decision.event,
        format_fields(&entry.decision)
    );
    let server = entry.decision.server.as_deref().filter(|server| !server.is_empty());
    let states = entries.iter().filter(|other| {
        &*other.decision.event == "server" && other.decision.server.as_deref() == server
    });
    if server.is_none() {
        return text;
    }
    let (earlier, later): (Vec<&Entry>, Vec<&Entry>) =
        states.partition(|state| state.at_ms <= entry.at_ms);
    let earlier = earlier.into_iter().filter(|state| state.node == entry.node);
    let believed = earlier.max_by_key(|state| state.at_ms);
    if let Some(state) = believed {
        let age = entry.at_ms - state.at_ms;
        text.push_str(&format!(
            "\n    believed since {age} ms: {}",
            format_fields(&state.decision)
        ));
    }
    let in_window =
        later.into_iter().filter(|state| state.at_ms <= entry.at_ms + LATER_REPORT_WINDOW_MS);
    let differs = |state: &&Entry| {
        believed.is_none_or(|believed| state.decision.inputs != believed.decision.inputs)
    };
    if let Some(state) = in_window.filter(differs).min_by_key(|state| state.at_ms) {
        let after = state.at_ms - entry.at_ms;
        let (node, learned) = (&state.node, format_fields(&state.decision));
        text.push_str(&format!("\n    learned {after} ms later by {node}: {learned}"));
    }
    text
}

/// Formats the server and the non-empty fields of a decision.
fn format_fields(decision: &Decision) -> String {
    let server = decision.server.iter().filter(|server| !server.is_empty());
    let server = server.map(|server| format!("server={server}"));
    let fields = decision.inputs.iter().filter(|(_, value)| !is_empty(value));
    let fields = fields.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    server.chain(fields).collect::<Vec<_>>().join(" ")
}

fn is_empty(value: &Value) -> bool {
    value.is_null() || value == "" || value.as_array().is_some_and(Vec::is_empty)
}
