//! The parts of a daemon that control the system: their start and their end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dahlia_adapters::{ClientSettings, KeyValueClient};
use dahlia_configuration::ConfigurationRecord;
use dahlia_durable::OpenedLog;
use dahlia_node::wire::MessageKind;
use dahlia_node::{Node, RecoverError};
use dahlia_replication::group::DurableReplica;
use dahlia_types::{Incarnation, PeerKey, ReplicaId};
use snafu::{ResultExt, Snafu};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::answers::AnswerBoard;
use crate::chunk_store::{OpenError, StoreTasks};
use crate::clock::Clock;
use crate::configuration_key::ConfigurationKey;
use crate::core::{Core, CoreParts, SharedSenders, deliver};
use crate::core_handle::{CoreHandle, channel};
use crate::datagrams::{self, DatagramSender};
use crate::engines::EngineTasks;
use crate::group_log::{self, GroupLog, OpenGroupsError};
use crate::handshake::Identity;
use crate::layout_store::SharedLayoutStore;
use crate::listeners;
use crate::logging::part;
use crate::machine_list;
use crate::metrics::Metrics;
use crate::node_settings::node_settings;
use crate::peers::{self, PeerEvent, PeerSender};
use crate::platform_state::PlatformState;
use crate::serve_answers::{self, AnswerSink};
use crate::settings::Settings;
use crate::traffic::Traffic;

/// Time between lines on what was sent: one line in fifteen seconds costs nothing.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(15);
/// Messages of peers that may wait for the node.
const PEER_INBOX: usize = 8_192;

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address could not be listened on.
    #[snafu(display("listening on {address} for {part}: {source}"))]
    Listen {
        /// Which part.
        part: &'static str,
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The data folder could not be used.
    #[snafu(display("{source}"))]
    Store {
        /// Cause.
        source: OpenError,
    },
    /// The log of groups could not be used.
    #[snafu(display("{source}"))]
    Groups {
        /// Cause.
        source: OpenGroupsError,
    },
    /// The groups in the log could not be used.
    #[snafu(display("{source}"))]
    Recover {
        /// Cause.
        source: RecoverError,
    },
    /// The metrics could not be set up.
    #[snafu(display("setting up metrics: {source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
}

