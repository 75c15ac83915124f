//! What daemons say to each other over one connection, in `bincode` frames.

use std::net::SocketAddr;

use dahlia_api::ApiError;
use dahlia_program::CallOutcome;
use dahlia_replication::group::PeerBatch;
use dahlia_replication::membership::Envelope;
use dahlia_types::{CallId, DaemonId, Incarnation, TenantId};
use serde::{Deserialize, Serialize};

use crate::feed::FeedMessage;
use crate::history::ChunkMessage;
use crate::load_sharing::LoadMessage;
use crate::request::{Request, RequestId, Response};

/// Version of this protocol. A daemon refuses a peer with another one by name.
pub const PROTOCOL_VERSION: u32 = 6;

/// Largest frame in bytes; a longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// The first frame of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u32,
    /// The sender.
    pub daemon: DaemonId,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// Keyed hash over the fields above: shows that the sender has the peer key.
    pub proof: [u8; 32],
    /// What the connection is for.
    pub purpose: ConnectionPurpose,
}

/// What a connection is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionPurpose {
    /// [`PeerMessage`]s from the connecting side.
    Messages,
    /// [`AnswerFrame`]s from the accepting side.
    Answer(ReadAnswer),
}

/// Asks the owner for a call's answer from an offset on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Whose credential the request carried.
    pub tenant: TenantId,
    /// The call.
    pub call: CallId,
    /// The attempt whose text the reader has; 0 when it does not know.
    pub attempt: u32,
    /// Bytes of the text that the reader has.
    pub offset: u64,
}

/// A piece of an answer on its way from owner to gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerFrame {
    /// Text of an attempt. A later attempt starts at offset 0 again.
    Piece {
        /// The attempt's number.
        attempt: u32,
        /// Where the text starts, in bytes.
        offset: u64,
        /// The text.
        text: String,
    },
    /// Nothing new; the owner is there.
    KeepAlive,
    /// The final outcome, durable. An answer's whole text is in it.
    End {
        /// The attempt that ended the call; 0 when there was none.
        attempt: u32,
        /// The outcome.
        outcome: CallOutcome,
    },
    /// This daemon does not own the program, or no longer.
    NotOwner {
        /// Who may.
        hint: Option<DaemonId>,
    },
    /// Refused.
    Failed(ApiError),
}

/// One message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Of replica groups. One frame carries all that is due to one peer.
    Groups(PeerBatch),
    /// Of the operators' configuration.
    Configuration(dahlia_configuration::PeerMessage),
    /// Of membership and spread facts.
    Membership(Box<Envelope>),
    /// Of bulk history.
    Chunks(Box<ChunkMessage>),
    /// A request to the owner of a group.
    Request {
        /// The asker's name for it.
        id: RequestId,
        /// The request.
        request: Request,
        /// Where the answer goes. An owner that has just started answers gateways that membership
        /// has not told it of.
        reply_to: SocketAddr,
    },
    /// The answer.
    Response {
        /// The asker's name for the request.
        id: RequestId,
        /// The answer.
        response: Response,
    },
    /// A request to the owner of a group that the asker does not reach: the receiver puts it to the
    /// owner by its own direct way, and passes the answer on as a [`Self::Response`].
    Forward {
        /// The asker's name for it.
        id: RequestId,
        /// The request: a command to a ledger.
        request: Request,
        /// Where the answer goes.
        reply_to: SocketAddr,
    },
    /// Of what few daemons read of an outside source.
    Feed(FeedMessage),
    /// Of loads. Goes by datagrams alone: builds that do not know it drop a datagram, and would end a
    /// connection.
    Loads(LoadMessage),
}

/// What a message is about, as its bytes are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Replica groups.
    Groups,
    /// The operators' configuration.
    Configuration,
    /// Probes and news of members, and comparisons.
    Membership,
    /// Documents that daemons give each other.
    Documents,
    /// Bulk history.
    Chunks,
    /// Requests to owners of groups.
    Requests,
    /// Answers to these.
    Responses,
    /// What few daemons read of an outside source.
    Feed,
    /// Loads.
    Loads,
}

impl MessageKind {
    /// All of them, in the order of their declaration.
    pub const ALL: [Self; 9] = [
        Self::Groups,
        Self::Configuration,
        Self::Membership,
        Self::Documents,
        Self::Chunks,
        Self::Requests,
        Self::Responses,
        Self::Feed,
        Self::Loads,
    ];

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Groups => "groups",
            Self::Configuration => "configuration",
            Self::Membership => "membership",
            Self::Documents => "documents",
            Self::Chunks => "chunks",
            Self::Requests => "requests",
            Self::Responses => "responses",
            Self::Feed => "feed",
            Self::Loads => "loads",
        }
    }
}

/// How a message travels between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// Over a connection.
    Connection,
    /// In a datagram; over a connection when it is too long.
    DatagramIfFits,
    /// In a datagram or not at all: a peer of another build may not know the message, and a connection
    /// would end with it.
    DatagramOnly,
}

impl PeerMessage {
    /// What it is about.
    pub fn kind(&self) -> MessageKind {
        match self {
            Self::Groups(_) => MessageKind::Groups,
            Self::Configuration(_) => MessageKind::Configuration,
            Self::Membership(envelope) if envelope.has_documents() => MessageKind::Documents,
            Self::Membership(_) => MessageKind::Membership,
            Self::Chunks(_) => MessageKind::Chunks,
            Self::Request { .. } | Self::Forward { .. } => MessageKind::Requests,
            Self::Response { .. } => MessageKind::Responses,
            Self::Feed(_) => MessageKind::Feed,
            Self::Loads(_) => MessageKind::Loads,
        }
    }

    /// How it travels.
    pub fn transport(&self) -> Transport {
        match self {
            Self::Membership(_) => Transport::DatagramIfFits,
            Self::Loads(_) => Transport::DatagramOnly,
            _ => Transport::Connection,
        }
    }
}
