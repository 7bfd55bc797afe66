//! A client's connection as the HTTP server reads and writes it.

use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use compio::runtime::fd::PollFd;
use futures_util::AsyncWrite;
use hyper::rt::{Read, ReadBufCursor, Write};
use send_wrapper::SendWrapper;
use socket2::Socket;

use super::connection_progress::ConnectionProgress;

/// Largest number of bytes in a read.
const READ_BYTES: usize = 8 * 1024;

/// Reads and writes the socket without buffers of its own, so that an idle connection takes little
/// memory and a write that the client does not take is seen at once.
pub struct CallerStream {
    socket: SendWrapper<PollFd<Socket>>,
    progress: SendWrapper<Rc<ConnectionProgress>>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn open(stream: &TcpStream, progress: Rc<ConnectionProgress>) -> std::io::Result<Self> {
        Ok(Self {
            socket: SendWrapper::new(stream.to_poll_fd()?),
            progress: SendWrapper::new(progress),
        })
    }

    fn record_write<T>(&self, written: Poll<T>) -> Poll<T> {
        self.progress.record_write(written.is_pending());
        written
    }
}

impl Read for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let mut space = [0; READ_BYTES];
        let limit = cursor.remaining().min(READ_BYTES);
        let length = ready!(self.socket.poll_read(context, &mut space[..limit]))?;
        if length > 0 {
            self.progress.record_read(&space[..length]);
        }
        cursor.put_slice(&space[..length]);
        Poll::Ready(Ok(()))
    }
}

impl Write for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.record_write(self.socket.poll_write(context, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.record_write(self.socket.poll_write_vectored(context, slices))
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
