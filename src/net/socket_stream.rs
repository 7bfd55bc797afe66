//! A socket as an HTTP connection reads and writes it.

use std::io::IoSlice;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use compio::runtime::fd::PollFd;
use futures_util::AsyncWrite;
use hyper::rt::{Read, ReadBufCursor, Write};
use send_wrapper::SendWrapper;
use socket2::Socket;

/// Largest number of bytes in a read.
const READ_BYTES: usize = 8 * 1024;

/// Reads and writes the socket without buffers of its own, so that a connection takes little memory, a
/// body is not copied before it is written, and a write that the peer does not take is seen at once.
#[derive(Debug)]
pub struct SocketStream {
    socket: SendWrapper<PollFd<Socket>>,
}

impl SocketStream {
    /// Wraps a connection.
    ///
    /// # Errors
    /// The system's error if the socket cannot be polled.
    pub fn open(stream: &TcpStream) -> std::io::Result<Self> {
        Ok(Self {
            socket: SendWrapper::new(stream.to_poll_fd()?),
        })
    }

    /// Reads what has arrived and shows it to `record` as well; nothing is shown at the end of the
    /// stream.
    pub(super) fn poll_read_recorded(
        &mut self,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
        record: impl FnOnce(&[u8]),
    ) -> Poll<std::io::Result<()>> {
        let mut space = [0; READ_BYTES];
        let limit = cursor.remaining().min(READ_BYTES);
        let length = ready!(self.socket.poll_read(context, &mut space[..limit]))?;
        if length > 0 {
            record(&space[..length]);
        }
        cursor.put_slice(&space[..length]);
        Poll::Ready(Ok(()))
    }
}

impl Read for SocketStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        self.poll_read_recorded(context, cursor, |_| {})
    }
}

impl Write for SocketStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.socket.poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.socket.poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut *self.socket).poll_close(context)
    }
}
