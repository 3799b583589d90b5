//! `timeline`: the events of all servers, merged by their stamps.
//!
//! Events of one process are numbered without gaps, so a jump in the numbers shows that its ring
//! overflowed. Filters come after the gaps are found.

use base::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use spec::api::ProcessView;

use super::print_json;
use crate::args::Output;
use crate::args::TimelineArgs;
use crate::failure::Failure;
use crate::servers::Servers;

/// States of processes that may have events.
const LIVE_STATES: [&str; 2] = ["alive", "suspect"];

/// The events of one process, as its endpoint answers.
#[derive(Clone, Debug, Deserialize)]
pub struct Events {
    /// The process.
    pub node: NodeId,
    /// Its life.
    pub boot: BootId,
    /// Its events, oldest first.
    pub events: Vec<StampedEvent>,
}

/// Events that a process has recorded and dropped.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Gap {
    /// The process.
    pub node: NodeId,
    /// The stamp of the event after the gap.
    pub before: Hlc,
    /// How many events are missing.
    pub missing: u64,
}

/// The merged time line.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MergedTimeline {
    /// The events that were asked for, in the order of their stamps.
    pub events: Vec<StampedEvent>,
    /// Where events are missing.
    pub gaps: Vec<Gap>,
    /// The servers that did not answer.
    #[serde(rename = "silent")]
    pub unreachable: Vec<Box<str>>,
    /// Processes that others hold to be live, but whose events are not here.
    pub missing: Vec<NodeId>,
}

/// Merges the events of several processes and keeps what the filter asks for.
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
    let about = |wanted: &Option<Box<str>>, found: Option<&str>| {
        wanted.as_deref().is_none_or(|wanted| found == Some(wanted))
    };
    in_time
        && about(&filter.group, group_of(&event.event))
        && about(&filter.vm, vm_of(&event.event))
        && filter.request.is_none_or(|wanted| request_of(&event.event) == Some(wanted))
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

/// Returns the live processes that the `views` name and that none of `answered` is.
pub fn missing_processes(views: &[ProcessView], answered: &[NodeId]) -> Vec<NodeId> {
    let mut list: Vec<NodeId> = views
        .iter()
        .flat_map(|view| &view.peers)
        .filter(|peer| LIVE_STATES.contains(&&*peer.state) && !answered.contains(&peer.node))
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
    let answered: Vec<NodeId> = processes.iter().map(|process| process.node.clone()).collect();
    let mut merged = merge(processes, filter);
    merged.unreachable = unreachable;
    merged.missing = missing_processes(&views, &answered);
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
        let text = serde_json::to_string(&event.event).expect("an event has a JSON form");
        println!("{} {} #{} {text}", event.at, event.node, event.number);
    }
    for gap in gaps {
        println!("{} {}: {} events are missing", gap.before, gap.node, gap.missing);
    }
}
