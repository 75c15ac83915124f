//! Drives the node: one task feeds it events and carries out its actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dahlia_configuration::{ChangeOutcome, ConfigurationRecord};
use dahlia_node::request::{RequestId, Response};
use dahlia_node::wire::PeerMessage;
use dahlia_node::{
    Action, BackendFailure, Event, FeedOrder, Node, PeerLoads, Reachability, SharedDocument,
};
use dahlia_replication::group::DurableChange;
use dahlia_types::{GroupId, Incarnation, ReplicaId};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::chunk_store::StoreTasks;
use crate::clock::Clock;
use crate::configuration_key::ConfigurationKey;
use crate::core_handle::{CoreHandle, CoreMessage, Query};
use crate::engines::EngineTasks;
use crate::group_log::GroupLog;
use crate::logging::part;
use crate::metrics::Metrics;
use crate::peers::PeerSender;
use crate::platform_state::PlatformState;

/// Messages taken before the node's timers get their turn.
const BATCH: usize = 256;
/// A tick that comes later than this is logged, with what kept it.
const LATE_TICK: Duration = Duration::from_secs(1);

/// Where goes what other daemons shared with this one.
#[derive(Clone)]
pub struct SharedSenders {
    /// Documents.
    pub documents: mpsc::UnboundedSender<SharedDocument>,
    /// Failures of back ends.
    pub failures: mpsc::UnboundedSender<BackendFailure>,
    /// What to do about the outside source that daemons share.
    pub feed: mpsc::UnboundedSender<FeedOrder>,
    /// Loads that other daemons make.
    pub loads: mpsc::UnboundedSender<PeerLoads>,
}

impl SharedSenders {
    /// For a daemon that has no use for any of it.
    pub fn disconnected() -> Self {
        Self {
            documents: mpsc::unbounded_channel().0,
            failures: mpsc::unbounded_channel().0,
            feed: mpsc::unbounded_channel().0,
            loads: mpsc::unbounded_channel().0,
        }
    }
}

