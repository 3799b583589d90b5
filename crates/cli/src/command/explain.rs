//! `explain`: one request's story, from log files.

use std::path::PathBuf;

use super::read_file;
use crate::failure::Failure;
use crate::history;

/// Prints the story of `request` from the log files `logs`.
pub(super) fn explain(request: &str, logs: &[PathBuf]) -> Result<(), Failure> {
    let mut entries = Vec::new();
    for log in logs {
        entries.extend(history::parse(&read_file(log)?));
    }
    let story = history::format(&entries, request);
    if story.is_empty() {
        return Err(Failure::bad_input(request, "no line of these logs names this request"));
    }
    for paragraph in story {
        println!("{paragraph}");
    }
    Ok(())
}
