//! One request's story, from the log lines of all processes.
//!
//! A line of `samphire-platform` holds a time, a node and a decision. The story of a request has
//! its lines in the order of time. Each line that names a backend server is followed by what the
//! same process believed of that server then, and by the first different thing that any process
//! learned of it soon after: that is what was true while the decision was made.

use base::prelude::*;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

/// How long after a decision something that is learned still tells what was true then.
const LATER_REPORT_WINDOW_MS: u64 = 8_000;

/// One line of a process's log that tells of a decision.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Entry {
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The process.
    pub node: NodeId,
    /// The decision.
    pub decision: Decision,
}

/// What a line tells.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Decision {
    /// The kind of decision.
    pub event: Box<str>,
    /// The caller's id of the request, if it is about one.
    #[serde(default)]
    pub request: Option<Box<str>>,
    /// The backend server, if it names one.
    #[serde(default)]
    pub server: Option<Box<str>>,
    /// What decided, and the outcome.
    #[serde(flatten)]
    pub inputs: Map<String, Value>,
}

/// Reads the lines that tell of decisions; others are passed over. A line may begin with other
/// text, such as the time of a collector.
pub fn parse(text: &str) -> Vec<Entry> {
    let entry = |line: &str| serde_json::from_str(&line[line.find("{\"at_ms\"")?..]).ok();
    text.lines().filter_map(entry).collect()
}

/// Returns the story of `request`, a paragraph a line; empty if no line names it.
pub fn format(entries: &[Entry], request: &str) -> Vec<String> {
    let mut own: Vec<&Entry> =
        entries.iter().filter(|entry| entry.decision.request.as_deref() == Some(request)).collect();
    own.sort_by_key(|entry| entry.at_ms);
    let Some(first) = own.first() else { return Vec::new() };
    let start = first.at_ms;
    own.iter().map(|entry| format_entry(entry, entries, start)).collect()
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
    let (known, later): (Vec<&Entry>, Vec<&Entry>) =
        states.partition(|state| state.at_ms <= entry.at_ms);
    let known = known.into_iter().filter(|state| state.node == entry.node);
    let believed = known.max_by_key(|state| state.at_ms);
    if let Some(state) = believed {
        let age = entry.at_ms - state.at_ms;
        text.push_str(&format!(
            "\n    believed since {age} ms: {}",
            format_fields(&state.decision)
        ));
    }
    let soon =
        later.into_iter().filter(|state| state.at_ms <= entry.at_ms + LATER_REPORT_WINDOW_MS);
    let differs = |state: &&Entry| {
        believed.is_none_or(|believed| state.decision.inputs != believed.decision.inputs)
    };
    if let Some(state) = soon.filter(differs).min_by_key(|state| state.at_ms) {
        let after = state.at_ms - entry.at_ms;
        let (node, learned) = (&state.node, format_fields(&state.decision));
        text.push_str(&format!("\n    learned {after} ms later by {node}: {learned}"));
    }
    text
}

/// Returns a decision's server and inputs; those that are empty are left out.
fn format_fields(decision: &Decision) -> String {
    let server = decision.server.iter().filter(|server| !server.is_empty());
    let server = server.map(|server| format!("server={server}"));
    let told = decision.inputs.iter().filter(|(_, value)| !is_empty(value));
    let told = told.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    server.chain(told).collect::<Vec<_>>().join(" ")
}

fn is_empty(value: &Value) -> bool {
    value.is_null() || value == "" || value.as_array().is_some_and(Vec::is_empty)
}
