//! Which requests are lost, and for which cause.

use std::collections::BTreeMap;
use std::path::PathBuf;

use super::clients::{End, Outcome};
use super::plan::Act;
use super::servers::{Journal, Run};
use super::GRACE_S;
use crate::world::Recorder;
use crate::Verdict;

/// Time after its last byte from which a request that wasn't passed on counts, in seconds.
const LOSS_SLACK_S: f64 = 0.2;
const CONFIG_S: f64 = 2.0;
/// A request sent later than so long after SIGTERM isn't excused by the end of the time to stop, in seconds.
const EXCUSED_SENT_S: f64 = 3.0;
const LAST_SIXTH_S: f64 = GRACE_S * 5.0 / 6.0;
/// When a stopping process ends its responses, about, in seconds.
const TIME_UP_S: f64 = 7.2;
/// Connections end within this time of the SIGKILL of their process, and the end may be seen before the signal is
/// noted, in seconds.
const KILL_SLACK_S: f64 = 0.1;
/// The deadline of all requests, and the time-out of their routes at least, in seconds.
const DEADLINE_S: f64 = 8.0;
/// Most lost requests of a cause that are written to the record with their log lines.
const SHOWN: usize = 12;

/// Why a request that the rule would count isn't counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Lost,
    /// No planned work that touches the request.
    Outside,
    /// Its process was killed while it was in progress.
    Killed,
    /// The deadline that its client had given it was reached.
    Deadline,
    /// In the last sixth of the time to stop.
    LastSixth,
    /// The client's close crossed the process's: not passed on, and closed at once.
    Crossed,
}

/// Judges the outcomes; `times` says when the operator did what.
pub fn judge(
    record: &Recorder,
    outcomes: &[Outcome],
    journal: &Journal,
    times: &[(f64, Act)],
    logs: Vec<PathBuf>,
) -> Verdict {
    let lines = lines_by_request(&logs);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    let mut lost = 0;
    for outcome in outcomes {
        let runs = journal.get(&outcome.id).map_or(&[][..], Vec::as_slice);
        let own = lines.get(&outcome.id).map_or(&[][..], Vec::as_slice);
        let what = match &outcome.end {
            End::Whole => "whole".to_owned(),
            End::Answered(status) => format!("answered {status}"),
            End::GaveUp => "given up by the client".to_owned(),
            End::Wrong(_) => "WRONG".to_owned(),
            End::Closed(_) => {
                let class = classify(outcome, runs, times);
                lost += usize::from(class == Class::Lost);
                format!("closed, {class:?}, {}", cause(outcome, runs, own, times))
            }
        };
        let count = counts.entry(what.clone()).or_default();
        *count += 1;
        let is_shown = matches!(outcome.end, End::Closed(_) | End::Wrong(_) | End::GaveUp);
        if is_shown && *count <= SHOWN {
            show(record, &what, outcome, runs, own, times);
        }
    }
    let counts: Vec<String> =
        counts.iter().map(|(what, count)| format!("{count} {what}")).collect();
    let text = format!("{} requests: {}", outcomes.len(), counts.join("; "));
    if text.contains("WRONG") {
        return Verdict::Broken(format!("ORDER or MIXED: {text}"));
    }
    match lost {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(format!("LOST {lost}: {text}")),
    }
}

/// Returns the time of the SIGTERM of the request's process.
fn stopped_at(outcome: &Outcome, times: &[(f64, Act)]) -> Option<f64> {
    let stops =
        times.iter().filter(|(_, act)| matches!(act, Act::Stop(at) if *at == outcome.entry));
    let before: Vec<f64> = stops.map(|(at, _)| *at).collect();
    // A process that is started again may be stopped again.
    before.iter().rfind(|at| **at <= outcome.ended).or(before.first()).copied()
}

