//! `timeline`: the events of all servers, merged in the order of their time stamps.
//!
//! The events of one process are numbered consecutively, so a jump in the numbers shows that its
//! ring buffer overflowed. Gaps are therefore detected before events are filtered.

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use spec::api::ProcessView;

use super::print_json;
use crate::args::Output;
use crate::args::TimelineArgs;
use crate::failure::Failure;
use crate::servers::Servers;

/// Membership states of processes that may have events.
const LIVE_STATES: [&str; 2] = ["alive", "suspect"];

/// The response of one process: its events.
#[derive(Clone, Debug, Deserialize)]
pub struct Events {
    /// The process.
    pub node: NodeId,
    /// Id of the process instance.
    pub boot: BootId,
    /// Its events, oldest first.
    pub events: Vec<StampedEvent>,
}

/// Events that a process recorded but has dropped since.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Gap {
    /// The process.
    pub node: NodeId,
    /// Time stamp of the first event after the gap.
    pub before: Hlc,
    /// Number of missing events.
    pub missing: u64,
}

/// The merged timeline.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MergedTimeline {
    /// The events that match the filter, in the order of their time stamps.
    pub events: Vec<StampedEvent>,
    /// Gaps in the events of single processes.
    pub gaps: Vec<Gap>,
    /// The problem of each server that did not respond.
    #[serde(rename = "silent")]
    pub unreachable: Vec<Box<str>>,
    /// Processes that others report to be live, but whose events were not queried.
    pub missing: Vec<NodeId>,
}

/// Merges the events of several processes, and keeps those that match the filter.
pub fn merge(processes: Vec<Events>, filter: &TimelineArgs) -> MergedTimeline {
    let mut merged = MergedTimeline::default();
    for process in processes {
        let mut next = 0;
        for event in process.events {
            if event.number > next {
                merged.gaps.push(Gap {
                    node: event.node.clone(),
                    before: event.at,
                    missing: event.number - next,
                });
            }
            next = event.number + 1;
            if matches(&event, filter) {
                merged.events.push(event);
            }
        }
    }
    merged.events.sort_by(|a, b| (a.at, &a.node, a.number).cmp(&(b.at, &b.node, b.number)));
    merged.gaps.sort_by(|a, b| (a.before, &a.node).cmp(&(b.before, &b.node)));
    merged
}

fn matches(event: &StampedEvent, filter: &TimelineArgs) -> bool {
    let millis = event.at.millis;
    let in_time = filter.since.is_none_or(|since| millis >= since)
        && filter.until.is_none_or(|until| millis < until);
    let has_value = |expected: &Option<Box<str>>, found: Option<&str>| {
        expected.as_deref().is_none_or(|expected| found == Some(expected))
    };
    in_time
        && has_value(&filter.group, group_of(&event.event))
        && has_value(&filter.vm, vm_of(&event.event))
        && filter.request.is_none_or(|expected| request_of(&event.event) == Some(expected))
}

fn group_of(event: &Event) -> Option<&str> {
    match event {
        Event::Group { group, .. } | Event::Order { group, .. } | Event::Attempt { group, .. } => {
            Some(group)
        }
        _ => None,
    }
}

fn vm_of(event: &Event) -> Option<&str> {
    match event {
        Event::Order { vm, .. } | Event::Leaving { vm, .. } => Some(vm),
        _ => None,
    }
}

fn request_of(event: &Event) -> Option<RequestId> {
    match event {
        Event::Request { request, .. } | Event::Attempt { request, .. } => Some(*request),
        _ => None,
    }
}

/// Returns the live processes that `views` name, except those in `responded`.
pub fn missing_processes(views: &[ProcessView], responded: &[NodeId]) -> Vec<NodeId> {
    let mut list: Vec<NodeId> = views
        .iter()
        .flat_map(|view| &view.peers)
        .filter(|peer| LIVE_STATES.contains(&&*peer.state) && !responded.contains(&peer.node))
        .map(|peer| peer.node.clone())
        .collect();
    list.sort_unstable();
    list.dedup();
    list
}

/// Shows the merged events of all servers.
pub(super) async fn timeline(
    servers: &Servers,
    filter: &TimelineArgs,
    output: Output,
) -> Result<(), Failure> {
    let mut processes: Vec<Events> = Vec::new();
    let (mut unreachable, mut views) = (Vec::new(), Vec::new());
    for address in servers.addresses() {
        match servers.read_from::<Events>(*address, "/api/v1/timeline?from=0").await {
            Ok(events) => {
                processes.push(events);
                let view = servers.read_from::<ProcessView>(*address, "/api/v1/status").await;
                views.extend(view.ok());
            }
            Err(Failure::Unreachable(problem)) => unreachable.push(problem),
            Err(failure) => return Err(failure),
        }
    }
    if processes.is_empty() {
        return Err(Failure::Unreachable(unreachable.join("; ").into()));
    }
    let responded: Vec<NodeId> = processes.iter().map(|process| process.node.clone()).collect();
    let mut merged = merge(processes, filter);
    merged.unreachable = unreachable;
    merged.missing = missing_processes(&views, &responded);
    match output {
        Output::Json => print_json(&merged),
        Output::Table => print(&merged),
    }
    Ok(())
}

fn print(merged: &MergedTimeline) {
    for problem in &merged.unreachable {
        println!("missing: {problem}");
    }
    for node in &merged.missing {
        println!("missing: process {node} is live, but no server given is it");
    }
    let mut gaps = merged.gaps.iter().peekable();
    for event in &merged.events {
        while let Some(gap) = gaps.next_if(|gap| gap.before <= event.at) {
            println!("{} {}: {} events are missing", gap.before, gap.node, gap.missing);
        }
        let text = serde_json::to_string(&event.event).expect("an event can be serialized as JSON");
        println!("{} {} #{} {text}", event.at, event.node, event.number);
    }
    for gap in gaps {
        println!("{} {}: {} events are missing", gap.before, gap.node, gap.missing);
    }
}
