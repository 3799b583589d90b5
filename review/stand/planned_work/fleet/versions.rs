//! How long each configuration takes from its writing until it is in force, by process.
//!
//! A process is judged for a configuration if nothing happened to it from [`SETTLING_S`] before it was written until
//! [`CONFIG_S`] after.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use super::super::plan::Act;
use super::process::{Process, ProcessEvent};
use crate::world::Recorder;

/// Time within which a configuration is in force, in seconds.
const CONFIG_S: f64 = 3.0;
/// Time after which a process that was disturbed is judged again, in seconds.
const SETTLING_S: f64 = 4.0;
/// Most late configurations that are written to the record.
const SHOWN: usize = 20;

/// A configuration that a process put into force.
struct InForce {
    /// Seconds of the record.
    at: f64,
    version: u64,
}

/// Writes to the record how long configurations took; returns how many were late at a process.
pub fn judge(record: &Recorder, processes: &[Arc<Process>], times: &[(f64, Act)]) -> usize {
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() - record.now();
    let (mut took, mut late) = (Vec::new(), Vec::new());
    for process in processes {
        let in_force = read(process, epoch);
        let events = process.events.lock().unwrap().clone();
        for (written, act) in times {
            let Act::Configure(version) = act else { continue };
            let judged = written - SETTLING_S..written + CONFIG_S;
            let before = events.iter().rfind(|(at, _)| *at < judged.end);
            let runs_since = before.filter(|(_, event)| *event == ProcessEvent::Started);
            if !runs_since.is_some_and(|(at, _)| *at < judged.start) || judged.end > record.now() {
                continue;
            }
            let first = in_force.iter().find(|known| known.version >= *version);
            let delay = first.map_or(f64::INFINITY, |known| known.at - written);
            took.push(delay);
            if delay > CONFIG_S {
                late.push(format!("{} version {version}: {delay:.2} s", process.name));
            }
        }
    }
    took.sort_by(f64::total_cmp);
    let part = |share: f64| took.get((took.len() as f64 * share) as usize).copied().unwrap_or(0.0);
    let last = took.last().copied().unwrap_or(0.0);
    let text = format!(
        "configurations in force: {} judged, after {:.2} s (median), {:.2} s (99%), {last:.2} s (last); {} late",
        took.len(), part(0.5), part(0.99), late.len(),
    );
    record.write(&text);
    println!("{text}");
    late.iter().take(SHOWN).for_each(|line| record.write(&format!("late: {line}")));
    late.len()
}

/// Reads what a process put into force from its log.
fn read(process: &Process, epoch: f64) -> Vec<InForce> {
    let text = std::fs::read(&process.log).unwrap_or_default();
    let text = String::from_utf8_lossy(&text).into_owned();
    let lines = text.lines().filter(|line| line.contains("\"event\":\"in_force\""));
    let read = |line: &str| {
        let at_ms = number(line, "\"at_ms\":")?;
        Some(InForce { at: at_ms as f64 / 1e3 - epoch, version: number(line, "\"version\":")? })
    };
    lines.filter_map(read).collect()
}

fn number(line: &str, field: &str) -> Option<u64> {
    let from = line.find(field)? + field.len();
    let digits: String = line[from..].chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
