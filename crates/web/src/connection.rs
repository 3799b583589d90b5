//! One connection of a listener: its stream, and what is known of its use.
//!
//! The HTTP library counts a response as sent once it has read its last bytes, which may be long
//! before a slow reader has let it write them. It flushes the stream whenever it has nothing left to
//! write, so [`TrackedStream`] takes a response for sent at the first flush after its last bytes were
//! read. The kernel has all bytes then.
//!
//! Invariant: a connection whose response is being served or read by its peer doesn't expire.

use std::io;
use std::io::IoSlice;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::server::InFlightGuard;

/// How long a closing connection waits for its peer to close as well.
const LINGER: Duration = Duration::from_secs(1);
/// How long a stop lets a new connection send the first byte of its request.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(500);
/// How long a listener without room lets a connection send the first byte of its next request.
const SCARCE_FIRST_BYTE_GRACE: Duration = Duration::from_millis(20);
/// How long a closing connection waits for its peer before it may be cut to make room.
const MIN_LINGER: Duration = Duration::from_millis(50);
/// Bytes that are read at a time, and dropped, from a closing connection.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// Whether a connection must close.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Closing {
    /// It stays open.
    No,
    /// As soon as it is idle.
    WhenIdle,
    /// At once.
    Now,
}

/// Bounds on the time that a connection may be without a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    /// Of the headers of a request, from its first byte or, for the first request, from the connection's
    /// start.
    pub(crate) header: Duration,
    /// Between a response and the first byte of the next request.
    pub(crate) idle: Duration,
    /// Between two writes of a response that has been read completely.
    pub(crate) write: Duration,
}

/// What a connection is doing.
#[derive(Debug)]
enum Use {
    /// It was opened at `since`, and nothing was received yet.
    Opened { since: Instant },
    /// Nothing was received of the next request since `since`.
    Idle { since: Instant },
    /// The headers of a request have been arriving since `since`.
    Receiving { since: Instant },
    /// A request is being served.
    Busy,
    /// A response has been read completely but not yet sent. Bytes were last written at `since`.
    Sending { since: Instant, _in_flight: InFlightGuard },
    /// It was closed at `since`, and waits for its peer to do the same.
    Lingering { since: Instant },
}

/// Which connections a listener without room closes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Dispensable {
    /// It has been closed already, at the given time.
    Lingering(Instant),
    /// It has had no request since the given time.
    Idle(Instant),
}

/// The request that came last on a connection.
#[derive(Clone, Debug, Default)]
struct LastRequest {
    id: Box<str>,
    since: Option<Instant>,
}

/// How far a request had got when its connection ended.
#[derive(Clone, Debug)]
pub(crate) struct OpenRequest {
    /// Its id; empty if it has none, or its headers had not arrived.
    pub(crate) id: Box<str>,
    /// Time since its headers had arrived.
    pub(crate) after: Duration,
    /// Whether its headers were still arriving.
    pub(crate) is_arriving: bool,
    /// Whether the whole response had been read, and only had to be sent.
    pub(crate) is_unsent: bool,
}

/// The use of one connection, shared by its stream, its requests and the table of connections.
pub(crate) struct Activity {
    current: Mutex<Use>,
    /// The request that came last.
    last_request: Mutex<LastRequest>,
    closing: watch::Sender<Closing>,
}

impl Activity {
    /// Returns the activity of a connection that was opened at `now`.
    pub(crate) fn new(now: Instant) -> Arc<Self> {
        Arc::new(Activity {
            current: Mutex::new(Use::Opened { since: now }),
            last_request: Mutex::default(),
            closing: watch::Sender::new(Closing::No),
        })
    }

    /// Records that the headers of the request `id` have arrived.
    pub(crate) fn request_began(&self, id: Box<str>) {
        *self.last_request.lock() = LastRequest { id, since: Some(Instant::now()) };
        *self.current.lock() = Use::Busy;
    }

