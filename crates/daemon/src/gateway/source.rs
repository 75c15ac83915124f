//! The source of an answer's frames.

use dahlia_node::wire::AnswerFrame;
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::frames::{FrameError, FrameStream};

/// The source of an answer's frames.
pub(super) enum AnswerSource {
    /// Another daemon.
    Peer(Box<FrameStream>),
    /// This daemon.
    Local(mpsc::Receiver<AnswerFrame>),
}

/// Why no further frame is available.
#[derive(Debug, Snafu)]
pub(super) enum SourceError {
    /// The connection to the owner broke.
    #[snafu(display("{source}"), context(false))]
    Peer {
        /// Cause.
        source: FrameError,
    },
    /// The reader in this process ended.
    #[snafu(display("the answer is no longer served here"))]
    Ended,
}

impl AnswerSource {
    /// The next frame.
    ///
    /// # Errors
    /// [`SourceError`] when no further frame will come from here.
    pub(super) async fn receive(&mut self) -> Result<AnswerFrame, SourceError> {
        match self {
            Self::Peer(frames) => Ok(frames.receive().await?),
            Self::Local(frames) => frames.recv().await.ok_or(SourceError::Ended),
        }
    }
}
