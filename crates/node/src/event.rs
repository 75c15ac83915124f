//! What drives a node, and what it asks of its driver.

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
    ModelId, ProgramId, ReplicaId, TenantId, Term, Tokens,
};

use crate::bootstrap::LayoutStep;
use crate::engine_sources::{EngineAddress, MachineListing};
use crate::engines::EngineReport;
use crate::feed::{FeedOrder, SourceReport};
use crate::history::{StoreRequest, StoreResult};
use crate::key_value::{KeyValueEvent, KeyValueOperation};
use crate::load_sharing::{ItemLoad, PeerLoads};
use crate::request::{AttemptEnd, ReleaseEnd, Request, RequestId, Response};
use crate::wire::PeerMessage;
use crate::zone_liveness::Reachability;

/// A document that the driver keeps in step with an outside source. Daemons that cannot reach the
/// source learn it from those that could. The newest version of each number wins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedDocument {
    /// Which document, by a number that the driver assigns.
    pub number: u32,
    /// Rises with every change.
    pub version: u64,
    /// The driver's encoding; `membership.max_document_bytes` at most.
    pub bytes: Vec<u8>,
}

/// Attempts at a back end that failed by its own doing, as one daemon saw them. With many gateways
/// each sees few of them; together they see which back end is to be left alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendFailure {
    /// The back end's identifier.
    pub backend: String,
    /// Failed attempts since this daemon's last report of it.
    pub failures: u8,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed. Due about every [`crate::Node::TICK_INTERVAL`].
    Tick,
    /// A message of another daemon.
    Message {
        /// The sender, by its first frame.
        from: ReplicaId,
        /// The message.
        message: PeerMessage,
    },
    /// A connection to a daemon broke.
    ConnectionLost(ReplicaId),
    /// A request of this daemon's gateway or operators' server.
    Request {
        /// Its name; the response carries it.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// An attempt that this node started or resumed has ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// The epoch that it was started or resumed under.
        epoch: Term,
        /// How.
        end: AttemptEnd,
    },
    /// The first text of an attempt arrived.
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An engine answered a release, or did not.
    ReleaseEnded {
        /// The program.
        program: ProgramId,
        /// The engine's life that was asked.
        holder: EngineIncarnation,
        /// The last intent that the request covered.
        covers: LogIndex,
        /// How.
        end: ReleaseEnd,
    },
    /// An engine reported.
    EngineReported(EngineReport),
    /// An engine reported its models and its role.
    EngineState(EngineId, EngineState),
    /// An engine refused an attempt because it takes no new work.
    EngineRefusesWork {
        /// The engine.
        engine: EngineId,
        /// The life that the attempt was meant for.
        incarnation: Incarnation,
    },
    /// The platform's list of machines was read.
    Machines(MachineListing),
    /// The key-value service answered about the configuration.
    KeyValue(KeyValueEvent),
    /// An operator asks for a change of the configuration. Answered by [`Action::AnswerChange`].
    ProposeChange {
        /// Its name; the verdict carries it.
        id: RequestId,
        /// The change.
        proposal: ChangeProposal,
    },
    /// The key-value service answered about the layout of groups.
    Layout(LayoutStep),
    /// An operation on this daemon's store has ended.
    StoreEnded(Box<StoreResult>),
    /// Further addresses of daemons to start from, used while no other daemon is known.
    SeedsFound(Vec<SocketAddr>),
    /// Addresses of daemons that an earlier life of this one knew: it makes itself known there.
    PreviousPeers(Vec<SocketAddr>),
    /// What may be lost at once has changed.
    ToleranceChanged(LossTolerance),
    /// This daemon has read a document that others may need from it.
    ShareDocument(SharedDocument),
    /// The same of a document that others have by the same way as this daemon: it is kept for those that
    /// ask, and nobody is told.
    KeepDocument(SharedDocument),
    /// The source that this daemon reads does not answer: the documents are wanted that daemons with
    /// groups keep of it.
    RequestDocuments,
    /// This daemon has read the outside source that daemons share.
    SourceRead(SourceReport),
    /// Attempts of this daemon at a back end failed: others are told.
    BackendFailed(BackendFailure),
    /// The loads that this daemon makes, each item once. Due every
    /// [`LoadSharingSettings::report_interval`](crate::LoadSharingSettings::report_interval).
    OwnLoads(Vec<ItemLoad>),
    /// The loads that this daemon makes are told no more, until the next [`Self::OwnLoads`].
    OwnLoadsEnded,
    /// The driver wants a group recorded as a whole, to drop its earlier changes.
    ImageWanted(GroupId),
    /// This daemon is to be emptied: its replicas are replaced elsewhere while it serves on.
    Retire,
    /// A planned stop begins.
    Drain,
}

