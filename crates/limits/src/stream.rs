//! A TCP connection that reports its progress.
//!
//! Invariant: a connection that was closed by a limit is reset, so that neither what
//! was received nor what was not sent yet stays in the kernel.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::connection::{Connection, Stage};
use crate::connections::Slot;

/// Receive buffer of a connection in bytes, which the kernel doubles. Bytes received
/// and not read count towards the memory limit; without this bound the kernel lets the
/// buffer grow to several MB.
const RECEIVE_BUFFER: u32 = 32 * 1_024;
/// Connections that the kernel keeps until they are accepted. Each may hold a full receive
/// buffer: with 1,024 a crowd of 2,000 left 35 MB unread.
const BACKLOG: u32 = 256;
/// Most bytes that are discarded from a peer that has got its last answer: a body of
/// the largest size and some more.
const MAX_DISCARDED: usize = 512 * 1_024;

/// Listens on `address`, with a bounded receive buffer for each connection.
///
/// # Errors
/// Fails if the address can't be bound.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A TCP connection that reports its progress to its slot.
#[derive(Debug)]
pub struct Stream {
    tcp: TcpStream,
    connection: Arc<Connection>,
    /// Bytes discarded since the last answer; `None` before it.
    discarded: Option<usize>,
}

impl Stream {
    /// Wraps the connection of a slot.
    #[must_use]
    pub fn new(tcp: TcpStream, slot: &Slot) -> Self {
        Self {
            tcp,
            connection: slot.connection.clone(),
            discarded: None,
        }
    }

    /// Notes the result of a write.
    fn written(&self, result: &Poll<io::Result<usize>>) {
        self.connection.written(result.is_ready());
    }

    /// Discards what the peer sends until it closes the connection, or has sent too
    /// much.
    fn poll_discard(&mut self, cx: &mut Context<'_>, mut discarded: usize) -> Poll<()> {
        let mut space = [0; 4_096];
        loop {
            let mut buf = ReadBuf::new(&mut space);
            let read = Pin::new(&mut self.tcp).poll_read(cx, &mut buf);
            self.discarded = Some(discarded);
            let ended = ready!(read).is_err() || buf.filled().is_empty();
            discarded += buf.filled().len();
            if ended || discarded > MAX_DISCARDED {
                return Poll::Ready(());
            }
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.connection.is_closed() {
            // Fails only if the connection has ended.
            let _ = self.tcp.set_zero_linger();
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(cx, buf))?;
        self.connection.received(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.tcp).poll_write(cx, buf);
        self.written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs);
        self.written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.tcp).poll_flush(cx))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    /// Ends the sending side, and takes what the peer still sends: closing a connection
    /// with unread bytes would reset it, and the peer might not get the last answer.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let discarded = match self.discarded {
            Some(discarded) => discarded,
            None => {
                ready!(Pin::new(&mut self.tcp).poll_shutdown(cx))?;
                self.connection.enter(Stage::Closing);
                0
            }
        };
        ready!(self.poll_discard(cx, discarded));
        Poll::Ready(Ok(()))
    }
}
