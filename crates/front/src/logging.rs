//! Log output that never blocks the process.
//!
//! Lines go through a bounded queue to a thread that writes them. When the queue is full, new lines
//! are dropped and counted, and the writer adds a line with the count after the next line that it
//! writes. Errors have a second, small queue for that case.
//!
//! A panic of any thread is a record of the same log. When the process ends, [`WriterGuard`] waits a
//! bounded time until the queue has been written, so that the lines that say why it ends aren't lost.

use std::io::Write;
use std::panic::PanicHookInfo;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Instant;

use base::prelude::*;

use crate::clock::wall_millis;
use crate::decision_log;
use crate::decision_log::Record;

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LINES: usize = 4_096;

/// Capacity of the second queue, in lines, for errors that the first one has no room for.
const ERROR_QUEUE_LINES: usize = 64;

/// How long the end of the process waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Time until the next try to put something into a full queue at the end of the process.
const FLUSH_RETRY: Duration = Duration::from_millis(5);

/// Most bytes of the message of a panic.
const MAX_PANIC_BYTES: usize = 500;

/// Most lines of one write. With the queue, this bounds the memory that lines take.
const MAX_LINES_PER_WRITE: usize = 256;

/// Number of lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// What the writer thread gets.
enum Entry {
    Line(String),
    /// All lines before have been written; the receiver is told.
    Flush(mpsc::SyncSender<()>),
}

/// Waits, when it is dropped, until the lines logged before have been written, but only for a bounded
/// time.
#[derive(Debug)]
pub struct WriterGuard {
    tx: mpsc::SyncSender<Entry>,
}

impl Drop for WriterGuard {
    fn drop(&mut self) {
        let until = Instant::now() + FLUSH_TIMEOUT;
        let (done, written) = mpsc::sync_channel(1);
        let mut entry = Entry::Flush(done);
        while let Err(error) = self.tx.try_send(entry) {
            let mpsc::TrySendError::Full(unsent) = error else { return };
            if Instant::now() >= until {
                return;
            }
            entry = unsent;
            std::thread::sleep(FLUSH_RETRY);
        }
        // What has not been written by then is lost.
        let _ = written.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
}

/// Initializes logging for the whole process, panics included, writing to `out`. The guard is to be
/// dropped at the end of the process.
///
/// # Errors
///
/// Fails if a logger is already set.
pub fn init(
    node: NodeId,
    out: impl Write + Send + 'static,
) -> Result<WriterGuard, log::SetLoggerError> {
    let (tx, rx) = mpsc::sync_channel(QUEUE_LINES);
    let (error_tx, error_rx) = mpsc::sync_channel(ERROR_QUEUE_LINES);
    let guard = WriterGuard { tx: tx.clone() };
    std::thread::spawn(move || write_lines(&rx, &error_rx, out));
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .chain(fern::Output::call(move |record| {
            let line = line(&node, record);
            let Err(mpsc::TrySendError::Full(Entry::Line(line))) = tx.try_send(Entry::Line(line))
            else {
                return;
            };
            // The writer has lines to write, so it will look for errors as well.
            if record.level() > log::Level::Error || error_tx.try_send(line).is_err() {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }))
        .apply()?;
    std::panic::set_hook(Box::new(log_panic));
    Ok(guard)
}

/// Logs a panic as one line.
fn log_panic(info: &PanicHookInfo<'_>) {
    let thread = std::thread::current();
    let message = info.payload_as_str().unwrap_or("no message");
    decision_log::write(&Record::Panic {
        thread: thread.name().unwrap_or_default(),
        place: &info.location().map(ToString::to_string).unwrap_or_default(),
        message: &message[..message.floor_char_boundary(MAX_PANIC_BYTES)],
    });
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

fn write_lines(rx: &mpsc::Receiver<Entry>, errors: &mpsc::Receiver<String>, mut out: impl Write) {
    let mut reported = 0;
    while let Ok(first) = rx.recv() {
        let mut text = String::new();
        let mut flushed = Vec::new();
        for entry in std::iter::once(first).chain(rx.try_iter().take(MAX_LINES_PER_WRITE - 1)) {
            match entry {
                Entry::Line(line) => text.push_str(&line),
                Entry::Flush(done) => flushed.push(done),
            }
        }
        text.extend(errors.try_iter());
        let dropped = dropped_lines();
        if dropped > reported {
            text.push_str(&format!("{{\"level\":\"WARN\",\"dropped_lines\":{dropped}}}\n"));
            reported = dropped;
        }
        // A failure of the log output can't be logged.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        for done in flushed {
            // The other end may have waited long enough.
            let _ = done.try_send(());
        }
    }
}
