//! The task that feeds events to the node and performs its actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dahlia_configuration::{ChangeOutcome, ConfigurationRecord};
use dahlia_node::crash_reports::{ConsultationResult, CrashReport};
use dahlia_node::request::{RequestId, Response};
use dahlia_node::stream_origins::Origin;
use dahlia_node::wire::PeerMessage;
use dahlia_node::{
    Action, BackendFailure, Event, FeedOrder, Node, PeerLoads, Reachability, SharedDocument,
};
use dahlia_replication::group::DurableChange;
use dahlia_types::{GroupId, Incarnation, ReplicaId};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::chunk_store::ChunkStoreHandle;
use crate::clock::Clock;
use crate::configuration_client::ConfigurationClient;
use crate::core_handle::{CoreHandle, CoreMessage, Query};
use crate::engines::EngineTasks;
use crate::group_log::GroupLog;
use crate::layout_client::LayoutClient;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::peers::PeerSender;

/// Most messages handled before the node's timers are checked again.
const MAX_BATCH: usize = 256;
/// A tick that is later than this is logged, with the time spent on handling and on syncs.
const LATE_TICK_THRESHOLD: Duration = Duration::from_secs(1);

/// Channels for what other daemons share with this one.
#[derive(Clone)]
pub struct SharedSenders {
    /// Documents.
    pub documents: mpsc::UnboundedSender<SharedDocument>,
    /// Failures of back ends.
    pub failures: mpsc::UnboundedSender<BackendFailure>,
    /// Orders for following the external source that daemons share.
    pub feed: mpsc::UnboundedSender<IssuedOrder>,
    /// Loads that other daemons cause.
    pub loads: mpsc::UnboundedSender<PeerLoads>,
    /// What other gateways tell and ask of servers that ended under requests.
    pub crashes: mpsc::UnboundedSender<CrashReport>,
}

/// An order for following the external source, and when it was given.
#[derive(Debug)]
pub struct IssuedOrder {
    /// The order.
    pub order: FeedOrder,
    /// When it was given. The age of a report counts until then.
    pub issued_at: Instant,
}

impl From<FeedOrder> for IssuedOrder {
    fn from(order: FeedOrder) -> Self {
        Self { order, issued_at: Instant::now() }
    }
}

impl SharedSenders {
    /// Channels without receivers, for a daemon that uses none of them.
    pub fn disconnected() -> Self {
        Self {
            documents: mpsc::unbounded_channel().0,
            failures: mpsc::unbounded_channel().0,
            feed: mpsc::unbounded_channel().0,
            loads: mpsc::unbounded_channel().0,
            crashes: mpsc::unbounded_channel().0,
        }
    }
}

/// The parts that a core performs its node's actions on.
pub struct CoreParts {
    /// Connections to other daemons.
    pub peers: PeerSender,
    /// Tasks that communicate with engines.
    pub engines: EngineTasks,
    /// Access to the layout of groups.
    pub layout: LayoutClient,
    /// Access to the configuration in the key-value service.
    pub configuration_client: ConfigurationClient,
    /// The chunk store in the data folder.
    pub store: ChunkStoreHandle,
    /// The log of groups in the data folder.
    pub groups: GroupLog,
    /// Publishes each generation that comes into force.
    pub in_force: watch::Sender<Option<Arc<ConfigurationRecord>>>,
    /// Channels for what other daemons share.
    pub shared: SharedSenders,
    /// Publishes which daemons and zones this daemon reaches.
    pub reachability: watch::Sender<Reachability>,
    /// Set once a later incarnation has replaced this daemon.
    pub superseded: watch::Sender<Option<Superseded>>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// A later incarnation of this daemon has replaced it. The core only records the ends of turns.
#[derive(Debug, Clone, Copy)]
pub struct Superseded {
    /// The incarnation after which the parts should be started again; none if another process runs as
    /// this daemon.
    pub restart_after: Option<Incarnation>,
}

/// The durable changes of one batch, and the actions that wait for their sync.
#[derive(Default)]
struct Batch {
    changes: Vec<DurableChange>,
    deferred: Vec<Action>,
}

/// The task that drives the node.
pub struct Core {
    node: Node,
    clock: Clock,
    inbox: mpsc::Receiver<CoreMessage>,
    pending_requests: HashMap<RequestId, oneshot::Sender<Response>>,
    pending_changes: HashMap<RequestId, oneshot::Sender<ChangeOutcome>>,
    pending_origins: HashMap<RequestId, oneshot::Sender<Option<Origin>>>,
    pending_consultations: HashMap<RequestId, oneshot::Sender<ConsultationResult>>,
    next_request: u64,
    parts: CoreParts,
    batch: Batch,
    /// Groups for which the log needs a new image. Each batch records one.
    groups_needing_image: Vec<GroupId>,
    stopped: bool,
    restart_after: Option<Incarnation>,
}

impl Core {
    /// Creates the task for `node`.
    pub fn new(
        node: Node,
        clock: Clock,
        inbox: mpsc::Receiver<CoreMessage>,
        parts: CoreParts,
    ) -> Self {
        let Incarnation(start) = clock.incarnation();
        Self {
            node,
            clock,
            inbox,
            pending_requests: HashMap::new(),
            pending_changes: HashMap::new(),
            pending_origins: HashMap::new(),
            pending_consultations: HashMap::new(),
            // Request identifiers must not repeat those of an earlier incarnation of this daemon.
            next_request: start << 20,
            parts,
            batch: Batch::default(),
            groups_needing_image: Vec::new(),
            stopped: false,
            restart_after: None,
        }
    }

