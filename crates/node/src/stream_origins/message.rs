//! Messages about where streams began. They are sent in datagrams alone and may be lost.

use std::net::SocketAddr;

use dahlia_types::Duration;
use serde::{Deserialize, Serialize};

use super::{Origin, OriginService, OriginView, StreamKey};
use crate::request::RequestId;

/// Where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamKey,
    /// Where it began.
    pub origin: Origin,
    /// How much longer its caller may come back.
    pub lifetime: Duration,
}

/// A message about where streams began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Where these streams began.
    Tell {
        /// The streams.
        records: Vec<StreamRecord>,
    },
    /// The question where a stream began.
    Ask {
        /// The sender's identifier for the question.
        id: RequestId,
        /// The stream.
        stream: StreamKey,
        /// Its service.
        service: OriginService,
        /// The address for the answer.
        reply_to: SocketAddr,
    },
    /// The answer to a question.
    Answer {
        /// The identifier of the question.
        id: RequestId,
        /// The stream.
        stream: StreamKey,
        /// What the sender knows.
        answer: OriginAnswer,
    },
    /// The sender's views of services, for daemons that outlive it. Builds before this kind drop it.
    TellViews {
        /// The services that the sender has.
        views: Vec<(OriginService, OriginView)>,
        /// Whether the views cover the time of all streams that may go on.
        knows_past: bool,
    },
}

/// What a daemon knows about where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginAnswer {
    /// It began there.
    Began(Origin),
    /// The daemon was told nothing of the stream. Its view of the stream's service: one origin only if that covers
    /// the time of all streams that may go on. Builds before [`OriginMessage::TellViews`] tell what they saw since their
    /// start.
    Unknown(OriginView),
}
