//! A connection that can be reset or silenced permanently.
//!
//! A silent connection discards what is written and delivers nothing to read, like one whose state
//! a middlebox (NAT gateway, firewall) has lost.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tonic::transport::server::Connected;

use super::faults::KvFaults;
use super::faults::Outage;

/// A client's connection, with the fault counts at its start; a change of a count is a fault.
pub(super) struct FaultyConnection {
    stream: TcpStream,
    faults: KvFaults,
    resets: u64,
    silences: u64,
}

enum ConnectionState {
    Open,
    Reset,
    Silent,
}

impl FaultyConnection {
    /// Wraps an accepted connection.
    pub(super) fn new(stream: TcpStream, faults: KvFaults) -> Self {
        let _ = stream.set_nodelay(true);
        let (resets, mut silences) = faults.connection_fault_counts();
        if faults.outage() == Outage::Silent {
            // Never equal to a count: the connection is silent from its start.
            silences = u64::MAX;
        }
        FaultyConnection { stream, faults, resets, silences }
    }

    fn state(&self) -> ConnectionState {
        let (resets, silences) = self.faults.connection_fault_counts();
        if resets != self.resets {
            ConnectionState::Reset
        } else if silences != self.silences {
            ConnectionState::Silent
        } else {
            ConnectionState::Open
        }
    }
}

fn reset<T>() -> Poll<io::Result<T>> {
    Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
}

impl AsyncRead for FaultyConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        match self.state() {
            ConnectionState::Reset => reset(),
            ConnectionState::Silent => match polled {
                // The peer has closed the connection.
                Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
                Poll::Ready(Ok(())) if buf.filled().len() == filled => reset(),
                Poll::Ready(Ok(())) => {
                    buf.set_filled(filled);
                    // Discards the data read and polls again, as more may be buffered.
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
                Poll::Pending => Poll::Pending,
            },
            ConnectionState::Open => polled,
        }
    }
}

impl AsyncWrite for FaultyConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.state() {
            ConnectionState::Reset => reset(),
            ConnectionState::Silent => Poll::Ready(Ok(buf.len())),
            ConnectionState::Open => Pin::new(&mut self.stream).poll_write(cx, buf),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Connected for FaultyConnection {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}
