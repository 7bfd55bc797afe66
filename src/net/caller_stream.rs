//! A client's connection as the HTTP server reads and writes it.

use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use compio::net::TcpStream;
use hyper::rt::{Read, ReadBufCursor, Write};
use send_wrapper::SendWrapper;

use super::connection_progress::ConnectionProgress;
use super::socket_stream::SocketStream;

/// A socket whose progress is recorded.
pub struct CallerStream {
    socket: SocketStream,
    progress: SendWrapper<Rc<ConnectionProgress>>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn open(stream: &TcpStream, progress: Rc<ConnectionProgress>) -> std::io::Result<Self> {
        Ok(Self {
            socket: SocketStream::open(stream)?,
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
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let Self { socket, progress } = &mut *self;
        socket.poll_read_recorded(context, cursor, |bytes| progress.record_read(bytes))
    }
}

impl Write for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
