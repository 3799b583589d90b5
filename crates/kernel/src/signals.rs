//! Signals of the operating system that would end a process although it can go on.
//!
//! By default, the signal for a write beyond the limit on the size of a file ends the process. A log that can't
//! grow is no reason to drop all requests: with the signal handled, the write fails like one to a full disk.

use std::io;

use rustix::process::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Lets writes beyond the limit on the size of a file fail, instead of ending the process.
///
/// Must be called in the context of a runtime, before anything is written.
///
/// # Errors
///
/// Fails if the signal can't be handled.
pub fn survive_file_size_limit() -> io::Result<()> {
    // The handler stays when the stream of signals is dropped; nobody waits for the signal.
    signal(SignalKind::from_raw(Signal::XFSZ.as_raw())).map(drop)
}