    /// Returns the request that has no complete response yet, if there is one.
    pub(crate) fn open_request(&self) -> Option<OpenRequest> {
        let (is_arriving, is_unsent) = match &*self.current.lock() {
            Use::Opened { .. } | Use::Idle { .. } | Use::Lingering { .. } => return None,
            Use::Receiving { .. } => (true, false),
            Use::Busy => (false, false),
            Use::Sending { .. } => (false, true),
        };
        let last = match is_arriving {
            true => LastRequest::default(),
            false => self.last_request.lock().clone(),
        };
        let after = last.since.map_or(Duration::ZERO, |since| since.elapsed());
        Some(OpenRequest { id: last.id, after, is_arriving, is_unsent })
    }

    /// Records that the last bytes of a response have been read; `in_flight` ends when they are sent.
    pub(crate) fn response_read(&self, in_flight: InFlightGuard) {
        in_flight.response_read();
        *self.current.lock() = Use::Sending { since: Instant::now(), _in_flight: in_flight };
    }

    /// Records that the kernel has all bytes that were written so far.
    fn flushed(&self) {
        let mut current = self.current.lock();
        if matches!(&*current, Use::Sending { .. }) {
            *current = Use::Idle { since: Instant::now() };
        }
    }

    /// Records that the kernel has taken some bytes.
    fn written(&self) {
        if let Use::Sending { since, .. } = &mut *self.current.lock() {
            *since = Instant::now();
        }
    }

    /// Records that bytes were received.
    fn received(&self) {
        let mut current = self.current.lock();
        match &*current {
            Use::Opened { since } => *current = Use::Receiving { since: *since },
            Use::Idle { .. } => *current = Use::Receiving { since: Instant::now() },
            Use::Receiving { .. } | Use::Busy | Use::Sending { .. } | Use::Lingering { .. } => {}
        }
    }

    /// Records that the connection is closed, and only waits for its peer. Returns how long it should, at most:
    /// not at all if no sent byte can still be on its way.
    pub(crate) fn begin_linger(&self) -> Duration {
        let now = Instant::now();
        let mut current = self.current.lock();
        let has_read_all = match &*current {
            Use::Opened { .. } => true,
            Use::Idle { since } => now.saturating_duration_since(*since) >= LINGER,
            Use::Receiving { .. } | Use::Busy | Use::Sending { .. } | Use::Lingering { .. } => {
                false
            }
        };
        *current = Use::Lingering { since: now };
        if has_read_all { Duration::ZERO } else { LINGER }
    }

    /// Returns whether a listener may close the connection at `now` to make room, and since when. One with a
    /// request, or part of one, is never closed.
    pub(crate) fn dispensable(&self, now: Instant) -> Option<Dispensable> {
        let age = |since: &Instant| now.saturating_duration_since(*since);
        match &*self.current.lock() {
            Use::Lingering { since } if age(since) >= MIN_LINGER => {
                Some(Dispensable::Lingering(*since))
            }
            Use::Opened { since } | Use::Idle { since }
                if age(since) >= SCARCE_FIRST_BYTE_GRACE =>
            {
                Some(Dispensable::Idle(*since))
            }
            Use::Lingering { .. }
            | Use::Opened { .. }
            | Use::Idle { .. }
            | Use::Receiving { .. }
            | Use::Busy
            | Use::Sending { .. } => None,
        }
    }

    /// Returns whether nothing has come of a request, so that the connection may soon make room.
    pub(crate) fn is_without_request(&self) -> bool {
        matches!(&*self.current.lock(), Use::Opened { .. } | Use::Idle { .. })
    }

    /// Closes a connection that is `dispensable`.
    pub(crate) fn dispense_with(&self, dispensable: Dispensable) {
        self.close(match dispensable {
            Dispensable::Lingering(_) => Closing::Now,
            Dispensable::Idle(_) => Closing::WhenIdle,
        });
    }

    /// Closes the connection if it has been without a request for too long at `now`.
    pub(crate) fn expire(&self, now: Instant, timeouts: Timeouts) {
        let has_passed = |since: &Instant, limit| now.saturating_duration_since(*since) >= limit;
        let closing = match &*self.current.lock() {
            Use::Opened { since } | Use::Receiving { since } => {
                has_passed(since, timeouts.header).then_some(Closing::Now)
            }
            Use::Idle { since } => has_passed(since, timeouts.idle).then_some(Closing::WhenIdle),
            Use::Sending { since, .. } => has_passed(since, timeouts.write).then_some(Closing::Now),
            Use::Busy | Use::Lingering { .. } => None,
        };
        if let Some(closing) = closing {
            self.close(closing);
        }
    }