    /// Runs until every handle is dropped, the disk fails, or a newer incarnation of this daemon
    /// supersedes it. Returns that incarnation if the process may start again after it.
    pub async fn run(mut self) -> Option<Incarnation> {
        let mut ticked = Instant::now();
        let mut timings = TickTimings::default();
        while !self.stopped {
            let pause = Duration::from_micros(self.node.tick_interval().as_micros());
            tokio::select! {
                biased;
                () = sleep_until(ticked + pause) => {
                    log_late_tick(ticked.elapsed().saturating_sub(pause), &timings);
                    timings = TickTimings::default();
                    self.handle(Event::Tick);
                    ticked = Instant::now();
                }
                message = self.inbox.recv() => {
                    let message = message?;
                    let began = Instant::now();
                    self.handle_message(message);
                    self.drain_inbox();
                    timings.handling += began.elapsed();
                }
            }
            if let Some(group) = self.groups_needing_image.pop() {
                self.handle(Event::ImageWanted(group));
            }
            let began = Instant::now();
            self.finish_batch().await;
            timings.syncing += began.elapsed();
        }
        if let Some(previous) = self.restart_after {
            self.parts.groups.advance_incarnation(previous).await;
        }
        self.restart_after
    }

    /// Makes the changes of the batch durable with one sync, then performs the actions that waited
    /// for it.
    ///
    /// SAFETY: no event is handled during the sync. A reply to a message that was sent before the
    /// sync is therefore handled when this daemon's own entries are durable; see
    /// [`Action::Persist`].
    async fn finish_batch(&mut self) {
        if self.batch.changes.is_empty() {
            return;
        }
        let Batch { changes, deferred } = std::mem::take(&mut self.batch);
        match self.parts.groups.sync(changes).await {
            Ok(groups_needing_image) => {
                self.groups_needing_image = groups_needing_image;
                deferred.into_iter().for_each(|action| self.perform(action));
            }
            Err(error) => {
                log::error!(target: part::STORE, "This daemon stops. {error}.");
                self.stopped = true;
            }
        }
    }

    fn drain_inbox(&mut self) {
        for _ in 0..MAX_BATCH {
            match self.inbox.try_recv() {
                Ok(message) => self.handle_message(message),
                Err(_) => return,
            }
        }
    }

    fn handle_message(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::Event(event) => {
                if let Event::AttemptEnded { end, .. } = &event {
                    self.parts.metrics.count_outcome(end);
                }
                self.handle(event);
            }
            CoreMessage::Request(request, reply) => {
                let id = self.next_id();
                self.pending_requests.insert(id, reply);
                self.handle(Event::Request { id, request });
            }
            CoreMessage::Change(proposal, reply) => {
                let id = self.next_id();
                self.pending_changes.insert(id, reply);
                self.handle(Event::ProposeChange { id, proposal });
            }
            CoreMessage::StreamsBegan(streams, sent) => {
                self.handle(Event::StreamsBegan(streams));
                // The stream's caller may have left.
                let _ = sent.send(());
            }
            CoreMessage::FindOrigin(stream, service, reply) => {
                let id = self.next_id();
                self.pending_origins.insert(id, reply);
                self.handle(Event::FindOrigin { id, stream, service });
            }
            CoreMessage::ConsultGateways(records, reply) => {
                let id = self.next_id();
                self.pending_consultations.insert(id, reply);
                self.handle(Event::ConsultGateways { id, records });
            }
            CoreMessage::Query(query) => self.answer_query(query),
        }
    }

    fn next_id(&mut self) -> RequestId {
        self.next_request += 1;
        RequestId(self.next_request)
    }