/// Something to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Make a change of a group durable.
    ///
    /// SAFETY: no later action may be carried out before, except for [`Action::SendUnsynced`],
    /// and the node may take no event in from outside this batch. A driver collects the actions
    /// of a batch of events, syncs all changes of the batch at once, and then carries out the
    /// rest. Nothing of a batch whose changes could not be synced may ever be carried out. Given
    /// only when [`NodeSettings::group`](crate::NodeSettings::group) says that there is a disk.
    Persist(Box<DurableChange>),
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Send a message without waiting for the sync of the batch; it may be lost. It promises
    /// nothing: see [`Replica::may_send_unsynced`].
    ///
    /// [`Replica::may_send_unsynced`]: dahlia_replication::group::Replica::may_send_unsynced
    SendUnsynced {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Answer a request of this daemon's gateway or operators' server.
    Respond {
        /// The request.
        id: RequestId,
        /// The answer.
        response: Response,
    },
    /// Send an attempt to its engine and read the answer. Its intent is durable.
    StartAttempt(Box<StartAttempt>),
    /// Fence the program at the engine with this epoch, then find out about an attempt that an
    /// earlier owner started, and read its answer from the start.
    ResumeAttempt(Box<StartAttempt>),
    /// Ask the engine to cut an attempt; its end follows as usual.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The owner's epoch.
        epoch: Term,
    },
    /// Cut an attempt only if the engine has not started it; its end follows as usual.
    RecallAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The owner's epoch.
        epoch: Term,
    },
    /// Ask an engine to keep a program's cache until a time.
    HoldCache {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
        /// The owner's epoch.
        epoch: Term,
        /// How long from now.
        length: Duration,
    },
    /// Stop reading an attempt without touching the engine: a new owner takes over.
    DetachAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The call's text is no longer needed outside its outcome.
    ForgetAnswer {
        /// The call.
        call: CallId,
    },
    /// Ask an engine to free a program's memory.
    Release(Box<ReleaseOrder>),
    /// Talk to these engines from now on. Readings of others go on for as long as they answer.
    SetEngines(Vec<EngineAddress>),
    /// Give an engine an order. It may be lost.
    Order(Box<FencedOrder>),
    /// Read, swap or watch the configuration's key.
    KeyValue(KeyValueOperation),
    /// Answer an operator's change.
    AnswerChange {
        /// The request.
        id: RequestId,
        /// What became of the change.
        outcome: ChangeOutcome,
    },
    /// A generation is in force on this daemon. Generations only rise.
    ConfigurationInForce(Arc<ConfigurationRecord>),
    /// Read or write the layout of groups at the key-value service.
    Layout(LayoutStep),
    /// Another daemon shared a newer version of a document.
    DocumentShared(SharedDocument),
    /// Read the outside source that daemons share, or take in what another one read of it.
    Feed(FeedOrder),
    /// Another daemon saw attempts at a back end fail.
    BackendFailureReported(BackendFailure),
    /// Other daemons told the loads that they make.
    LoadsReported(PeerLoads),
    /// Whom this daemon reaches has changed.
    ReachChanged(Reachability),
    /// Carry out an operation on this daemon's store.
    Store(Box<StoreRequest>),
    /// End the process: another life of this daemon has taken its place.
    Stop {
        /// That life, or a later one.
        superseded_by: Incarnation,
    },
}

/// All that an engine must be told of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartAttempt {
    /// The attempt with its fences.
    pub attempt: Attempt,
    /// The engine.
    pub engine: EngineId,
    /// Whose program it is; prefix caches are kept apart by it.
    pub tenant: TenantId,
    /// Model, adapter and version.
    pub model: ModelId,
    /// The whole prompt. Empty when resuming.
    pub messages: Vec<Message>,
    /// The engine refuses a longer prompt unrun.
    pub prompt_bound: Tokens,
    /// Most tokens to generate.
    pub max_generated: Tokens,
    /// Smaller goes first.
    pub priority: u64,
}

/// A release with the owner's epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// What to free, and what to fence first.
    pub request: ReleaseRequest,
    /// The owner's epoch.
    pub epoch: Term,
    /// Whether the program has ended, rather than pausing.
    pub ended: bool,
}
