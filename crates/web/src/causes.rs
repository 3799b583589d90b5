//! The causes of errors, as text and as a closed set for metrics.

use std::error::Error;
use std::io;

use displaydoc::Display;

/// Most bytes of the text of an error with its causes.
const MAX_TEXT_BYTES: usize = 300;
/// Error numbers of Linux that the standard library has no kind for.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOBUFS: i32 = 105;

/// What an I/O error shows.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum IoCause {
    /// refused
    Refused,
    /// reset
    Reset,
    /// timed out
    TimedOut,
    /// no descriptor
    NoDescriptor,
    /// no port
    NoPort,
    /// no memory
    NoMemory,
    /// unreachable
    Unreachable,
    /// other
    Other,
}

impl From<&io::Error> for IoCause {
    fn from(error: &io::Error) -> Self {
        if let Some(EMFILE | ENFILE) = error.raw_os_error() {
            return IoCause::NoDescriptor;
        }
        if error.raw_os_error() == Some(ENOBUFS) {
            return IoCause::NoMemory;
        }
        match error.kind() {
            io::ErrorKind::ConnectionRefused => IoCause::Refused,
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe => IoCause::Reset,
            io::ErrorKind::TimedOut => IoCause::TimedOut,
            io::ErrorKind::AddrNotAvailable | io::ErrorKind::AddrInUse => IoCause::NoPort,
            io::ErrorKind::OutOfMemory => IoCause::NoMemory,
            io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::NetworkDown => IoCause::Unreachable,
            _ => IoCause::Other,
        }
    }
}

/// Returns the first I/O error among `error` and its causes.
pub fn io_error<'a>(error: &'a (dyn Error + 'static)) -> Option<&'a io::Error> {
    let mut causes = std::iter::successors(Some(error), |error| (*error).source());
    causes.find_map(|cause| cause.downcast_ref())
}

/// Returns the text of `error` and of all its causes, shortened to a bound. A cause whose text is part of
/// the text before is left out.
pub fn with_causes(error: &(dyn Error + 'static)) -> Box<str> {
    let mut text = error.to_string();
    for cause in std::iter::successors(error.source(), |cause| (*cause).source()) {
        let cause = cause.to_string();
        if !text.contains(&cause) {
            text.push_str(": ");
            text.push_str(&cause);
        }
    }
    text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
    text.into()
}
