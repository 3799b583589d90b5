//! Log output that never blocks the process.
//!
//! Lines go through a bounded queue to a thread that writes them. When the queue is full, new lines
//! are dropped and counted, and the writer adds a line with the count after the next line that it
//! writes.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;

use base::prelude::*;

use crate::clock::wall_millis;

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LINES: usize = 4_096;

/// Most lines of one write. With the queue, this bounds the memory that lines take.
const MAX_LINES_PER_WRITE: usize = 256;

/// Number of lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Initializes logging for the whole process, writing to `out`.
///
/// # Errors
///
/// Fails if a logger is already set.
pub fn init(node: NodeId, out: impl Write + Send + 'static) -> Result<(), log::SetLoggerError> {
    let (tx, rx) = mpsc::sync_channel::<String>(QUEUE_LINES);
    std::thread::spawn(move || write_lines(&rx, out));
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .chain(fern::Output::call(move |record| {
            let line = line(&node, record);
            if tx.try_send(line).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }))
        .apply()
}

/// Formats a record as one JSON line. The message of a decision is JSON already.
fn line(node: &str, record: &log::Record<'_>) -> String {
    let at_ms = wall_millis();
    let level = record.level();
    if record.target() == "decision" {
        return format!(
            "{{\"at_ms\":{at_ms},\"level\":\"{level}\",\"node\":\"{node}\",\"decision\":{}}}\n",
            record.args()
        );
    }
    let message = serde_json::Value::from(record.args().to_string());
    let target = record.target();
    format!(
        "{{\"at_ms\":{at_ms},\"level\":\"{level}\",\"node\":\"{node}\",\"target\":\"{target}\",\
         \"message\":{message}}}\n"
    )
}

fn write_lines(rx: &mpsc::Receiver<String>, mut out: impl Write) {
    let mut reported = 0;
    while let Ok(line) = rx.recv() {
        let mut text = line;
        for more in rx.try_iter().take(MAX_LINES_PER_WRITE - 1) {
            text.push_str(&more);
        }
        let dropped = dropped_lines();
        if dropped > reported {
            text.push_str(&format!("{{\"level\":\"WARN\",\"dropped_lines\":{dropped}}}\n"));
            reported = dropped;
        }
        // A failure of the log output can't be logged.
        let _ = out.write_all(text.as_bytes());
    }
}