fn classify(outcome: &Outcome, runs: &[Run], times: &[(f64, Act)]) -> Class {
    let is_touched = times.iter().any(|(at, act)| match act {
        Act::Stop(entry) => {
            *entry == outcome.entry && (*at..at + GRACE_S + 1.0).contains(&outcome.ended)
        }
        Act::Hup(entry) => {
            *entry == outcome.entry && outcome.sent < at + CONFIG_S && outcome.ended > *at
        }
        Act::Configure(_) => (*at..at + CONFIG_S + 1.0).contains(&outcome.ended),
        Act::Kill(_) | Act::Crash(_) => false,
    });
    if runs.is_empty() && outcome.ended - outcome.sent <= LOSS_SLACK_S {
        return Class::Crossed;
    }
    if outcome.ended - outcome.sent >= DEADLINE_S {
        return Class::Deadline;
    }
    let is_killed = times.iter().any(|(at, act)| {
        let in_progress = outcome.sent..=outcome.ended + KILL_SLACK_S;
        matches!(act, Act::Crash(entry) if *entry == outcome.entry)
            && in_progress.contains(at)
            && outcome.ended - at < KILL_SLACK_S
    });
    if is_killed {
        return Class::Killed;
    }
    if !is_touched {
        return Class::Outside;
    }
    let Some(stopped) = stopped_at(outcome, times) else { return Class::Lost };
    let is_at_work =
        runs.iter().any(|run| run.end != "whole" || run.last_write > stopped + LAST_SIXTH_S);
    let is_excused = outcome.sent <= stopped + EXCUSED_SENT_S
        && outcome.ended >= stopped + LAST_SIXTH_S
        && is_at_work;
    if is_excused {
        Class::LastSixth
    } else {
        Class::Lost
    }
}

/// Returns the cause as far as the log and the time show it.
fn cause(outcome: &Outcome, runs: &[Run], lines: &[String], times: &[(f64, Act)]) -> &'static str {
    let broken_off = lines.iter().rev().find(|line| line.contains("\"broken_off\""));
    let has = |text: &str| broken_off.is_some_and(|line| line.contains(text));
    let since = stopped_at(outcome, times).map(|at| outcome.ended - at);
    if has("time to stop was up") {
        return "time up";
    }
    if has("stalled") || has("timed out") {
        return "silence";
    }
    // Large plain answers have no line that says that they were answered.
    if runs.iter().any(|run| run.end == "whole") {
        return "unsent bytes";
    }
    match since {
        Some(since) if since >= TIME_UP_S && broken_off.is_none() => "time up, no line",
        _ => "other",
    }
}

fn show(
    record: &Recorder,
    what: &str,
    outcome: &Outcome,
    runs: &[Run],
    lines: &[String],
    times: &[(f64, Act)],
) {
    let stopped = stopped_at(outcome, times);
    let since = |at: f64| stopped.map_or(f64::NAN, |stopped| at - stopped);
    let Outcome { id, entry, earlier, script, sent, ended, events, last_data, end } = outcome;
    record.write(&format!(
        "{what}: {id} at process {entry}, after {earlier} others on its connection: sent {:.3} s after \
         SIGTERM, ended {:.3} s after it; {:.3} s after it was sent; {events} of {} events, the last {:.3} s \
         before the end; {end:?}; {script:?}",
        since(*sent),
        since(*ended),
        ended - sent,
        script.events,
        ended - last_data
    ));
    for run in runs {
        record.write(&format!(
            "    {} began {:.3} s before the end, wrote event {} {:.3} s before it: {}",
            run.server,
            ended - run.begun,
            run.event,
            ended - run.last_write,
            run.end
        ));
    }
    for line in lines {
        record.write(&format!("    {line}"));
    }
}

/// Returns the lines of the logs that name a request, by its id.
fn lines_by_request(logs: &[PathBuf]) -> BTreeMap<String, Vec<String>> {
    const FIELD: &str = "\"request\":\"";
    let mut lines: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (at, path) in logs.iter().enumerate() {
        let text = std::fs::read(path).unwrap_or_default();
        for line in String::from_utf8_lossy(&text).lines() {
            let Some(from) = line.find(FIELD).map(|from| from + FIELD.len()) else { continue };
            let Some(length) = line[from..].find('"') else { continue };
            let id = line[from..from + length].to_owned();
            lines.entry(id).or_default().push(format!("process {at}: {line}"));
        }
    }
    lines
}
