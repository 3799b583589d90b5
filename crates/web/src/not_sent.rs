//! Why a request was not sent.

use std::io;

use displaydoc::Display;
use rustix::io::Errno;

/// Errors that show that this process, or its VM, has nothing left to make a connection with.
const LOCAL_ERRORS: [Errno; 6] =
    [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN];

/// Why a request was not sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NotSentCause {
    /// nothing listens at the address
    Refused,
    /// no connection was made in time
    TimedOut,
    /// the address can't be reached
    Unreachable,
    /// the connection ended before the request was written
    Closed,
    /// this process has no descriptor, port or memory left
    LocalResource,
    /// the peer declined the request
    Declined,
}

impl NotSentCause {
    /// Returns what `error` shows, with which a connection attempt failed.
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => NotSentCause::Refused,
            io::ErrorKind::TimedOut => NotSentCause::TimedOut,
            _ if is_local(error) => NotSentCause::LocalResource,
            _ => NotSentCause::Unreachable,
        }
    }

    /// Returns whether it shows something of the peer or of the path to it.
    pub fn is_evidence(self) -> bool {
        self != NotSentCause::LocalResource
    }
}

/// Returns whether `error` shows a lack of this process or its VM, and nothing of the other side.
fn is_local(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    errno.is_some_and(|errno| LOCAL_ERRORS.contains(&errno))
}
