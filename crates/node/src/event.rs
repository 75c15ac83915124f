//! Events that drive a node, and actions that it requests from its driver.

use std::net::SocketAddr;
use std::sync::Arc;

use dahlia_configuration::{
    ChangeOutcome, ChangeProposal, ConfigurationRecord, EngineState, FencedOrder,
};
use dahlia_program::{EngineIncarnation, ReleaseRequest};
use dahlia_replication::group::DurableChange;
use dahlia_replication::tolerance::LossTolerance;
use dahlia_types::{
    Attempt, AttemptId, CallId, Duration, EngineId, GroupId, Incarnation, LogIndex, Message,
    ModelId, ProgramId, ReplicaId, TenantId, Term, Timestamp, Tokens,
};

use crate::bootstrap::LayoutStep;
use crate::crash_reports::{ConsultationResult, CrashQuestion, CrashRecord, CrashReport};
use crate::engine_sources::{EngineAddress, MachineListing};
use crate::engines::EngineReport;
use crate::feed::{FeedOrder, SourceReport};
use crate::history::{StoreRequest, StoreResult};
use crate::key_value::{KeyValueEvent, KeyValueOperation};
use crate::load_sharing::{ItemLoad, PeerLoads};
use crate::request::{AttemptEnd, ReleaseEnd, Request, RequestId, Response};
use crate::stream_origins::{Origin, OriginService, OriginView, StreamKey, StreamRecord};
use crate::wire::PeerMessage;
use crate::zone_liveness::Reachability;

/// A document that the driver keeps synchronized with an external source. Daemons that cannot reach
/// the source get it from daemons that can. The newest version of each number wins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedDocument {
    /// The document's number, assigned by the driver.
    pub number: u32,
    /// Increases with every change.
    pub version: u64,
    /// The contents, encoded by the driver; at most `membership.max_document_bytes`.
    pub bytes: Vec<u8>,
}

/// Attempts that failed through the fault of their back end, as observed by one daemon. With many
/// gateways each observes only a few failures; together they identify a back end to avoid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendFailure {
    /// The back end's identifier.
    pub backend: String,
    /// Failed attempts since this daemon's last report on this back end.
    pub failures: u8,
}

