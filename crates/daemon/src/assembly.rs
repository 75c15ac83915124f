//! Starts the parts of a daemon, and stops them in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dahlia_adapters::{ClientSettings, KeyValueClient};
use dahlia_configuration::Record;
use dahlia_durable::Opened;
use dahlia_node::{Node, NodeFaults, NodeSettings, RecoverError};
use dahlia_program::ProgramLimits;
use dahlia_replication::group::{DurableReplica, GroupSettings};
use dahlia_replication::maintenance::MaintenanceSettings;
use dahlia_types::{Duration as Length, Incarnation, PeerKey, ReplicaId, TenantKey};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::answers::AnswerBoard;
use crate::chunk_store::{OpenError, StoreTasks};
use crate::clock::Clock;
use crate::configuration_key::ConfigurationKey;
use crate::core::{Core, CoreParts, SharedSenders, deliver};
use crate::core_handle::{CoreHandle, channel};
use crate::datagrams::{self, DatagramSender};
use crate::engines::EngineTasks;
use crate::first_document::first_document;
use crate::gateway::{self, Gateway, GatewayServer};
use crate::group_log::{self, GroupLog, OpenGroupsError};
use crate::handshake::Identity;
use crate::layout_store::SharedLayoutStore;
use crate::logging::part;
use crate::machine_list;
use crate::metrics::Metrics;
use crate::operators::{self, Operators};
use crate::peers::{self, Incoming, PeerSender, Traffic};
use crate::platform_state::PlatformState;
use crate::serve_answers::{self, AnswerSink};
use crate::settings::Settings;

/// Messages of peers that may wait for the node.
const PEER_INBOX: usize = 8_192;
/// How often the system is asked for another port.
const PORT_TRIES: u32 = 16;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How often a planned stop looks whether everything has ended.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// What connections get at least to send what they have at the end of a planned stop.
const SHORTEST_FINISH: Duration = Duration::from_millis(200);

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
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

