//! `explain`: the history of one request, from log files.

use std::path::PathBuf;

use super::read_file;
use crate::failure::Failure;
use crate::history;

/// Prints the history of `request` from the log files `logs`.
pub(super) fn explain(request: &str, logs: &[PathBuf]) -> Result<(), Failure> {
    let mut entries = Vec::new();
    for log in logs {
        entries.extend(history::parse(&read_file(log)?));
    }
    let lines = history::format(&entries, request);
    if lines.is_empty() {
        return Err(Failure::bad_input(request, "no entry of these logs names this request"));
    }
    for entry in lines {
        println!("{entry}");
    }
    Ok(())
}