/// An input to the node.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed. The driver sends it after each [`crate::Node::tick_interval`].
    Tick,
    /// A message from another daemon arrived.
    Message {
        /// The sender, as named in the connection's first frame.
        from: ReplicaId,
        /// The message.
        message: PeerMessage,
    },
    /// A connection to a daemon was lost.
    ConnectionLost(ReplicaId),
    /// A request from this daemon's gateway or operators' server.
    Request {
        /// The request's identifier, repeated in the response.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// An attempt that this node started or resumed has ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// The epoch under which it was started or resumed.
        epoch: Term,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The first text of an attempt arrived.
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A release request to an engine was confirmed or failed.
    ReleaseEnded {
        /// The program.
        program: ProgramId,
        /// The engine incarnation that was asked.
        holder: EngineIncarnation,
        /// The last intent that the request covered.
        covers: LogIndex,
        /// The result.
        end: ReleaseEnd,
    },
    /// An engine reported its load.
    EngineReported(EngineReport),
    /// An engine reported its models and its role.
    EngineState(EngineId, EngineState),
    /// An engine refused an attempt because it takes no new work.
    EngineRefusesWork {
        /// The engine.
        engine: EngineId,
        /// The incarnation for which the attempt was meant.
        incarnation: Incarnation,
    },
    /// The platform's list of machines was read.
    Machines(MachineListing),
    /// The key-value service answered an operation on the configuration key.
    KeyValue(KeyValueEvent),
    /// An operator proposes a configuration change. Answered by [`Action::AnswerChange`].
    ProposeChange {
        /// The request's identifier, repeated in the answer.
        id: RequestId,
        /// The change.
        proposal: ChangeProposal,
    },
    /// The key-value service answered an operation on the layout of groups.
    Layout(LayoutStep),
    /// An operation on this daemon's store has ended.
    StoreEnded(Box<StoreResult>),
    /// More seed addresses were found. They are used while no other daemon is known.
    SeedsFound(Vec<SocketAddr>),
    /// Addresses of daemons known to a previous incarnation of this one. The node contacts them to
    /// announce itself.
    PreviousPeers(Vec<SocketAddr>),
    /// The losses to tolerate at the same time have changed.
    ToleranceChanged(LossTolerance),
    /// Share a document that this daemon read and others may need.
    ShareDocument(SharedDocument),
    /// Keep a document that other daemons obtain in the same way as this one. It is not spread, only
    /// returned to daemons that request it.
    KeepDocument(SharedDocument),
    /// Request documents from the daemons that hold groups, because the source that this daemon reads
    /// does not answer.
    RequestDocuments,
    /// This daemon read the external source that daemons share.
    SourceRead {
        /// What was read. Its age counts from `began_at`.
        report: SourceReport,
        /// When the call began that read it.
        began_at: Timestamp,
    },
    /// Attempts of this daemon at a back end failed; the failures are reported to other daemons.
    BackendFailed(BackendFailure),
    /// The loads caused by this daemon, each item once. The driver sends it every
    /// [`LoadSharingSettings::report_interval`](crate::LoadSharingSettings::report_interval).
    OwnLoads(Vec<ItemLoad>),
    /// Stop reporting this daemon's loads until the next [`Self::OwnLoads`].
    OwnLoadsEnded,
    /// Streams of this daemon began; other daemons are told where.
    StreamsBegan(Vec<StreamRecord>),
    /// Find out where a stream began. Answered by [`Action::OriginFound`].
    FindOrigin {
        /// The question's identifier, repeated in the answer.
        id: RequestId,
        /// The stream.
        stream: StreamKey,
        /// Its service.
        service: OriginService,
    },
    /// Where streams of these services can have begun of late.
    OriginViews(Vec<(OriginService, OriginView)>),
    /// The origins of services that this daemon saved before its start, in an [`Action::DocumentShared`].
    RestoreOriginViews(SharedDocument),
    /// Tell all gateways of servers that ended under one request, and ask what they know. Answered by
    /// [`Action::GatewaysConsulted`].
    ConsultGateways {
        /// The question's identifier, repeated in the answer.
        id: RequestId,
        /// What is known of the request.
        records: Vec<CrashRecord>,
    },
    /// Tell all gateways these records of ended servers.
    InformGateways(Vec<CrashRecord>),
    /// Answer a question of another gateway.
    AnswerGateway {
        /// The question.
        question: CrashQuestion,
        /// What is known of the request.
        records: Vec<CrashRecord>,
        /// How many servers have the request now, through this gateway.
        in_flight: u32,
    },
    /// Compare the records of ended servers, by their hash, with those of another gateway.
    CompareCrashRecords {
        /// The hash of all records.
        digest: u64,
    },
    /// Send records of ended servers to a gateway that has others.
    SendCrashRecords {
        /// Its address.
        to: SocketAddr,
        /// The records.
        records: Vec<CrashRecord>,
    },
    /// The driver requests a full image of a group, so that it can drop earlier changes.
    ImageWanted(GroupId),
    /// Move all replicas off this daemon while it continues to serve.
    Retire,
    /// Begin a planned stop.
    Drain,
}