/// A daemon that runs.
pub struct RunningDaemon {
    core: CoreHandle,
    gateway: GatewayServer,
    requests: Arc<Gateway>,
    control: ControlParts,
    operators: JoinHandle<()>,
    drain_limit: Duration,
    /// Where callers connect.
    pub gateway_address: SocketAddr,
    /// Where operators connect.
    pub operators_address: SocketAddr,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
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
    datagrams: DatagramSender,
    identity: Identity,
    board: AnswerBoard,
    /// What the daemon counts.
    pub metrics: Arc<Metrics>,
    in_force: watch::Receiver<Option<Arc<Record>>>,
    core_task: JoinHandle<Option<Incarnation>>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlParts {
    /// Bytes sent to other daemons, without headers of TCP, UDP and IP.
    pub fn bytes_sent(&self) -> u64 {
        self.traffic.bytes() + self.datagrams.bytes()
    }

    /// Waits until the node's task has ended by itself: another life of this daemon has taken its
    /// place, or its disk failed. Gives the other life. The parts should be started anew then,
    /// after that life.
    pub async fn ended(&mut self) -> Option<Incarnation> {
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
pub struct Surroundings {
    /// Keeps the layout of groups; none when nothing does.
    pub layout_store: Option<SharedLayoutStore>,
    /// The service that keeps the operators' configuration; none when nothing does.
    pub key_value: Option<KeyValueClient>,
    /// A life of this daemon that began before this one, as others know it. A clock that was set
    /// back would else give an incarnation before it.
    pub after: Option<Incarnation>,
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
    let shared = SharedSenders::ignored();
    let surroundings =
        Surroundings { layout_store, key_value, after: None, follows_configuration: true, shared };
    start_control_in(settings, surroundings)
}

/// Starts the control parts of a daemon in given surroundings.
///
/// # Errors
/// [`StartError`] when the address is taken.
pub fn start_control_in(
    settings: &Settings,
    surroundings: Surroundings,
) -> Result<ControlParts, StartError> {
    let clock = Clock::start();
    let fresh = incarnation_after(clock, surroundings.after);
    let Durable { groups, replicas, incarnation, life } = open_groups(settings, fresh)?;
    let own = ReplicaId { daemon: settings.daemon.id, incarnation };
    let (peer_listener, socket) = listen_to_peers(settings.daemon.peer_address)?;
    let peer_address = local(&peer_listener, settings.daemon.peer_address);
    let key = PeerKey::new(settings.credentials.peer_key.as_bytes());
    let identity = Identity { daemon: own.daemon, incarnation: own.incarnation, key };
    let metrics = Metrics::new().context(MetricsSnafu)?;
    let (core, inbox) = channel(own);
    let (incoming, peers_inbox) = mpsc::channel(PEER_INBOX);
    let board = AnswerBoard::default();
    let (publisher, in_force) = watch::channel(None);
    let datagrams = DatagramSender::new(identity.clone(), socket.clone());
    let peers = PeerSender::new(identity.clone(), incoming.clone(), datagrams.clone());
    let traffic = peers.traffic();
    let parts = CoreParts {
        peers,
        engines: EngineTasks::new(core.clone(), board.clone()),
        platform: PlatformState::new(surroundings.layout_store, core.clone()),
        configuration_key: ConfigurationKey::new(surroundings.key_value, core.clone()),
        store: open_store(settings, &core)?,
        groups,
        in_force: publisher,
        shared: surroundings.shared,
        metrics: metrics.clone(),
    };
    let mut node_settings = node_settings(settings, own, peer_address, clock);
    node_settings.life = life;
    node_settings.follows_configuration = surroundings.follows_configuration;
    let node = Node::recover(node_settings, replicas, clock.now()).context(RecoverSnafu)?;
    let core_task = tokio::spawn(Core::new(node, clock, inbox, parts).run());
    let mut tasks = vec![
        tokio::spawn(peers::listen(peer_listener, identity.clone(), incoming.clone())),
        tokio::spawn(datagrams::receive(socket, identity.clone(), incoming)),
        tokio::spawn(take_incoming(peers_inbox, core.clone(), board.clone())),
    ];
    if let Some(machines) = settings.platform.machines {
        tasks.push(tokio::spawn(machine_list::follow(machines, core.clone())));
    }
    Ok(ControlParts {
        core,
        clock,
        peer_address,
        traffic,
        datagrams,
        identity,
        board,
        metrics,
        in_force,
        core_task,
        tasks,
    })
}

/// Starts a daemon.
///
/// # Errors
/// [`StartError`] when an address is taken.
pub async fn start(settings: &Settings) -> Result<RunningDaemon, StartError> {
    let gateway_listener = listen("callers", settings.daemon.gateway_address)?;
    let operators_listener = listen("operators", settings.daemon.operators_address)?;
    let gateway_address = local(&gateway_listener, settings.daemon.gateway_address);
    let operators_address = local(&operators_listener, settings.daemon.operators_address);
    let control = start_control(settings)?;
    let core = control.core.clone();
    let gateway_parts = Gateway::new(
        core.clone(),
        control.identity.clone(),
        control.board.clone(),
        TenantKey::new(settings.credentials.tenant_key.as_bytes()),
        settings.limits.clone(),
        control.metrics.clone(),
    );
    let requests = gateway_parts.clone();
    let gateway = gateway::serve(gateway_listener, gateway_parts)
        .context(ListenSnafu { part: "callers", address: gateway_address })?;
    let operators = Operators {
        core: core.clone(),
        token: settings.credentials.operator_token.as_str().into(),
        in_force: control.in_force.clone(),
    };
    let serving = tokio::spawn(serve_operators(operators_listener, operators));
    let peer_address = control.peer_address;
    log::info!(
        target: part::DAEMON,
        "{} serves callers on {gateway_address}, operators on {operators_address}, peers on \
         {peer_address}.",
        core.own()
    );
    Ok(RunningDaemon {
        core,
        gateway,
        requests,
        control,
        operators: serving,
        drain_limit: Duration::from_millis(settings.daemon.drain_ms),
        gateway_address,
        operators_address,
        peer_address,
    })
}

impl RunningDaemon {
    /// A planned stop: hands groups over, lets requests end, then closes. Bounded by the
    /// settings.
    pub async fn drain(mut self) {
        log::info!(target: part::DAEMON, "Planned stop.");
        let started = Instant::now();
        self.core.drain().await;
        // The listener stays open: a caller that connects now is told to go elsewhere. With the
        // listener idle it would wait in the kernel's queue until this process ends.
        self.requests.close();
        // A node whose disk is full answers nothing, this question neither.
        while !timeout(self.drain_limit, self.is_idle()).await.unwrap_or(true) {
            if started.elapsed() > self.drain_limit {
                let status = self.core.status().await;
                log::warn!(
                    target: part::DAEMON,
                    "Planned stop cut short: {} attempts and {} requests left.",
                    status.attempts,
                    status.requests
                );
                break;
            }
            sleep(DRAIN_POLL).await;
        }
        // A request counts as ended when its last byte is on its way; connections may still
        // have to send it.
        let left = self.drain_limit.saturating_sub(started.elapsed()).max(SHORTEST_FINISH);
        self.gateway.finish(left).await;
        self.stop();
    }

    /// Whether nobody depends on this daemon any more. An answer that is read from another
    /// daemon leaves no trace in the node, yet its caller's connection is here.
    async fn is_idle(&self) -> bool {
        let status = self.core.status().await;
        let answered = self.requests.in_progress() == 0;
        answered && status.attempts == 0 && status.requests == 0 && status.groups_led == 0
    }

    /// Waits until the node's task has ended by itself; see [`ControlParts::ended`].
    pub async fn ended(&mut self) {
        let _ = self.control.ended().await;
    }

    /// Stops at once.
    pub fn stop(self) {
        self.gateway.stop();
        self.operators.abort();
        self.control.stop();
        log::info!(target: part::DAEMON, "Stopped.");
    }
}

fn listen(part: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    bind(address).context(ListenSnafu { part, address })
}

/// A listener for connections and a socket for datagrams at the same port.
fn listen_to_peers(address: SocketAddr) -> Result<(TcpListener, Arc<UdpSocket>), StartError> {
    let part = "peers";
    let mut tries = 0;
    loop {
        let listener = listen(part, address)?;
        let chosen = local(&listener, address);
        match bind_datagrams(chosen) {
            Ok(socket) => return Ok((listener, Arc::new(socket))),
            // A port that the system chose may be taken for datagrams: it chooses another one.
            Err(_) if address.port() == 0 && tries < PORT_TRIES => tries += 1,
            Err(source) => return Err(source).context(ListenSnafu { part, address: chosen }),
        }
    }
}

fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted sockets inherit this on Linux. Without it, Nagle's algorithm (RFC 896) holds each
    // small piece of an answer back until the reader's delayed acknowledgement, some 40 ms.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn local(listener: &TcpListener, wanted: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(wanted)
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

/// Without a data folder each process is another incarnation, and nothing is durable.
/// The incarnation of a process that starts now, later than any life that others know of.
fn incarnation_after(clock: Clock, earlier: Option<Incarnation>) -> Incarnation {
    let next = earlier.map(|Incarnation(earlier)| Incarnation(earlier + 1));
    clock.incarnation().max(next.unwrap_or_default())
}

fn open_groups(settings: &Settings, fresh: Incarnation) -> Result<Durable, StartError> {
    let Some(folder) = &settings.daemon.data_folder else {
        let groups = GroupLog::default();
        return Ok(Durable { groups, replicas: Vec::new(), incarnation: fresh, life: 0 });
    };
    let opened = group_log::open(folder, settings.durable.clone(), fresh).context(GroupsSnafu)?;
    let Opened { log, replicas } = opened;
    let identity = log.identity();
    Ok(Durable {
        groups: GroupLog::new(log),
        replicas,
        incarnation: identity.incarnation,
        life: identity.life,
    })
}

async fn serve_operators(listener: TcpListener, operators: Operators) {
    if let Err(error) = operators::serve(listener, operators).await {
        log::error!(target: part::OPERATORS, "Serving operators ended: {error}.");
    }
}

async fn take_incoming(mut inbox: mpsc::Receiver<Incoming>, core: CoreHandle, board: AnswerBoard) {
    while let Some(incoming) = inbox.recv().await {
        match incoming {
            Incoming::Message { from, message } => deliver(&core, from, message).await,
            Incoming::ConnectionLost(address) => core.connection_lost(address).await,
            Incoming::Answer { read, frames } => {
                let sink = AnswerSink::Peer(Box::new(frames));
                tokio::spawn(serve_answers::serve(core.clone(), board.clone(), read, sink));
            }
        }
    }
}

fn node_settings(
    settings: &Settings,
    own: ReplicaId,
    address: SocketAddr,
    clock: Clock,
) -> NodeSettings {
    let is_durable = settings.daemon.data_folder.is_some();
    let maintenance = MaintenanceSettings {
        voters: settings.tolerance.wanted_voters(),
        keeps_lost_voters: is_durable,
        ..settings.maintenance.clone()
    };
    NodeSettings {
        own,
        zone: settings.daemon.zone.clone(),
        region: settings.daemon.region.clone(),
        address,
        seeds: settings.daemon.seeds.clone(),
        group_count: settings.layout.groups,
        tolerance: settings.tolerance,
        bootstrap_daemons: settings.layout.bootstrap_daemons,
        holds_groups: settings.daemon.holds_groups,
        life: 0,
        group: GroupSettings { is_durable, ..settings.groups.clone() },
        has_store: settings.daemon.data_folder.is_some(),
        history: settings.history.clone(),
        membership: settings.membership.clone(),
        maintenance,
        limits: ProgramLimits::default(),
        placement: settings.placement.clone(),
        policy: settings.policy,
        attempts_per_call: settings.calls.attempts,
        attempt_limit: Length::from_millis(settings.calls.attempt_limit_ms),
        keep_records: Length::from_millis(settings.calls.keep_records_ms),
        configuration: settings.configuration.clone(),
        follows_configuration: true,
        first_document: first_document(&settings.platform.engines),
        // Of the process, not of its replicas: their identifiers may outlive it.
        seed: clock.incarnation().0 ^ (u64::from(own.daemon.0) << 40),
        faults: NodeFaults::default(),
    }
}
