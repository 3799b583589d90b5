//! What the owner of a listener learns of its connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;

use crate::causes::IoCause;
use crate::causes::io_error;
use crate::causes::with_causes;

/// Most bytes of a request's id that are kept.
const MAX_ID_BYTES: usize = 64;

/// Why a connection ended while a request on it had no complete response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LostCause {
    /// peer closed
    PeerClosed,
    /// reset
    Reset,
    /// write failed
    Io,
    /// body aborted
    BodyAborted,
    /// malformed request
    Malformed,
    /// header timeout
    HeaderTimeout,
    /// write timeout
    WriteTimeout,
    /// panic
    Panicked,
    /// process ended
    ProcessEnded,
    /// other
    Other,
}

impl From<&hyper::Error> for LostCause {
    fn from(error: &hyper::Error) -> Self {
        if error.is_user() {
            return LostCause::BodyAborted;
        }
        if error.is_parse() {
            return LostCause::Malformed;
        }
        match io_error(error).map(IoCause::from) {
            Some(IoCause::Reset) => LostCause::Reset,
            Some(_) => LostCause::Io,
            None if error.is_incomplete_message() => LostCause::PeerClosed,
            None => LostCause::Other,
        }
    }
}

/// A connection that ended while a request on it had no complete response.
#[derive(Clone, Debug)]
pub struct LostConnection {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// The request's id, if its headers had arrived and held one.
    pub request: Box<str>,
    /// Why it ended.
    pub cause: LostCause,
    /// The error, if there is one.
    pub problem: Box<str>,
    /// Whether the whole response had been made and only had to be sent.
    pub is_unsent: bool,
    /// Time since the headers of the request had arrived.
    pub after: Duration,
}

/// Something that happened to the connections of a listener.
#[derive(Debug)]
pub enum ConnectionEvent<'a> {
    /// One was accepted.
    Opened,
    /// One has ended.
    Closed,
    /// One ended while a request on it had no complete response.
    Lost(&'a LostConnection),
    /// The handler of a request panicked.
    HandlerPanicked {
        /// The request's id; empty if it has none.
        request: &'a str,
        /// Time since its headers had arrived.
        after: Duration,
    },
    /// None could be accepted.
    AcceptFailed(&'a io::Error),
}

/// Is told what happens to the connections of a listener.
#[derive(Clone)]
pub struct Observer {
    /// The header that holds a request's id.
    pub id_header: http::HeaderName,
    /// Is called for each event.
    pub report: Arc<dyn Fn(ConnectionEvent<'_>) + Send + Sync>,
}

impl Observer {
    /// Returns the id of a request with these headers, shortened to a bound; empty if there is none.
    pub(crate) fn id_of(&self, headers: &http::HeaderMap) -> Box<str> {
        let id = headers.get(&self.id_header).and_then(|id| id.to_str().ok()).unwrap_or_default();
        id[..id.floor_char_boundary(MAX_ID_BYTES)].into()
    }
}

/// Returns the text of an error that ended a connection.
pub(crate) fn problem(error: &hyper::Error) -> Box<str> {
    with_causes(error)
}