/// What a core talks to besides its node.
pub struct CoreParts {
    /// Connections to other daemons.
    pub peers: PeerSender,
    /// Tasks that talk to engines.
    pub engines: EngineTasks,
    /// The layout of groups at the key-value service.
    pub platform: PlatformState,
    /// The configuration at the key-value service.
    pub configuration_key: ConfigurationKey,
    /// The store under the data folder.
    pub store: StoreTasks,
    /// The log of groups under the data folder.
    pub groups: GroupLog,
    /// Where generations are published that come into force.
    pub in_force: watch::Sender<Option<Arc<ConfigurationRecord>>>,
    /// Where goes what other daemons shared.
    pub shared: SharedSenders,
    /// Where it is told whom this daemon reaches.
    pub reach: watch::Sender<Reachability>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// What events of one batch asked for and what waits for its sync.
#[derive(Default)]
struct Batch {
    changes: Vec<DurableChange>,
    held: Vec<Action>,
}

/// The task that drives the node.
pub struct Core {
    node: Node,
    clock: Clock,
    inbox: mpsc::Receiver<CoreMessage>,
    waiting: HashMap<RequestId, oneshot::Sender<Response>>,
    changes: HashMap<RequestId, oneshot::Sender<ChangeOutcome>>,
    next_request: u64,
    parts: CoreParts,
    batch: Batch,
    /// Groups that the log wants recorded anew; one goes with each batch.
    wanted_images: Vec<GroupId>,
    stopped: bool,
    superseded_by: Option<Incarnation>,
}

impl Core {
    /// Puts the task's parts together.
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
            waiting: HashMap::new(),
            changes: HashMap::new(),
            // Names of requests must not repeat those of an earlier life of this daemon.
            next_request: start << 20,
            parts,
            batch: Batch::default(),
            wanted_images: Vec::new(),
            stopped: false,
            superseded_by: None,
        }
    }

    /// Runs until every handle is gone, the disk failed, or another life of this daemon has taken
    /// its place; gives that life.
    pub async fn run(mut self) -> Option<Incarnation> {
        let mut ticked = Instant::now();
        let mut spent = Spent::default();
        while !self.stopped {
            let pause = Duration::from_micros(self.node.tick_interval().as_micros());
            tokio::select! {
                biased;
                () = sleep_until(ticked + pause) => {
                    log_late_tick(ticked.elapsed().saturating_sub(pause), &spent);
                    spent = Spent::default();
                    self.handle(Event::Tick);
                    ticked = Instant::now();
                }
                message = self.inbox.recv() => {
                    let message = message?;
                    let began = Instant::now();
                    self.take(message);
                    self.take_batch();
                    spent.handling += began.elapsed();
                }
            }
            if let Some(group) = self.wanted_images.pop() {
                self.handle(Event::ImageWanted(group));
            }
            let began = Instant::now();
            self.finish_batch().await;
            spent.syncing += began.elapsed();
        }
        if let Some(by) = self.superseded_by {
            self.parts.groups.begin_anew(by).await;
        }
        self.superseded_by
    }

    /// Makes the changes of the batch durable by one sync, then carries out what waited for it.
    ///
    /// SAFETY: no event is taken in meanwhile. So whatever answers a message that left before
    /// the sync is handled when this daemon's own entries are durable; see [`Action::Persist`].
    async fn finish_batch(&mut self) {
        if self.batch.changes.is_empty() {
            return;
        }
        let Batch { changes, held } = std::mem::take(&mut self.batch);
        match self.parts.groups.sync(changes).await {
            Ok(wanted) => {
                self.wanted_images = wanted;
                held.into_iter().for_each(|action| self.perform(action));
            }
            Err(error) => {
                log::error!(target: part::STORE, "This daemon stops. {error}.");
                self.stopped = true;
            }
        }
    }

    fn take_batch(&mut self) {
        for _ in 0..BATCH {
            match self.inbox.try_recv() {
                Ok(message) => self.take(message),
                Err(_) => return,
            }
        }
    }

    fn take(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::Event(event) => {
                if let Event::AttemptEnded { end, .. } = &event {
                    self.parts.metrics.count_outcome(end);
                }
                self.handle(event);
            }
            CoreMessage::Request(request, reply) => {
                let id = self.next_id();
                self.waiting.insert(id, reply);
                self.handle(Event::Request { id, request });
            }
            CoreMessage::Change(proposal, reply) => {
                let id = self.next_id();
                self.changes.insert(id, reply);
                self.handle(Event::ProposeChange { id, proposal });
            }
            CoreMessage::Query(query) => self.answer(query),
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
                // What comes before any change of its batch depends on none.
                action if self.batch.changes.is_empty() => self.perform(action),
                action => self.batch.held.push(action),
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => self.send(to, message),
            Action::Respond { id, response } => {
                if let Some(reply) = self.waiting.remove(&id) {
                    // The asker may have gone; its call runs on all the same.
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
            Action::DetachAttempt { attempt } => self.parts.engines.leave(attempt),
            Action::ForgetAnswer { call } => self.parts.engines.forget(call),
            Action::Release(order) => self.parts.engines.release(*order),
            Action::HoldCache { program, engine, epoch, length } => {
                self.parts.engines.hold(program, engine, epoch, length);
            }
            Action::SetEngines(addresses) => self.parts.engines.use_engines(addresses),
            Action::Order(order) => self.parts.engines.order(*order),
            Action::KeyValue(step) => self.parts.configuration_key.perform(step),
            Action::AnswerChange { id, outcome } => {
                if let Some(reply) = self.changes.remove(&id) {
                    // The asker may have gone; the change stands all the same.
                    let _ = reply.send(outcome);
                }
            }
            Action::ConfigurationInForce(record) => {
                self.parts.in_force.send_replace(Some(record));
            }
            Action::Layout(step) => self.parts.platform.layout(step),
            Action::DocumentShared(document) => {
                // A daemon that reads no documents has dropped the receiver.
                let _ = self.parts.shared.documents.send(document);
            }
            Action::Feed(order) => {
                // A daemon that follows no source has dropped the receiver.
                let _ = self.parts.shared.feed.send(order);
            }
            Action::BackendFailureReported(failure) => {
                // A daemon that passes no requests on has dropped the receiver.
                let _ = self.parts.shared.failures.send(failure);
            }
            Action::LoadsReported(loads) => {
                // A daemon that passes no requests on has dropped the receiver.
                let _ = self.parts.shared.loads.send(loads);
            }
            Action::ReachChanged(reach) => {
                self.parts.metrics.record_reachability(&reach);
                self.parts.reach.send_replace(reach);
            }
            Action::Store(order) => self.parts.store.order(*order),
            Action::Stop { superseded_by } => {
                self.stopped = true;
                self.superseded_by = Some(superseded_by);
            }
            // Both are taken out before.
            Action::Persist(_) | Action::SendUnsynced { .. } => {}
        }
    }

    fn send(&self, to: SocketAddr, message: PeerMessage) {
        self.parts.peers.send(to, message);
    }

    fn answer(&self, query: Query) {
        let now = self.clock.now();
        // An asker that has gone needs no answer.
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

/// Where the time between two ticks went, as far as this task knows. The rest it spent without a processor,
/// or stopped.
#[derive(Default)]
struct Spent {
    handling: Duration,
    syncing: Duration,
}

fn log_late_tick(late: Duration, spent: &Spent) {
    if late >= LATE_TICK {
        log::warn!(
            target: part::CORE,
            late_ms = late.as_millis() as u64,
            handling_ms = spent.handling.as_millis() as u64,
            syncing_ms = spent.syncing.as_millis() as u64;
            "The node's timer was late."
        );
    }
}

/// Passes a message of another daemon on to the node.
pub async fn deliver(core: &CoreHandle, from: ReplicaId, message: PeerMessage) {
    log::trace!(target: part::PEERS, "Message of {from}.");
    core.send_event(Event::Message { from, message }).await;
}
