//! Reading bodies with a size limit, and writing streamed ones.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display;
use futures::Stream;
use http_body::Frame;
use http_body_util::BodyExt;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use volo_http::body::Body;
use volo_http::error::BoxError;

use crate::causes::with_causes;
use crate::memory::Buffer;
use crate::memory::ByteBudget;
use crate::memory::Grant;
use crate::memory::Holder;
use crate::memory::OutOfMemory;

/// Bytes of a streamed body that its reader has not sent yet before its writer waits. A larger chunk waits
/// until all before it have been sent.
const STREAM_ROOM_BYTES: usize = 128 << 10;
/// Chunks that a streamed body buffers before its writer waits.
const STREAM_DEPTH_CHUNKS: usize = 64;
/// Large chunks that a streamed body buffers before its writer waits.
const LARGE_CHUNK_STREAM_DEPTH: usize = 32;
/// Most bytes that a streamed body borrows beyond its room.
const MAX_LENT_BYTES: usize = 1 << 20;

/// The problem of a body whose writer ended without saying that it is complete.
const WRITER_ENDED: &str = "the writer of the body ended early";

/// Why a body could not be read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum BodyError {
    /// the body is larger than {limit} bytes
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// the body ended early: {0}
    Incomplete(Box<str>),
}

impl std::error::Error for BodyError {}

/// Why a body could not be read within a budget.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum GrantedBodyError {
    /// {0}
    Body(BodyError),
    /// there is no memory for the body now
    OutOfMemory,
}

impl std::error::Error for GrantedBodyError {}

impl From<BodyError> for GrantedBodyError {
    fn from(error: BodyError) -> Self {
        GrantedBodyError::Body(error)
    }
}

impl From<OutOfMemory> for GrantedBodyError {
    fn from(_: OutOfMemory) -> Self {
        GrantedBodyError::OutOfMemory
    }
}

/// Reads a complete body of at most `limit` bytes.
pub async fn read(mut body: Body, limit: usize) -> Result<Bytes, BodyError> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = next_chunk(&mut body).await {
        let chunk = chunk?;
        if buf.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

/// Reads a complete body of at most `limit` bytes, which are taken with `grant`.
///
/// A body that says its length is refused before any of it is read if it is too large, or if there is no memory
/// for it. One that doesn't takes memory as it arrives.
///
/// # Errors
///
/// [`BodyError::TooLarge`] beyond `limit`; [`BodyError::Incomplete`] if the body breaks off;
/// [`GrantedBodyError::OutOfMemory`] if the budget doesn't have the bytes.
pub async fn read_granted(
    mut body: Body,
    limit: usize,
    grant: Grant,
) -> Result<Bytes, GrantedBodyError> {
    let mut buf = Buffer::new(grant);
    if let Some(length) = http_body::Body::size_hint(&body).exact() {
        let length = usize::try_from(length).ok().filter(|length| *length <= limit);
        buf.reserve(length.ok_or(BodyError::TooLarge { limit })?)?;
    }
    while let Some(chunk) = next_chunk(&mut body).await {
        let chunk = chunk?;
        if buf.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge { limit }.into());
        }
        buf.push(&chunk)?;
    }
    Ok(buf.freeze())
}

/// Does what [`read_granted`] does, waiting at most `timeout` for each chunk.
///
/// # Errors
///
/// Those of [`read_granted`], and [`BodyError::Incomplete`] if no chunk arrives within `timeout`.
pub async fn read_granted_with_idle_timeout(
    mut body: Body,
    limit: usize,
    grant: Grant,
    timeout: Duration,
) -> Result<Bytes, GrantedBodyError> {
    let mut buf = Buffer::new(grant);
    while let Some(chunk) = next_chunk_within(&mut body, timeout).await {
        let chunk = chunk?;
        if buf.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge { limit }.into());
        }
        buf.push(&chunk)?;
    }
    Ok(buf.freeze())
}