    /// Closes the connection once it is idle. One whose request is arriving at `now` gets its response.
    pub(crate) fn close_when_idle(&self, now: Instant) {
        let is_arriving = match &*self.current.lock() {
            Use::Opened { since } => now.saturating_duration_since(*since) < FIRST_BYTE_GRACE,
            Use::Receiving { .. } => true,
            Use::Idle { .. } | Use::Busy | Use::Sending { .. } | Use::Lingering { .. } => false,
        };
        if !is_arriving {
            self.close(Closing::WhenIdle);
        }
    }

    /// Returns whether a request is arriving; `has_unread` says whether bytes wait to be read.
    pub(crate) fn is_arriving(&self, has_unread: bool) -> bool {
        match &*self.current.lock() {
            Use::Opened { .. } | Use::Idle { .. } => has_unread,
            Use::Receiving { .. } => true,
            Use::Busy | Use::Sending { .. } | Use::Lingering { .. } => false,
        }
    }

    /// Takes back that the connection must close, if a request is being served on it. Returns whether one is.
    pub(crate) fn keep_if_busy(&self) -> bool {
        let is_busy = matches!(&*self.current.lock(), Use::Busy);
        if is_busy {
            self.closing.send_replace(Closing::No);
        }
        is_busy
    }

    fn close(&self, closing: Closing) {
        self.closing.send_if_modified(|current| {
            let is_sooner = closing > *current;
            *current = closing.max(*current);
            is_sooner
        });
    }

    /// Resolves when the connection must be cut.
    async fn cut(&self) {
        let mut rx = self.closing.subscribe();
        // This can't fail: the sender lives as long as `self`.
        let _ = rx.wait_for(|closing| *closing == Closing::Now).await;
    }

    /// Resolves when the connection must close in another way than `known`, and returns it.
    pub(crate) async fn closing(&self, known: Closing) -> Closing {
        let mut rx = self.closing.subscribe();
        // This can't fail: the sender lives as long as `self`.
        rx.wait_for(|closing| *closing != known).await.map_or(known, |closing| *closing)
    }
}

/// Looks at what has arrived on a connection and hasn't been read.
pub(crate) struct UnreadBytes(Arc<TcpStream>);

impl UnreadBytes {
    /// Returns whether there are any, as the system knows now. The runtime of a process that runs late learns
    /// of them later.
    pub(crate) fn has_any(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&*self.0).peek(&mut byte), Ok(1..))
    }
}

/// The stream of a connection, which records its use.
pub(crate) struct TrackedStream {
    stream: Arc<TcpStream>,
    activity: Arc<Activity>,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        TrackedStream { stream: Arc::new(stream), activity }
    }

    /// Returns a look at the bytes that haven't been read of this stream.
    pub(crate) fn unread_bytes(&self) -> UnreadBytes {
        UnreadBytes(self.stream.clone())
    }

    /// Ends the stream, and waits a short while until the peer ends it as well.
    ///
    /// Closing it with unread bytes would reset the connection, and the peer might lose bytes that are
    /// still on their way.
    pub(crate) async fn linger(mut self) {
        // The peer may have closed it already.
        let _ = self.shutdown().await;
        let time = self.activity.begin_linger();
        let activity = self.activity.clone();
        let mut buf = [0; DISCARD_BUFFER_BYTES];
        let discard = async { while let Ok(1..) = self.read(&mut buf).await {} };
        tokio::select! {
            _ = tokio::time::timeout(time, discard) => {}
            () = activity.cut() => {}
        }
    }

    /// Writes with `write` once the stream is writable.
    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    let written = written?;
                    self.activity.written();
                    return Poll::Ready(Ok(written));
                }
            }
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read_buf(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => {
                    if read? > 0 {
                        self.activity.received();
                    }
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The kernel has what was written.
        self.activity.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
