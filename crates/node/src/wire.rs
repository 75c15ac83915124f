//! Messages between daemons, sent as `bincode` frames over a connection.

use std::net::SocketAddr;

use dahlia_api::ApiError;
use dahlia_program::CallOutcome;
use dahlia_replication::group::PeerBatch;
use dahlia_replication::membership::Envelope;
use dahlia_types::{CallId, DaemonId, Incarnation, TenantId};
use serde::{Deserialize, Serialize};

use crate::crash_reports::CrashMessage;
use crate::feed::FeedMessage;
use crate::history::ChunkMessage;
use crate::load_sharing::LoadMessage;
use crate::request::{Request, RequestId, Response};
use crate::stream_origins::OriginMessage;

/// Version of this protocol. A daemon refuses a peer with another version and names the version.
pub const PROTOCOL_VERSION: u32 = 6;

/// Maximum size of a frame. A longer frame closes the connection.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// The first frame of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u32,
    /// The sender.
    pub daemon: DaemonId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Keyed hash over the fields above, which proves that the sender has the peer key.
    pub proof: [u8; 32],
    /// The purpose of the connection.
    pub purpose: ConnectionPurpose,
}

/// The purpose of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionPurpose {
    /// The connecting side sends [`PeerMessage`]s.
    Messages,
    /// The accepting side sends [`AnswerFrame`]s.
    Answer(ReadAnswer),
}

/// A request to the owner for a call's answer, starting at an offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// The tenant of the request's credential.
    pub tenant: TenantId,
    /// The call.
    pub call: CallId,
    /// The attempt whose text the reader has; 0 if unknown.
    pub attempt: u32,
    /// Number of bytes of the text that the reader has.
    pub offset: u64,
}

/// A frame of an answer, from owner to gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerFrame {
    /// Part of an attempt's text. A later attempt starts at offset 0 again.
    Piece {
        /// The attempt's number.
        attempt: u32,
        /// The start offset of the text in bytes.
        offset: u64,
        /// The text.
        text: String,
    },
    /// There is no new text, but the owner is alive.
    KeepAlive,
    /// The final, durable outcome. It contains an answer's full text.
    End {
        /// The attempt that ended the call; 0 if there was none.
        attempt: u32,
        /// The outcome.
        outcome: CallOutcome,
    },
    /// This daemon does not own the program, or no longer owns it.
    NotOwner {
        /// The probable owner.
        hint: Option<DaemonId>,
    },
    /// The request was refused.
    Failed(ApiError),
}

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Messages of replica groups. One frame carries all that are due to one peer.
    Groups(PeerBatch),
    /// A message about the operators' configuration.
    Configuration(dahlia_configuration::PeerMessage),
    /// A message of membership, with gossiped facts.
    Membership(Box<Envelope>),
    /// A message about chunks of bulk history.
    Chunks(Box<ChunkMessage>),
    /// A request to the owner of a group.
    Request {
        /// The requester's identifier for it.
        id: RequestId,
        /// The request.
        request: Request,
        /// The address for the response. An owner that has just started must answer gateways that its
        /// membership does not know yet.
        reply_to: SocketAddr,
    },
    /// The response to a request.
    Response {
        /// The requester's identifier for the request.
        id: RequestId,
        /// The response.
        response: Response,
    },
    /// A request to the owner of a group that the requester cannot reach. The receiver sends it directly
    /// to the owner and forwards the answer as a [`Self::Response`].
    Forward {
        /// The requester's identifier for it.
        id: RequestId,
        /// The request: a command to a ledger.
        request: Request,
        /// The address for the response.
        reply_to: SocketAddr,
    },
    /// A message about an external source that only a few daemons read.
    Feed(FeedMessage),
    /// A message about loads. It is sent only in datagrams: builds that do not know it drop a datagram,
    /// but would close a connection.
    Loads(LoadMessage),
    /// A message about where streams began. It is sent only in datagrams, like [`Self::Loads`].
    Origins(OriginMessage),
    /// A message about servers that ended under requests. It is sent only in datagrams, like [`Self::Loads`].
    Crashes(CrashMessage),
}

/// The kind of a message, by which its bytes are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Messages of replica groups.
    Groups,
    /// The operators' configuration.
    Configuration,
    /// Membership probes, gossip and synchronization.
    Membership,
    /// Documents shared between daemons.
    Documents,
    /// Bulk history.
    Chunks,
    /// Requests to owners of groups.
    Requests,
    /// Responses to these requests.
    Responses,
    /// An external source that only a few daemons read.
    Feed,
    /// Loads.
    Loads,
    /// Where streams began.
    Origins,
    /// Servers that ended under requests.
    Crashes,
}

impl MessageKind {
    /// All kinds, in order of declaration.
    pub const ALL: [Self; 11] = [
        Self::Groups,
        Self::Configuration,
        Self::Membership,
        Self::Documents,
        Self::Chunks,
        Self::Requests,
        Self::Responses,
        Self::Feed,
        Self::Loads,
        Self::Origins,
        Self::Crashes,
    ];

    /// Returns the kind's name in logs and metrics.
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
            Self::Origins => "origins",
            Self::Crashes => "crashes",
        }
    }
}

/// How a message is sent between daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// Over a connection.
    Connection,
    /// In a datagram, or over a connection if it is too long.
    DatagramIfFits,
    /// In a datagram or not at all. A peer of another build may not know the message, and would close a
    /// connection that carried it.
    DatagramOnly,
}

impl PeerMessage {
    /// Returns the message's kind.
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
            Self::Origins(_) => MessageKind::Origins,
            Self::Crashes(_) => MessageKind::Crashes,
        }
    }

    /// Returns how the message is sent.
    pub fn transport(&self) -> Transport {
        match self {
            Self::Membership(_) => Transport::DatagramIfFits,
            Self::Loads(_) | Self::Origins(_) | Self::Crashes(_) => Transport::DatagramOnly,
            _ => Transport::Connection,
        }
    }
}
