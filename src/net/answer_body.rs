//! Body of an answer that counts as open until it is written or given up.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use send_wrapper::SendWrapper;

use super::connection_progress::OpenAnswer;
use super::{BodyError, HttpBody};

/// A body and the mark that its connection is at work.
pub struct AnswerBody {
    body: HttpBody,
    _answer: SendWrapper<OpenAnswer>,
}

impl AnswerBody {
    /// Attaches the mark.
    pub fn open(body: HttpBody, answer: SendWrapper<OpenAnswer>) -> Self {
        Self {
            body,
            _answer: answer,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