/// The parts of a daemon that control the system: membership, groups, configuration.
pub struct ControlParts {
    /// Talks to the node.
    pub core: CoreHandle,
    /// The node's clock.
    pub clock: Clock,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
    traffic: Arc<Traffic>,
    pub(crate) identity: Identity,
    pub(crate) board: AnswerBoard,
    /// What the daemon counts.
    pub metrics: Arc<Metrics>,
    pub(crate) in_force: watch::Receiver<Option<Arc<ConfigurationRecord>>>,
    core_task: JoinHandle<Option<Incarnation>>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlParts {
    /// Bytes sent to other daemons, without headers of TCP, UDP and IP.
    pub fn bytes_sent(&self) -> u64 {
        self.traffic.total_bytes()
    }

    /// Waits until the node's task has ended by itself: another life of this daemon has taken its
    /// place, or its disk failed. Gives the other life. The parts should be started anew then,
    /// after that life.
    pub async fn wait_until_ended(&mut self) -> Option<Incarnation> {
        (&mut self.core_task).await.ok().flatten()
    }

    /// Stops at once, like a death: connections break, memory is lost.
    pub fn stop(&self) {
        self.core_task.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// What the control parts of a daemon get from outside.
pub struct ExternalParts {
    /// Keeps the layout of groups; none when nothing does.
    pub layout_store: Option<SharedLayoutStore>,
    /// The service that keeps the operators' configuration; none when nothing does.
    pub key_value: Option<KeyValueClient>,
    /// A life of this daemon that began before this one, as others know it. A clock that was set
    /// back would else give an incarnation before it.
    pub previous_incarnation: Option<Incarnation>,
    /// Whether the daemons keep the operators' configuration themselves.
    pub follows_configuration: bool,
    /// Where goes what other daemons shared.
    pub shared: SharedSenders,
}

/// Starts the control parts of a daemon that uses the platform its settings name.
///
/// # Errors
/// [`StartError`] when the address is taken.
pub fn start_control(settings: &Settings) -> Result<ControlParts, StartError> {
    let key_value = settings
        .platform
        .key_value
        .map(|address| KeyValueClient::new(&address.to_string(), ClientSettings::default()));
    let layout_store = key_value.clone().map(|client| -> SharedLayoutStore { Arc::new(client) });
    let shared = SharedSenders::disconnected();
    let external = ExternalParts {
        layout_store,
        key_value,
        previous_incarnation: None,
        follows_configuration: true,
        shared,
    };
    start_control_with(settings, external)
}

/// Starts the control parts of a daemon in given external.
///
/// # Errors
/// [`StartError`] when the address is taken.
pub fn start_control_with(
    settings: &Settings,
    external: ExternalParts,
) -> Result<ControlParts, StartError> {
    let clock = Clock::start();
    let fresh = incarnation_after(clock, external.previous_incarnation);
    let Durable { groups, replicas, incarnation, life } = open_groups(settings, fresh)?;
    let own = ReplicaId { daemon: settings.daemon.id, incarnation };
    let wanted = settings.daemon.peer_address;
    let peers = listeners::listen_to_peers(wanted);
    let (peer_listener, socket) = peers.context(ListenSnafu { part: "peers", address: wanted })?;
    let peer_address = listeners::local(&peer_listener, wanted);
    let key = PeerKey::new(settings.credentials.peer_key.as_bytes());
    let identity = Identity { daemon: own.daemon, incarnation: own.incarnation, key };
    let metrics = Metrics::new().context(MetricsSnafu)?;
    let (core, inbox) = channel(own);
    let (incoming, peers_inbox) = mpsc::channel(PEER_INBOX);
    let board = AnswerBoard::default();
    let (publisher, in_force) = watch::channel(None);
    let traffic = Arc::new(Traffic::new().context(MetricsSnafu)?);
    for collector in traffic.collectors() {
        metrics.registry().register(collector).context(MetricsSnafu)?;
    }
    let datagrams = DatagramSender::new(identity.clone(), socket.clone(), traffic.clone());
    let peers =
        PeerSender::new(identity.clone(), incoming.clone(), datagrams, traffic.clone(), clock);
    let parts = CoreParts {
        peers,
        engines: EngineTasks::new(core.clone(), board.clone()),
        platform: PlatformState::new(external.layout_store, core.clone()),
        configuration_key: ConfigurationKey::new(external.key_value, core.clone()),
        store: open_store(settings, &core)?,
        groups,
        in_force: publisher,
        shared: external.shared,
        reach: core.reachability_sender(),
        metrics: metrics.clone(),
    };
    let mut node_settings = node_settings(settings, own, peer_address, clock);
    node_settings.start_count = life;
    node_settings.follows_configuration = external.follows_configuration;
    let node = Node::recover(node_settings, replicas, clock.now()).context(RecoverSnafu)?;
    let core_task = tokio::spawn(Core::new(node, clock, inbox, parts).run());
    let mut tasks = vec![
        tokio::spawn(peers::listen(peer_listener, identity.clone(), incoming.clone())),
        tokio::spawn(datagrams::receive(socket, identity.clone(), incoming)),
        tokio::spawn(take_incoming(peers_inbox, core.clone(), board.clone())),
        tokio::spawn(log_traffic(traffic.clone())),
    ];
    if let Some(machines) = settings.platform.machines {
        tasks.push(tokio::spawn(machine_list::follow(machines, core.clone())));
    }
    Ok(ControlParts {
        core,
        clock,
        peer_address,
        traffic,
        identity,
        board,
        metrics,
        in_force,
        core_task,
        tasks,
    })
}

fn open_store(settings: &Settings, core: &CoreHandle) -> Result<StoreTasks, StartError> {
    match &settings.daemon.data_folder {
        None => Ok(StoreTasks::default()),
        Some(folder) => {
            StoreTasks::open(folder, settings.store.clone(), core.clone()).context(StoreSnafu)
        }
    }
}

/// What was found under the data folder.
struct Durable {
    groups: GroupLog,
    replicas: Vec<DurableReplica>,
    incarnation: Incarnation,
    life: u32,
}

/// The incarnation of a process that starts now, later than any life that others know of.
fn incarnation_after(clock: Clock, previous: Option<Incarnation>) -> Incarnation {
    let next = previous.map(|Incarnation(previous)| Incarnation(previous + 1));
    clock.incarnation().max(next.unwrap_or_default())
}

/// Without a data folder each process is another incarnation, and nothing is durable.
fn open_groups(settings: &Settings, fresh: Incarnation) -> Result<Durable, StartError> {
    let Some(folder) = &settings.daemon.data_folder else {
        let groups = GroupLog::default();
        return Ok(Durable { groups, replicas: Vec::new(), incarnation: fresh, life: 0 });
    };
    let opened = group_log::open(folder, settings.durable.clone(), fresh).context(GroupsSnafu)?;
    let OpenedLog { log, replicas } = opened;
    let identity = log.identity();
    Ok(Durable {
        groups: GroupLog::new(log),
        replicas,
        incarnation: identity.incarnation,
        life: identity.start_count,
    })
}

/// Tells now and then what was sent to other daemons, for whoever has only the logs.
async fn log_traffic(traffic: Arc<Traffic>) {
    loop {
        sleep(TRAFFIC_INTERVAL).await;
        let of = |kind| traffic.totals_by_kind().find(|reading| reading.kind == kind);
        let bytes = |kind| of(kind).map_or(0, |reading| reading.bytes);
        log::info!(
            target: part::PEERS,
            groups = bytes(MessageKind::Groups),
            membership = bytes(MessageKind::Membership),
            documents = bytes(MessageKind::Documents),
            requests = bytes(MessageKind::Requests),
            responses = bytes(MessageKind::Responses),
            feed = bytes(MessageKind::Feed),
            loads = bytes(MessageKind::Loads),
            all = traffic.total_bytes();
            "Bytes sent to other daemons."
        );
    }
}

async fn take_incoming(mut inbox: mpsc::Receiver<PeerEvent>, core: CoreHandle, board: AnswerBoard) {
    while let Some(incoming) = inbox.recv().await {
        match incoming {
            PeerEvent::Message { from, message } => deliver(&core, from, message).await,
            PeerEvent::ConnectionLost(address) => core.report_connection_lost(address).await,
            PeerEvent::Answer { read, frames } => {
                let sink = AnswerSink::Peer(Box::new(frames));
                tokio::spawn(serve_answers::serve(core.clone(), board.clone(), read, sink));
            }
        }
    }
}
