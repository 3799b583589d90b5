//! Logging as JSON lines on standard error, with a level for each target.
//!
//! A line that can't be written is lost. The library's own output would report that on standard error as well,
//! and panic when that fails.

use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use config::prelude::*;
use log::LevelFilter;
use serde::Serialize;

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u128,
    level: &'a str,
    node: &'a str,
    target: &'a str,
    message: String,
}

/// Sets up logging for the whole process.
///
/// # Errors
///
/// If logging was already set up.
pub fn set_up(settings: &Settings) -> Result<(), log::SetLoggerError> {
    let node = settings.node.clone();
    let mut dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let line = Line {
                at_ms: since.as_millis(),
                level: record.level().as_str(),
                node: &node,
                target: record.target(),
                message: message.to_string(),
            };
            let text = serde_json::to_string(&line).unwrap_or_default();
            out.finish(format_args!("{text}"));
        })
        .level(filter(settings.log.level))
        .chain(fern::Output::call(write_line));
    for (target, level) in &settings.log.targets {
        dispatch = dispatch.level_for(target.to_string(), filter(*level));
    }
    dispatch.apply()
}

fn write_line(record: &log::Record<'_>) {
    // A failure of the log output can't be logged.
    let _ = std::io::stderr().write_all(format!("{}\n", record.args()).as_bytes());
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
