//! Writes to the record when and where requests were cut, and what the processes used.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::super::clients::{End, Outcome};
use super::process::Process;
use crate::world::Recorder;

/// Most lines of error output that are recorded.
const SHOWN_ERRORS: usize = 40;

pub fn write(
    record: &Recorder,
    outcomes: &[Outcome],
    processes: &[Arc<Process>],
    refused: u64,
    started: f64,
) {
    let mut cut: BTreeMap<(i64, usize), usize> = BTreeMap::new();
    for outcome in outcomes.iter().filter(|outcome| matches!(outcome.end, End::Closed(_))) {
        let second = (outcome.ended - started).floor() as i64;
        *cut.entry((second, outcome.entry)).or_default() += 1;
    }
    for ((second, entry), count) in cut {
        record.write(&format!("cut in second {second} at process {entry}: {count}"));
    }
    for process in processes {
        let peak_kb = process.peak_kb.load(Ordering::Relaxed);
        let ends = process.own_ends.lock().unwrap().len();
        record.write(&format!("{}: peak {peak_kb} KB, {ends} ends by itself", process.name));
    }
    let errors: Vec<String> = processes.iter().flat_map(|process| process.error_lines()).collect();
    errors
        .iter()
        .take(SHOWN_ERRORS)
        .for_each(|line| record.write(&format!("error output: {line}")));
    let peak = processes.iter().map(|process| process.peak_kb.load(Ordering::Relaxed)).max();
    let ends: usize = processes.iter().map(|process| process.own_ends.lock().unwrap().len()).sum();
    let text = format!(
        "{} processes; {refused} connections refused; {ends} ends of processes by themselves; {} lines of error output; highest peak {} KB",
        processes.len(),
        errors.len(),
        peak.unwrap_or(0)
    );
    record.write(&text);
    println!("{text}");
}
