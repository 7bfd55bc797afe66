//! Limit on the bytes that a peer may send before its response head is complete.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

/// Largest number of bytes read before the response head is complete, interim responses and the
/// start of the body included.
const MAX_HEAD_PHASE_BYTES: usize = 96 * 1024;

/// Size of a read in bytes while the gate is closed.
const READ_BYTES: usize = 4 * 1024;

/// Ends the limit of a [`HeadLimit`] once the response head has arrived.
#[derive(Debug, Clone)]
pub struct HeadGate {
    is_open: Rc<Cell<bool>>,
}

impl HeadGate {
    /// Lets the peer send any number of bytes from now on.
    pub fn open(&self) {
        self.is_open.set(true);
    }
}

/// A connection whose reads fail when the peer sends too much before the response head is
/// complete. An HTTP parser limits one head, but not a series of interim responses.
#[derive(Debug)]
pub struct HeadLimit<S> {
    stream: S,
    gate: HeadGate,
    /// Bytes read while the gate is closed.
    read_bytes: usize,
}

impl<S> HeadLimit<S> {
    /// Limits a connection; the gate ends the limit.
    pub fn open(stream: S) -> (Self, HeadGate) {
        let gate = HeadGate {
            is_open: Rc::default(),
        };
        let limit = Self {
            stream,
            gate: gate.clone(),
            read_bytes: 0,
        };
        (limit, gate)
    }
}

impl<S: Read + Unpin> Read for HeadLimit<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        let state = &mut *self;
        if state.gate.is_open.get() {
            return Pin::new(&mut state.stream).poll_read(context, cursor);
        }
        let left = MAX_HEAD_PHASE_BYTES.saturating_sub(state.read_bytes);
        if left == 0 {
            let error = std::io::Error::other("the response head is too large");
            return Poll::Ready(Err(error));
        }
        let mut space = [std::mem::MaybeUninit::uninit(); READ_BYTES];
        let limit = left.min(READ_BYTES).min(cursor.remaining());
        let mut buffer = hyper::rt::ReadBuf::uninit(&mut space[..limit]);
        let polled = Pin::new(&mut state.stream).poll_read(context, buffer.unfilled());
        if let Poll::Ready(Ok(())) = polled {
            let filled = buffer.filled();
            state.read_bytes += filled.len();
            cursor.put_slice(filled);
        }
        polled
    }
}

impl<S: Write + Unpin> Write for HeadLimit<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