    fn handle(&mut self, event: Event) {
        for action in self.node.handle(event, self.clock.now()) {
            match action {
                Action::Persist(change) => self.batch.changes.push(*change),
                Action::SendUnsynced { to, message } => self.send(to, message),
                // An action that precedes every change of its batch depends on none of them.
                action if self.batch.changes.is_empty() => self.perform(action),
                action => self.batch.deferred.push(action),
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, message),
            Action::Respond { id, response } => {
                if let Some(reply) = self.pending_requests.remove(&id) {
                    // The requester may be gone; its call continues regardless.
                    let _ = reply.send(response);
                }
            }
            Action::StartAttempt(start) => {
                self.parts.metrics.attempts.inc();
                self.parts.engines.start(*start);
            }
            Action::ResumeAttempt(start) => {
                self.parts.metrics.resumed.inc();
                self.parts.engines.resume(*start);
            }
            Action::CancelAttempt { attempt, epoch } => self.parts.engines.cancel(attempt, epoch),
            Action::RecallAttempt { attempt, epoch } => self.parts.engines.recall(attempt, epoch),
            Action::DetachAttempt { attempt } => self.parts.engines.detach(attempt),
            Action::ForgetAnswer { call } => self.parts.engines.forget_answer(call),
            Action::Release(order) => self.parts.engines.release(*order),
            Action::HoldCache { program, engine, epoch, length } => {
                self.parts.engines.hold(program, engine, epoch, length);
            }
            Action::SetEngines(addresses) => self.parts.engines.set_engines(addresses),
            Action::Order(order) => self.parts.engines.order(*order),
            Action::KeyValue(step) => self.parts.configuration_client.perform(step),
            Action::AnswerChange { id, outcome } => {
                if let Some(reply) = self.pending_changes.remove(&id) {
                    // The requester may be gone; the change remains valid regardless.
                    let _ = reply.send(outcome);
                }
            }
            Action::ConfigurationInForce(record) => {
                self.parts.in_force.send_replace(Some(record));
            }
            Action::Layout(step) => self.parts.layout.perform(step),
            Action::DocumentShared(document) => {
                // The receiver is dropped in a daemon that uses no documents.
                let _ = self.parts.shared.documents.send(document);
            }
            Action::Feed(order) => {
                // The receiver is dropped in a daemon that follows no source.
                let _ = self.parts.shared.feed.send(order.into());
            }
            Action::BackendFailureReported(failure) => {
                // The receiver is dropped in a daemon that forwards no requests.
                let _ = self.parts.shared.failures.send(failure);
            }
            Action::LoadsReported(loads) => {
                // The receiver is dropped in a daemon that forwards no requests.
                let _ = self.parts.shared.loads.send(loads);
            }
            Action::OriginFound { id, origin } => {
                if let Some(reply) = self.pending_origins.remove(&id) {
                    // The caller that took the stream up may have left.
                    let _ = reply.send(origin);
                }
            }
            Action::GatewaysConsulted { id, result } => {
                if let Some(reply) = self.pending_consultations.remove(&id) {
                    // The caller of the request may have left.
                    let _ = reply.send(result);
                }
            }
            Action::CrashReportReceived(report) => {
                // The receiver is dropped in a daemon that forwards no requests.
                let _ = self.parts.shared.crashes.send(report);
            }
            Action::ReachChanged(reachability) => {
                self.parts.metrics.record_reachability(&reachability);
                self.parts.reachability.send_replace(reachability);
            }
            Action::Store(order) => {
                if let Some(refusal) = self.parts.store.send(*order) {
                    self.handle(Event::StoreEnded(Box::new(refusal)));
                }
            }
            Action::Superseded { restart_after } => {
                self.parts.superseded.send_replace(Some(Superseded { restart_after }));
            }
            Action::Stop { restart_after } => {
                self.stopped = true;
                self.restart_after = restart_after;
            }
            // `handle` has processed both already.
            Action::Persist(_) | Action::SendUnsynced { .. } => {}
        }
    }

    fn send(&self, to: SocketAddr, message: PeerMessage) {
        self.parts.peers.send(to, message);
    }

    fn answer_query(&self, query: Query) {
        let now = self.clock.now();
        // A failed send means that the requester is gone and needs no answer.
        match query {
            Query::Owner(group, reply) => {
                let _ = reply.send(self.node.owner_address(group));
            }
            Query::Owns(group, reply) => {
                let _ = reply.send(self.node.owns(group));
            }
            Query::Status(reply) => {
                let status = self.node.status(now);
                self.parts.metrics.record_status(&status);
                {
                    let _ = reply.send(status);
                }
            }
            Query::GroupForProgram(draw, reply) => {
                let _ = reply.send(self.node.group_for_new_program(draw));
            }
            Query::Groups(reply) => {
                let _ = reply.send(self.node.group_ids());
            }
            Query::Engines(reply) => {
                let _ = reply.send(self.node.engine_views(now));
            }
            Query::Daemons(reply) => {
                let _ = reply.send(self.node.daemons());
            }
            Query::DaemonViews(reply) => {
                let _ = reply.send(self.node.daemon_views());
            }
            Query::Configuration(reply) => {
                let _ = reply.send(self.node.configuration_view());
            }
        }
    }
}

/// How this task spent the time between two ticks. During the rest it was idle, had no processor or was
/// stopped.
#[derive(Default)]
struct TickTimings {
    handling: Duration,
    syncing: Duration,
}

fn log_late_tick(late: Duration, timings: &TickTimings) {
    if late >= LATE_TICK_THRESHOLD {
        log::warn!(
            target: part::CORE,
            late_ms = late.as_millis() as u64,
            handling_ms = timings.handling.as_millis() as u64,
            syncing_ms = timings.syncing.as_millis() as u64;
            "The node's timer was late."
        );
    }
}

/// Passes a message from another daemon to the node.
pub async fn deliver(core: &CoreHandle, from: ReplicaId, message: PeerMessage) {
    log::trace!(target: part::PEERS, "Message from {from}.");
    core.send_event(Event::Message { from, message }).await;
}
