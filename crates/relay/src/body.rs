//! Bodies of answers to callers: complete ones with a length, and streams.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;

use crate::caller::BusyGuard;
use crate::counters::GaugeGuard;

/// The stream ended before its last piece. The caller's connection must close with it, since any
/// other end would look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the answer broke off"))]
pub(crate) struct BrokenStream;

impl From<Infallible> for BrokenStream {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The pieces of a stream in the order in which they are forwarded.
pub(crate) type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenStream>> + Send>>;

/// The body of an answer to a caller.
pub(crate) struct AnswerBody {
    content: Content,
    // Kept until the connection has taken the last byte or has closed.
    guards: Option<(GaugeGuard, BusyGuard)>,
}

enum Content {
    Whole(Option<Bytes>),
    Stream(Pieces),
}

impl AnswerBody {
    pub(crate) fn whole(bytes: Bytes) -> Self {
        let content = Content::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()));
        Self { content, guards: None }
    }

    pub(crate) fn stream(pieces: Pieces) -> Self {
        Self { content: Content::Stream(pieces), guards: None }
    }

    pub(crate) fn is_stream(&self) -> bool {
        matches!(self.content, Content::Stream(_))
    }

    /// Keeps the request counted as in progress and its connection busy until the body is dropped.
    pub(crate) fn attach_guards(&mut self, gauge: GaugeGuard, busy: BusyGuard) {
        self.guards = Some((gauge, busy));
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Stream(pieces) => {
                let piece = pieces.as_mut().poll_next(context);
                if let (Poll::Ready(None), Some((_, busy))) = (&piece, &self.guards) {
                    busy.mark_whole();
                }
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}
