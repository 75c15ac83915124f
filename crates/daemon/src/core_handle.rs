//! How all other parts of the daemon talk to the task that drives the node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dahlia_api::{ApiError, ErrorKind};
use dahlia_configuration::{ChangeOutcome, ChangeProposal};
use dahlia_node::request::{Request, Response};
use dahlia_node::{ConfigurationView, DaemonView, EngineView, Event, NodeStatus, Reachability};
use dahlia_replication::membership::Member;
use dahlia_types::{GroupId, ReplicaId};
use tokio::sync::{mpsc, oneshot, watch};

use crate::clock::Clock;

/// Messages that may wait for the node.
const INBOX: usize = 65_536;

/// What is put to the task that drives the node.
pub enum CoreMessage {
    /// An event.
    Event(Event),
    /// A request, and who waits for its answer.
    Request(Request, oneshot::Sender<Response>),
    /// An operator's change of the configuration, and who waits for the verdict.
    Change(ChangeProposal, oneshot::Sender<ChangeOutcome>),
    /// A question about the node's view.
    Query(Query),
}

/// A question about the node's view.
pub enum Query {
    /// Where the owner of a group is thought to listen.
    Owner(GroupId, oneshot::Sender<Option<SocketAddr>>),
    /// Whether this daemon owns a group.
    Owns(GroupId, oneshot::Sender<bool>),
    /// What the node says of itself.
    Status(oneshot::Sender<NodeStatus>),
    /// A group for a new program.
    GroupForProgram(u64, oneshot::Sender<Option<GroupId>>),
    /// All groups.
    Groups(oneshot::Sender<Vec<GroupId>>),
    /// Engines.
    Engines(oneshot::Sender<Vec<EngineView>>),
    /// Daemons.
    Daemons(oneshot::Sender<Vec<Member>>),
    /// Daemons with the groups that they lead.
    DaemonViews(oneshot::Sender<Vec<DaemonView>>),
    /// The configuration.
    Configuration(oneshot::Sender<ConfigurationView>),
}

/// Talks to the task that drives the node. Cheap to clone.
#[derive(Clone)]
pub struct CoreHandle {
    inbox: mpsc::Sender<CoreMessage>,
    own: ReplicaId,
    keys: Arc<AtomicU64>,
    reach: watch::Sender<Reachability>,
}

impl CoreHandle {
    /// This daemon in its present life.
    pub fn replica_id(&self) -> ReplicaId {
        self.own
    }

    /// Whom this daemon reaches, and news of it; what was told before counts as news.
    pub fn reachability(&self) -> watch::Receiver<Reachability> {
        let mut reach = self.reach.subscribe();
        reach.mark_changed();
        reach
    }

    /// Where the node's task tells whom this daemon reaches.
    pub fn reachability_sender(&self) -> watch::Sender<Reachability> {
        self.reach.clone()
    }

    /// Puts an event to the node.
    pub async fn send_event(&self, event: Event) {
        // The node's task ends only with the process.
        let _ = self.inbox.send(CoreMessage::Event(event)).await;
    }

    /// Puts an event to the node from a thread that may block.
    pub fn send_event_blocking(&self, event: Event) {
        let _ = self.inbox.blocking_send(CoreMessage::Event(event));
    }

    /// Puts a request to the owner of its group, wherever that is, and waits for the answer.
    pub async fn request(&self, request: Request) -> Response {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(CoreMessage::Request(request, reply)).await;
        answer.await.unwrap_or_else(|_| {
            Response::Failed(ApiError::new(ErrorKind::Unavailable, "the daemon is stopping"))
        })
    }

    /// Where the owner of a group is thought to listen.
    pub async fn owner(&self, group: GroupId) -> Option<SocketAddr> {
        self.query(|reply| Query::Owner(group, reply)).await.flatten()
    }

    /// Whether this daemon owns a group.
    pub async fn owns(&self, group: GroupId) -> bool {
        self.query(|reply| Query::Owns(group, reply)).await.unwrap_or(false)
    }

    /// What the node says of itself.
    pub async fn status(&self) -> NodeStatus {
        self.query(Query::Status).await.unwrap_or_default()
    }

    /// A group for a new program.
    pub async fn group_for_program(&self, draw: u64) -> Option<GroupId> {
        self.query(|reply| Query::GroupForProgram(draw, reply)).await.flatten()
    }

    /// All groups.
    pub async fn groups(&self) -> Vec<GroupId> {
        self.query(Query::Groups).await.unwrap_or_default()
    }

    /// All daemons known, the dead of late included.
    pub async fn daemons(&self) -> Vec<Member> {
        self.query(Query::Daemons).await.unwrap_or_default()
    }

    /// All daemons known with the groups that they lead.
    pub async fn daemon_views(&self) -> Vec<DaemonView> {
        self.query(Query::DaemonViews).await.unwrap_or_default()
    }

    /// The configuration as this daemon knows it; none when the daemon is stopping.
    pub async fn configuration(&self) -> Option<ConfigurationView> {
        self.query(Query::Configuration).await
    }

    /// Puts an operator's change to the node and waits for the verdict; none when the daemon is
    /// stopping.
    pub async fn propose_change(&self, proposal: ChangeProposal) -> Option<ChangeOutcome> {
        let (reply, verdict) = oneshot::channel();
        let _ = self.inbox.send(CoreMessage::Change(proposal, reply)).await;
        verdict.await.ok()
    }

    /// Engines as this daemon sees them.
    pub async fn engines(&self) -> Vec<EngineView> {
        self.query(Query::Engines).await.unwrap_or_default()
    }

    /// Tells the node that a connection to the daemon at `address` broke.
    pub async fn report_connection_lost(&self, address: SocketAddr) {
        let lost = |member: &Member| member.record.info.address == address;
        if let Some(member) = self.daemons().await.into_iter().find(lost) {
            self.send_event(Event::ConnectionLost(member.record.info.replica())).await;
        }
    }

    /// Begins a planned stop.
    pub async fn drain(&self) {
        self.send_event(Event::Drain).await;
    }

    /// A key for a call whose caller gave none; no other call has it.
    pub fn generate_key(&self) -> String {
        let number = self.keys.fetch_add(1, Ordering::Relaxed);
        format!("gateway-{}-{number}", self.own)
    }

    async fn query<T>(&self, query: impl FnOnce(oneshot::Sender<T>) -> Query) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let _ = self.inbox.send(CoreMessage::Query(query(reply))).await;
        answer.await.ok()
    }
}

/// Makes the handle and the inbox of a core that is still to be built.
pub fn channel(own: ReplicaId) -> (CoreHandle, mpsc::Receiver<CoreMessage>) {
    let (sender, inbox) = mpsc::channel(INBOX);
    // A replica's identifier may outlive the process: keys must not repeat those of earlier lives.
    let first_key = Clock::start().now().0;
    let keys = Arc::new(AtomicU64::new(first_key));
    let reach = watch::Sender::new(Reachability::default());
    (CoreHandle { inbox: sender, own, keys, reach }, inbox)
}