/// Reads a complete body of at most `limit` bytes, waiting at most `timeout` for each chunk.
///
/// # Errors
///
/// [`BodyError::TooLarge`] beyond `limit`; [`BodyError::Incomplete`] if the body breaks off or no
/// chunk arrives within `timeout`.
pub async fn read_with_idle_timeout(
    mut body: Body,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let mut buf = BytesMut::new();
    while let Some(chunk) = next_chunk_within(&mut body, timeout).await {
        let chunk = chunk?;
        if buf.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

/// Reads the next chunk of a body, which must arrive within `timeout`; `None` at its end.
async fn next_chunk_within(body: &mut Body, timeout: Duration) -> Option<Result<Bytes, BodyError>> {
    let next = tokio::time::timeout(timeout, next_chunk(body)).await;
    let is_silent = |_| Some(Err(BodyError::Incomplete(format!("silent for {timeout:?}").into())));
    next.unwrap_or_else(is_silent)
}

/// Reads the next chunk of a body; `None` at its end.
pub async fn next_chunk(body: &mut Body) -> Option<Result<Bytes, BodyError>> {
    loop {
        let frame = match body.frame().await? {
            Ok(frame) => frame,
            Err(error) => return Some(Err(BodyError::Incomplete(with_causes(&*error)))),
        };
        if let Ok(data) = frame.into_data() {
            return Some(Ok(data));
        }
    }
}

/// Writes a streamed body. The body is complete only after [`BodySender::finish`]; dropping its senders
/// before that aborts it, as the task that writes it may have panicked or been cancelled.
#[derive(Clone, Debug)]
pub struct BodySender {
    tx: mpsc::Sender<Result<Frame<Bytes>, BoxError>>,
    is_finished: Arc<AtomicBool>,
    room: Arc<Semaphore>,
    lender: Option<Lender>,
}

/// Where a body borrows room.
#[derive(Clone, Debug)]
struct Lender {
    budget: ByteBudget,
    holder: Holder,
    /// What it may still borrow, in bytes.
    left: Arc<Semaphore>,
}

/// Room for a chunk. Dropping it makes room for another one.
enum Room {
    Own { _permit: OwnedSemaphorePermit },
    Lent { _permit: OwnedSemaphorePermit, _grant: Grant },
}

impl Lender {
    fn lend(&self, bytes: usize) -> Option<Room> {
        let permits = u32::try_from(bytes).ok()?;
        let permit = self.left.clone().try_acquire_many_owned(permits).ok()?;
        let grant = self.budget.lend(&self.holder, bytes)?;
        Some(Room::Lent { _permit: permit, _grant: grant })
    }
}

impl BodySender {
    /// Sends a chunk, once there is room for it. Returns `false` if the reader has been dropped.
    pub async fn send(&self, chunk: impl Into<Bytes>) -> bool {
        let chunk = chunk.into();
        let Some(room) = self.room_for(chunk.len()).await else { return false };
        let chunk = Bytes::from_owner(QueuedChunk { chunk, _room: room });
        self.tx.send(Ok(Frame::data(chunk))).await.is_ok()
    }

    /// Lets the body hold more than its room, for `holder`, while `budget` can lend it. Its writer is done
    /// sooner if its reader is slow.
    pub fn with_lender(self, budget: ByteBudget, holder: &str) -> Self {
        let left = Arc::new(Semaphore::new(MAX_LENT_BYTES));
        let lender = Lender { budget, holder: holder.into(), left };
        BodySender { lender: Some(lender), ..self }
    }

    /// Waits for room for a chunk of so many bytes; `None` if the reader has been dropped.
    async fn room_for(&self, bytes: usize) -> Option<Room> {
        let permits = u32::try_from(bytes.min(STREAM_ROOM_BYTES)).ok()?;
        if let Ok(permit) = self.room.clone().try_acquire_many_owned(permits) {
            return Some(Room::Own { _permit: permit });
        }
        if let Some(lent) = self.lender.as_ref().and_then(|lender| lender.lend(bytes)) {
            return Some(lent);
        }
        tokio::select! {
            biased;
            permit = self.room.clone().acquire_many_owned(permits) => {
                permit.ok().map(|permit| Room::Own { _permit: permit })
            }
            () = self.tx.closed() => None,
        }
    }

    /// Ends the body as complete. The reader sees its end once all senders have been dropped.
    pub fn finish(self) {
        self.is_finished.store(true, Ordering::Release);
    }

    /// Aborts the body, so that the reader sees an error instead of a regular end.
    pub async fn abort(&self, problem: &str) {
        // If the reader has been dropped already, there is nothing left to abort.
        let _ = self.tx.send(Err(problem.to_owned().into())).await;
    }

    /// Resolves when the reader has been dropped.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

/// A chunk, and the room that it takes until its last byte has been sent.
struct QueuedChunk {
    chunk: Bytes,
    _room: Room,
}

impl AsRef<[u8]> for QueuedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.chunk
    }
}

/// Returns a streamed body and its writer. `guard` is dropped together with the body, that is, when
/// the body has been sent completely or given up.
pub fn stream<G: Send + Sync + Unpin + 'static>(guard: G) -> (BodySender, Body) {
    stream_of_depth(STREAM_DEPTH_CHUNKS, guard)
}

/// Returns a streamed body and its writer, for chunks that may be as large as a read buffer.
pub fn stream_of_large_chunks() -> (BodySender, Body) {
    stream_of_depth(LARGE_CHUNK_STREAM_DEPTH, ())
}

fn stream_of_depth<G: Send + Sync + Unpin + 'static>(depth: usize, guard: G) -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(depth);
    let is_finished = Arc::new(AtomicBool::new(false));
    let stream = GuardedStream { rx, is_finished: is_finished.clone(), _guard: guard };
    let room = Arc::new(Semaphore::new(STREAM_ROOM_BYTES));
    (BodySender { tx, is_finished, room, lender: None }, Body::from_stream(stream))
}

/// Returns `body`, holding `guard` until it has been sent or dropped.
pub fn guarded<G: Send + Sync + Unpin + 'static>(body: Body, guard: G) -> Body {
    Body::from_body(GuardedBody { body, _guard: guard })
}

struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G: Unpin> http_body::Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.body.size_hint()
    }
}

struct GuardedStream<G> {
    rx: mpsc::Receiver<Result<Frame<Bytes>, BoxError>>,
    is_finished: Arc<AtomicBool>,
    _guard: G,
}

impl<G: Unpin> Stream for GuardedStream<G> {
    type Item = Result<Frame<Bytes>, BoxError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let item = ready!(self.rx.poll_recv(cx));
        // The next poll returns the end, whichever it was.
        if item.is_none() && !self.is_finished.swap(true, Ordering::AcqRel) {
            return Poll::Ready(Some(Err(WRITER_ENDED.into())));
        }
        Poll::Ready(item)
    }
}
