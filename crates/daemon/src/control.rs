//! Starts and stops the parts of a daemon that control the system.

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

use crate::answers::AnswerBuffers;
use crate::chunk_store::{ChunkStoreHandle, OpenError};
use crate::clock::Clock;
use crate::configuration_client::ConfigurationClient;
use crate::core::{Core, CoreParts, SharedSenders, Superseded, deliver};
use crate::core_handle::{CoreHandle, channel};
use crate::datagrams::{self, DatagramSender};
use crate::engines::EngineTasks;
use crate::group_log::{self, GroupLog, OpenGroupsError};
use crate::handshake::Identity;
use crate::layout_client::LayoutClient;
use crate::layout_store::SharedLayoutStore;
use crate::listeners;
use crate::logging::part;
use crate::loop_delay;
use crate::machine_list;
use crate::metrics::Metrics;
use crate::node_settings::node_settings;
use crate::peers::{self, PeerEvent, PeerSender};
use crate::serve_answers::{self, AnswerSink};
use crate::settings::Settings;
use crate::traffic::Traffic;

/// Time between log lines about sent traffic. One line in fifteen seconds costs nothing.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(15);
/// Most messages of peers that wait for the node.
const PEER_INBOX_CAPACITY: usize = 8_192;

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// A listener could not be opened on an address.
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
    /// The channel to the node.
    pub core: CoreHandle,
    /// The node's clock.
    pub clock: Clock,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
    traffic: Arc<Traffic>,
    pub(crate) identity: Identity,
    pub(crate) answers: AnswerBuffers,
    /// The daemon's metrics.
    pub metrics: Arc<Metrics>,
    pub(crate) in_force: watch::Receiver<Option<Arc<ConfigurationRecord>>>,
    core_task: JoinHandle<Option<Incarnation>>,
    superseded: watch::Receiver<Option<Superseded>>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlParts {
    /// Bytes sent to other daemons, without headers of TCP, UDP and IP.
    pub fn bytes_sent(&self) -> u64 {
        self.traffic.total_bytes()
    }

    /// Waits until this daemon takes no more part in the system, because another incarnation of it runs or
    /// its disk failed. Returns the other incarnation if the parts should be started again with it as the
    /// previous one.
    ///
    /// A daemon without groups still records the ends of its callers' turns until [`Self::stop`]. Other
    /// daemons' connections to one with groups are closed, so that they replace it at once.
    pub async fn wait_until_ended(&mut self) -> Option<Incarnation> {
        let superseded = self.superseded.wait_for(Option::is_some).await;
        if let Some(superseded) = superseded.ok().and_then(|superseded| *superseded) {
            return superseded.restart_after;
        }
        // The core has dropped its end of the channel, so its task ends.
        let restart_after = (&mut self.core_task).await.unwrap_or_else(|error| {
            log::error!(target: part::CORE, cause:% = error; "The node's task failed.");
            None
        });
        self.stop();
        restart_after
    }

    /// Stops at once as a crash does: connections break and memory is lost.
    pub fn stop(&self) {
        self.core_task.abort();
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// External services and channels that the control parts of a daemon use.
pub struct ExternalParts {
    /// The store of the layout of groups, if there is one.
    pub layout_store: Option<SharedLayoutStore>,
    /// The service that stores the operators' configuration, if there is one.
    pub key_value: Option<KeyValueClient>,
    /// The previous incarnation of this daemon as other daemons know it. The new one must be later, also
    /// when the clock was set back.
    pub previous_incarnation: Option<Incarnation>,
    /// Whether the daemons keep the operators' configuration themselves.
    pub follows_configuration: bool,
    /// Channels for what other daemons share.
    pub shared: SharedSenders,
}

/// Starts the control parts of a daemon with the platform that its settings name.
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

/// Starts the control parts of a daemon with the given external parts.
///
/// # Errors
/// [`StartError`] when the address is taken.
pub fn start_control_with(
    settings: &Settings,
    external: ExternalParts,
) -> Result<ControlParts, StartError> {
    let clock = Clock::start();
    let new_incarnation = incarnation_after(clock, external.previous_incarnation);
    let RecoveredGroups { groups, replicas, incarnation, start_count } =
        open_groups(settings, new_incarnation)?;
    let replica = ReplicaId { daemon: settings.daemon.id, incarnation };
    let configured = settings.daemon.peer_address;
    let peers = listeners::listen_to_peers(configured);
    let (peer_listener, socket) =
        peers.context(ListenSnafu { part: "peers", address: configured })?;
    let peer_address = listeners::local_address(&peer_listener, configured);
    let key = PeerKey::new(settings.credentials.peer_key.as_bytes());
    let identity = Identity { daemon: replica.daemon, incarnation: replica.incarnation, key };
    let metrics = Metrics::new().context(MetricsSnafu)?;
    let (core, inbox) = channel(replica);
    let (peer_events, peers_inbox) = mpsc::channel(PEER_INBOX_CAPACITY);
    let answers = AnswerBuffers::default();
    let (in_force_sender, in_force) = watch::channel(None);
    let traffic = Arc::new(Traffic::new().context(MetricsSnafu)?);
    for collector in traffic.collectors() {
        metrics.registry().register(collector).context(MetricsSnafu)?;
    }
    let loop_delays = loop_delay::register_histogram(metrics.registry()).context(MetricsSnafu)?;
    let datagrams = DatagramSender::new(identity.clone(), socket.clone(), traffic.clone());
    let peers =
        PeerSender::new(identity.clone(), peer_events.clone(), datagrams, traffic.clone(), clock);
    let (superseded_sender, superseded) = watch::channel(None);
    let parts = CoreParts {
        peers,
        engines: EngineTasks::new(core.clone(), answers.clone()),
        layout: LayoutClient::new(external.layout_store, core.clone()),
        configuration_client: ConfigurationClient::new(external.key_value, core.clone()),
        store: open_store(settings, &core)?,
        groups,
        in_force: in_force_sender,
        shared: external.shared,
        reachability: core.reachability_sender(),
        superseded: superseded_sender,
        metrics: metrics.clone(),
    };
    let mut node_settings = node_settings(settings, replica, peer_address, clock);
    node_settings.start_count = start_count;
    node_settings.follows_configuration = external.follows_configuration;
    let node = Node::recover(node_settings, replicas, clock.now()).context(RecoverSnafu)?;
    let core_task = tokio::spawn(Core::new(node, clock, inbox, parts).run());
    let mut tasks = vec![
        tokio::spawn(peers::listen(peer_listener, identity.clone(), peer_events.clone())),
        tokio::spawn(datagrams::receive(socket, identity.clone(), peer_events)),
        tokio::spawn(handle_peer_events(peers_inbox, core.clone(), answers.clone())),
        tokio::spawn(log_traffic(traffic.clone())),
        tokio::spawn(loop_delay::monitor(loop_delays, clock)),
    ];
    if let Some(machines) = settings.platform.machines {
        tasks.push(tokio::spawn(machine_list::poll(machines, core.clone())));
    }
    Ok(ControlParts {
        core,
        clock,
        peer_address,
        traffic,
        identity,
        answers,
        metrics,
        in_force,
        core_task,
        superseded,
        tasks,
    })
}

fn open_store(settings: &Settings, core: &CoreHandle) -> Result<ChunkStoreHandle, StartError> {
    match &settings.daemon.data_folder {
        None => Ok(ChunkStoreHandle::default()),
        Some(folder) => {
            ChunkStoreHandle::open(folder, settings.store.clone(), core.clone()).context(StoreSnafu)
        }
    }
}

/// The replica groups recovered from the data folder.
struct RecoveredGroups {
    groups: GroupLog,
    replicas: Vec<DurableReplica>,
    incarnation: Incarnation,
    start_count: u32,
}

/// The incarnation of a process that starts now. It is later than any that other daemons know.
fn incarnation_after(clock: Clock, previous: Option<Incarnation>) -> Incarnation {
    let next = previous.map(|Incarnation(previous)| Incarnation(previous + 1));
    clock.incarnation().max(next.unwrap_or_default())
}

/// Opens the groups in the data folder. Without one, each process is a new incarnation and nothing is
/// durable.
fn open_groups(
    settings: &Settings,
    new_incarnation: Incarnation,
) -> Result<RecoveredGroups, StartError> {
    let Some(folder) = &settings.daemon.data_folder else {
        let groups = GroupLog::default();
        return Ok(RecoveredGroups {
            groups,
            replicas: Vec::new(),
            incarnation: new_incarnation,
            start_count: 0,
        });
    };
    let opened =
        group_log::open(folder, settings.durable.clone(), new_incarnation).context(GroupsSnafu)?;
    let OpenedLog { log, replicas } = opened;
    let identity = log.identity();
    Ok(RecoveredGroups {
        groups: GroupLog::new(log),
        replicas,
        incarnation: identity.incarnation,
        start_count: identity.start_count,
    })
}

/// Logs the traffic to other daemons at intervals, for operators without metrics.
async fn log_traffic(traffic: Arc<Traffic>) {
    loop {
        sleep(TRAFFIC_INTERVAL).await;
        let totals = |kind| traffic.totals_by_kind().find(|totals| totals.kind == kind);
        let bytes = |kind| totals(kind).map_or(0, |totals| totals.bytes);
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

async fn handle_peer_events(
    mut inbox: mpsc::Receiver<PeerEvent>,
    core: CoreHandle,
    answers: AnswerBuffers,
) {
    while let Some(peer_events) = inbox.recv().await {
        match peer_events {
            PeerEvent::Message { from, message } => deliver(&core, from, message).await,
            PeerEvent::ConnectionLost(address) => core.report_connection_lost(address).await,
            PeerEvent::Answer { read, frames } => {
                let sink = AnswerSink::Peer(Box::new(frames));
                tokio::spawn(serve_answers::serve(core.clone(), answers.clone(), read, sink));
            }
        }
    }
}
