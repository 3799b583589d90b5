//! The stand-ins and clients of the review's scripts, with the standard library only.
//!
//! `stand CASE PROGRAM FOLDER`: plays a case with the platform program; the settings and logs of the
//! processes go to a temporary folder, the record to FOLDER. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run.

mod deadly_part;
mod deployment;
mod engine;
mod extra_answer;
mod incomplete_entry;
mod long_answer;
mod memory;
mod net;
mod planned_work;
mod run_then_503;
mod slow_reader;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use world::{Recorder, World};

/// What a case found.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, folder] = &args[..] else {
        eprintln!("usage: stand CASE PROGRAM FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Recorder::new(&PathBuf::from(folder).join("record.txt"));
    record.write(&format!("case {case}, with the disruption: {trouble}"));
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let mut world = World::new(program.into(), temporary.clone(), record.clone(), trouble);
    let verdict = match case.as_str() {
        "long-answer" => long_answer::play(&mut world),
        "run-then-503" => run_then_503::play(&mut world),
        "slow-reader" => slow_reader::play(&mut world),
        "deadly-part" => deadly_part::play(&mut world),
        "incomplete-entry" => incomplete_entry::play(&mut world),
        "memory" => memory::play(&mut world),
        "extra-answer" => extra_answer::play(&mut world),
        name => planned_work::play(&mut world, name)
            .unwrap_or_else(|| Verdict::NotRun("no such case".into())),
    };
    drop(world);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("HELD: {text}")),
        Verdict::NotRun(text) => (2, format!("NOT RUN: {text}")),
    };
    record.write(&text);
    println!("{text}");
    ExitCode::from(code)
}