/// An output of the node for its driver to perform.
#[derive(Debug, Clone)]
pub enum Action {
    /// Make a change of a group durable.
    ///
    /// SAFETY: until the change is durable, the driver must perform no later action except
    /// [`Action::SendUnsynced`] and must not pass the node events from outside this batch. A driver
    /// collects the actions of a batch of events, syncs all changes of the batch at once, and then
    /// performs the rest. If the sync fails, it must never perform any action of that batch. Emitted
    /// only if [`NodeSettings::group`](crate::NodeSettings::group) says that there is a disk.
    Persist(Box<DurableChange>),
    /// Send a message. It may be lost.
    Send {
        /// The destination.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send a message without waiting for the sync of the batch. It may be lost. It depends on no
    /// durable state: see [`Replica::may_send_unsynced`].
    ///
    /// [`Replica::may_send_unsynced`]: dahlia_replication::group::Replica::may_send_unsynced
    SendUnsynced {
        /// The destination.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Answer a request from this daemon's gateway or operators' server.
    Respond {
        /// The request.
        id: RequestId,
        /// The answer.
        response: Response,
    },
    /// Send an attempt to its engine and read the answer. Its intent is already durable.
    StartAttempt(Box<StartAttempt>),
    /// Fence the program at the engine with this epoch, then query the state of an attempt that a
    /// previous owner started and read its answer from the beginning.
    ResumeAttempt(Box<StartAttempt>),
    /// Ask the engine to cancel an attempt. [`Event::AttemptEnded`] follows as usual.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The owner's epoch.
        epoch: Term,
    },
    /// Cancel an attempt only if the engine has not started it. [`Event::AttemptEnded`] follows as
    /// usual.
    RecallAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The owner's epoch.
        epoch: Term,
    },
    /// Ask an engine to keep a program's cache for a while.
    HoldCache {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
        /// The owner's epoch.
        epoch: Term,
        /// How long to keep it, from now.
        length: Duration,
    },
    /// Stop reading an attempt but leave it running at the engine, because a new owner takes over.
    DetachAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Drop a call's buffered text; only its outcome is still needed.
    ForgetAnswer {
        /// The call.
        call: CallId,
    },
    /// Ask an engine to free a program's memory.
    Release(Box<ReleaseOrder>),
    /// Set the engines to use. Open reads from other engines continue while those answer.
    SetEngines(Vec<EngineAddress>),
    /// Send an engine an order. It may be lost.
    Order(Box<FencedOrder>),
    /// Read, swap or watch the configuration key.
    KeyValue(KeyValueOperation),
    /// Answer an operator's configuration change.
    AnswerChange {
        /// The request.
        id: RequestId,
        /// The outcome of the change.
        outcome: ChangeOutcome,
    },
    /// A generation is in force on this daemon. Generations only increase.
    ConfigurationInForce(Arc<ConfigurationRecord>),
    /// Read or write the layout of groups in the key-value service.
    Layout(LayoutStep),
    /// Another daemon shared a newer version of a document.
    DocumentShared(SharedDocument),
    /// Read the external source that daemons share, or accept what another daemon read from it.
    Feed(FeedOrder),
    /// Another daemon reported failed attempts at a back end.
    BackendFailureReported(BackendFailure),
    /// Other daemons reported the loads that they cause.
    LoadsReported(PeerLoads),
    /// Where a stream began.
    OriginFound {
        /// The question.
        id: RequestId,
        /// Where it began; none if nobody can tell.
        origin: Option<Origin>,
    },
    /// What other gateways know of a request.
    GatewaysConsulted {
        /// The question.
        id: RequestId,
        /// Its outcome.
        result: ConsultationResult,
    },
    /// Another gateway told or asked of servers that ended under requests.
    CrashReportReceived(CrashReport),
    /// The set of daemons that this one reaches has changed.
    ReachChanged(Reachability),
    /// Perform an operation on this daemon's store.
    Store(Box<StoreRequest>),
    /// Turn callers away and stop the process once their open requests have ended, because a later
    /// incarnation of this daemon replaces it. Until then the node records the ends of their turns, and
    /// does nothing else.
    Superseded {
        /// As in [`Action::Stop`].
        restart_after: Option<Incarnation>,
    },
    /// Stop the process at once because a later incarnation of this daemon replaces it.
    Stop {
        /// The incarnation after which this process may start again at once: its own previous one, if its
        /// clock was set back. None if another process runs as this daemon.
        restart_after: Option<Incarnation>,
    },
}

/// Everything that an engine needs to run an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartAttempt {
    /// The attempt, with its epoch and engine incarnation as fences.
    pub attempt: Attempt,
    /// The engine.
    pub engine: EngineId,
    /// The tenant that owns the program; prefix caches are separated by tenant.
    pub tenant: TenantId,
    /// Model, adapter and version.
    pub model: ModelId,
    /// The full prompt. Empty when resuming.
    pub messages: Vec<Message>,
    /// Upper bound of the prompt's tokens. The engine refuses a longer prompt without running it.
    pub prompt_bound: Tokens,
    /// Maximum number of tokens to generate.
    pub max_generated: Tokens,
    /// Queue priority; smaller values run first.
    pub priority: u64,
}

/// A release request with the owner's epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// What to fence and then free.
    pub request: ReleaseRequest,
    /// The owner's epoch.
    pub epoch: Term,
    /// Whether the program has ended; false if it only pauses.
    pub ended: bool,
}
