//! Why a request was not sent.

use std::io;

use displaydoc::Display;

use crate::causes::IoCause;

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
        match IoCause::from(error) {
            IoCause::Refused => NotSentCause::Refused,
            IoCause::TimedOut => NotSentCause::TimedOut,
            IoCause::NoDescriptor | IoCause::NoPort | IoCause::NoMemory => {
                NotSentCause::LocalResource
            }
            IoCause::Reset | IoCause::Unreachable | IoCause::Other => NotSentCause::Unreachable,
        }
    }

    /// Returns whether it shows something of the peer or of the path to it.
    pub fn is_evidence(self) -> bool {
        self != NotSentCause::LocalResource
    }
}
