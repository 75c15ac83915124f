//! The node itself: dispatches each event to its handler and collects the actions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_placement::Scheduler;
use dahlia_program::GroupState;
use dahlia_replication::directory::Directory;
use dahlia_replication::group::{Coalescer, PeerBatch, Replica, Role};
use dahlia_replication::maintenance::{BalanceRateLimit, Maintenance};
use dahlia_replication::membership::{
    Event as MembershipEvent, Member, MemberInfo, MemberState, Membership,
};
use dahlia_replication::tolerance::VoterTarget;
use dahlia_types::{AttemptId, DaemonId, Duration, GroupId, ReplicaId, Timestamp};
use serde::Serialize;

use crate::bootstrap::Bootstrap;
use crate::configuration::Configuration;
use crate::crash_reports::CrashReports;
use crate::engine_sources::EngineSources;
use crate::engines::EngineTable;
use crate::feed::{Feed, SourceReport};
use crate::group::Group;
use crate::history::History;
use crate::limits::LimitKeepers;
use crate::line_limit::LogLineLimit;
use crate::load_sharing::{LoadSharing, LoadSharingStatus};
use crate::members::MAX_MEMBER_LINES_PER_MINUTE;
use crate::orders::EngineOrders;
use crate::reach::ZoneLists;
use crate::request::NotRunCause;
use crate::routing::{ReplyTo, Router};
use crate::stream_origin_events::new_stream_origins;
use crate::stream_origins::StreamOrigins;
use crate::wire::PeerMessage;
use crate::zone_liveness::ZoneLiveness;
use crate::{Action, Event, NodeSettings};

/// One daemon, without I/O.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) membership: Membership,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    /// The known replicas of each group.
    pub(crate) directory: Directory,
    pub(crate) router: Router,
    pub(crate) limit_keepers: LimitKeepers,
    pub(crate) scheduler: Scheduler,
    pub(crate) engines: EngineTable,
    pub(crate) history: History,
    pub(crate) sources: EngineSources,
    pub(crate) configuration: Configuration,
    pub(crate) engine_orders: EngineOrders,
    /// Attempts whose cancellation was requested before they started to answer.
    pub(crate) recalled_attempts: BTreeSet<AttemptId>,
    /// Causes of attempts that did not run through no fault of their engine, until recorded in the
    /// log.
    pub(crate) not_run_causes: BTreeMap<AttemptId, NotRunCause>,
    pub(crate) actions: Vec<Action>,
    /// Groups whose replica may have outputs to process.
    pub(crate) dirty: BTreeSet<GroupId>,
    pub(crate) next_upkeep: Timestamp,
    /// Limits leadership transfers for balance, over all groups owned here.
    pub(crate) balance_rate_limit: BalanceRateLimit,
    /// The number of voters that each group should have, computed at the last upkeep.
    pub(crate) voter_target: VoterTarget,
    pub(crate) bootstrap: Bootstrap,
    pub(crate) coalescer: Coalescer,
    /// Batches messages that may be sent before the sync.
    pub(crate) unsynced_coalescer: Coalescer,
    pub(crate) draining: bool,
    /// Whether a later process has replaced this daemon.
    pub(crate) is_superseded: bool,
    /// None if no external source is followed.
    pub(crate) feed: Option<Feed>,
    /// None if this daemon does not share loads.
    pub(crate) loads: Option<LoadSharing>,
    pub(crate) stream_origins: StreamOrigins,
    pub(crate) crash_reports: CrashReports,
    /// None if cut-off zones are not distinguished from silent daemons.
    pub(crate) zone_liveness: Option<ZoneLiveness>,
    pub(crate) zone_lists: ZoneLists,
    /// Back-end failure reports made in this incarnation.
    pub(crate) failure_report_count: u64,
    pub(crate) member_line_limit: LogLineLimit,
}

/// The status that a node reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct NodeStatus {
    /// Whether it can route calls to owners.
    pub ready: bool,
    /// Whether it knows a daemon that owns groups or can name their owners.
    pub reaches_groups: bool,
    /// What it waits for if it is not ready.
    pub waits_for: Option<String>,
    /// The generation of the configuration that it holds.
    pub configuration_generation: u64,
    /// Whether a planned stop is in progress.
    pub draining: bool,
    /// Whether it must hold no groups, because of its settings or [`Event::Retire`], and is a member
    /// of no known group.
    pub retired: bool,
    /// Live daemons, including this one.
    pub live_daemons: usize,
    /// Groups of which it holds a replica.
    pub groups_held: usize,
    /// Groups whose programs it owns.
    pub groups_led: usize,
    /// Led groups that lack a voter or have one that lost its memory or disk.
    pub groups_short: usize,
    /// Engines that reported recently.
    pub live_engines: usize,
    /// Programs in the groups that it leads.
    pub programs: usize,
    /// Running attempts.
    pub attempts: usize,
    /// Requests that wait for a response from an owner.
    pub requests: usize,
    /// The status of load sharing; none if this daemon does not share loads.
    pub load_sharing: Option<LoadSharingStatus>,
}

impl Node {
    /// The longest interval between two [`Event::Tick`]s while the node has work.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(20);
    /// The tick interval while the node is idle. Only probes, gossip and subscriptions remain then, due
    /// every 200 ms or more. A gateway with two requests a second is idle most of the time, and each
    /// wake-up costs CPU time.
    const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);

    /// Returns the delay until the next tick.
    pub fn tick_interval(&self) -> Duration {
        let has_work = !self.router.is_empty()
            || !self.groups.is_empty()
            || self.draining
            || self.stream_origins.has_questions()
            || self.crash_reports.has_questions();
        let follows = self.settings.follows_configuration;
        let is_probing = self.zone_liveness.as_ref().is_some_and(ZoneLiveness::is_probing);
        if has_work || follows || is_probing {
            Self::TICK_INTERVAL
        } else {
            Self::IDLE_TICK_INTERVAL
        }
    }

    /// Creates a node from its settings alone.
    pub fn new(settings: NodeSettings, now: Timestamp) -> Self {
        let own = MemberInfo {
            daemon: settings.own.daemon,
            incarnation: settings.own.incarnation,
            address: settings.address,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            state: initial_state(&settings),
            holds_groups: settings.holds_groups,
        };
        let mut membership = Membership::new(
            own,
            settings.seeds.clone(),
            settings.membership.clone(),
            settings.seed,
            now,
        );
        membership.set_start_count(settings.start_count);
        let voters = settings.tolerance.wanted_voters();
        let voter_target = VoterTarget { voters, shortfalls: Vec::new() };
        let scheduler = Scheduler::new(settings.placement.clone(), settings.policy, settings.seed);
        let balance_rate_limit = BalanceRateLimit::new(&settings.maintenance, now);
        let feed = settings.feed.clone();
        let feed = feed.map(|feed| Feed::new(feed, settings.own.daemon, settings.address));
        let loads = settings.load_sharing.clone();
        let loads = loads.map(|loads| LoadSharing::new(loads, settings.own, settings.address));
        let zone_liveness = settings.zone_liveness.clone();
        let zone_liveness = zone_liveness.map(|zone_liveness| {
            ZoneLiveness::new(zone_liveness, settings.zone.clone(), settings.seed)
        });
        let mut node = Self {
            membership,
            feed,
            loads,
            stream_origins: new_stream_origins(&settings, now),
            crash_reports: CrashReports::new(settings.own, settings.address),
            zone_liveness,
            zone_lists: ZoneLists::default(),
            scheduler,
            engines: EngineTable::new(settings.zone.clone()),
            history: History::default(),
            sources: EngineSources::default(),
            configuration: Configuration::new(&settings, now),
            engine_orders: EngineOrders::default(),
            recalled_attempts: BTreeSet::new(),
            not_run_causes: BTreeMap::new(),
            settings,
            groups: BTreeMap::new(),
            directory: Directory::new(),
            router: Router::default(),
            limit_keepers: LimitKeepers::default(),
            actions: Vec::new(),
            dirty: BTreeSet::new(),
            next_upkeep: Timestamp::ZERO,
            balance_rate_limit,
            voter_target,
            bootstrap: Bootstrap::default(),
            coalescer: Coalescer::new(),
            unsynced_coalescer: Coalescer::new(),
            draining: false,
            is_superseded: false,
            failure_report_count: 0,
            member_line_limit: LogLineLimit::new(MAX_MEMBER_LINES_PER_MINUTE),
        };
        if node.settings.has_store {
            node.publish_store();
        }
        node
    }

    /// Handles an event and returns the resulting actions. `now` must never decrease.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        if self.is_superseded {
            self.handle_superseded(event, now);
            return std::mem::take(&mut self.actions);
        }
        match event {
            Event::Tick => self.tick(now),
            Event::Message { from, message } => self.handle_message(from, message, now),
            Event::ConnectionLost(peer) => self.connection_lost(peer, now),
            Event::Request { id, request } => self.accept_request(id, request, now),
            Event::AttemptEnded { attempt, epoch, end } => {
                self.attempt_ended(attempt, epoch, end, now);
            }
            Event::FirstToken { attempt } => {
                self.schedule(dahlia_placement::Event::FirstToken(attempt), now);
            }
            Event::ReleaseEnded { program, holder, covers, end } => {
                self.release_ended(program, &holder, covers, end, now);
            }
            Event::EngineReported(report) => self.engine_reported(report, now),
            Event::EngineState(engine, state) => self.engine_state(engine, state, now),
            Event::EngineRefusesWork { engine, incarnation } => {
                self.record_engine_refusal(&engine, incarnation, now);
            }
            Event::Machines(listing) => self.update_machine_listing(listing, now),
            Event::KeyValue(event) => self.handle_key_value_event(event, now),
            Event::ProposeChange { id, proposal } => self.propose_change(id, proposal, now),
            Event::Layout(step) => self.handle_layout_step(step, now),
            Event::StoreEnded(result) => self.store_ended(*result),
            Event::SeedsFound(addresses) => self.membership.add_seeds(addresses),
            Event::PreviousPeers(addresses) => self.membership.contact_previous_peers(addresses),
            Event::ToleranceChanged(tolerance) => self.change_tolerance(tolerance, now),
            Event::ShareDocument(document) => self.share_document(document),
            Event::KeepDocument(document) => self.keep_document(document),
            Event::RequestDocuments => self.membership.request_holder_documents(),
            Event::SourceRead { report, began_at } => {
                let report = SourceReport { age: now.since(began_at), ..report };
                self.record_source_read(report, now);
            }
            Event::BackendFailed(failure) => self.report_backend_failure(&failure),
            Event::OwnLoads(own) => self.update_own_loads(&own, now),
            Event::OwnLoadsEnded => self.stop_load_sharing(),
            Event::StreamsBegan(streams) => self.record_streams(streams, now),
            Event::FindOrigin { id, stream, service } => {
                self.find_origin(id, stream, service, now);
            }
            Event::OriginViews(views) => self.set_origin_views(views, now),
            Event::RestoreOriginViews(document) => self.restore_origin_views(&document, now),
            Event::ConsultGateways { id, records } => self.consult_gateways(id, records, now),
            Event::InformGateways(records) => {
                self.update_crash_reports(now, |reports| reports.inform(&records));
            }
            Event::AnswerGateway { question, records, in_flight } => {
                self.update_crash_reports(now, |it| it.answer(question, records, in_flight));
            }
            Event::CompareCrashRecords { digest } => {
                self.update_crash_reports(now, |reports| reports.compare(digest));
            }
            Event::SendCrashRecords { to, records } => {
                self.update_crash_reports(now, |reports| reports.send_records(to, &records));
            }
            Event::ImageWanted(group) => self.record_image(group),
            Event::Retire => self.retire_daemon(now),
            Event::Drain => self.drain(now),
        }
        self.process_dirty_groups(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the node's status.
    pub fn status(&self, now: Timestamp) -> NodeStatus {
        let led = || self.groups.values().filter(|group| group.is_serving());
        NodeStatus {
            ready: self.waits_for().is_none(),
            reaches_groups: self.reaches_groups(),
            waits_for: self.waits_for().map(str::to_owned),
            configuration_generation: self.configuration.generation().0,
            draining: self.draining,
            retired: self.is_retired(),
            live_daemons: self.live_members().len(),
            groups_held: self.groups.len(),
            groups_led: led().count(),
            groups_short: led().filter(|group| !self.is_complete(group)).count(),
            live_engines: self.engines.live_count(now),
            programs: led().map(|group| group.state.programs().count()).sum(),
            attempts: self.groups.values().map(|group| group.live_attempts.len()).sum(),
            requests: self.router.len(),
            load_sharing: self.load_sharing_status(now),
        }
    }

    /// Returns why this node does not accept calls; none if it does.
    fn waits_for(&self) -> Option<&'static str> {
        if self.draining {
            return Some("a planned stop is under way");
        }
        let missing_layout = "the replica groups are not laid out yet";
        self.configuration.problem().or((!self.is_laid_out()).then_some(missing_layout))
    }

    /// Whether the groups are known to be laid out. A group with members that was recovered from disk
    /// proves it before the key-value service answers.
    pub(crate) fn is_laid_out(&self) -> bool {
        let has_members = |group: &Group| group.replica.members().all().next().is_some();
        self.bootstrap.is_done() || self.groups.values().any(has_members)
    }

    pub(crate) fn reaches_groups(&self) -> bool {
        self.is_laid_out() || !self.other_holders(GroupId(0)).is_empty()
    }

    /// Returns the address of the probable owner of a group.
    pub fn owner_address(&self, group: GroupId) -> Option<SocketAddr> {
        let daemon = self.owner_hint(group)?;
        self.address(daemon)
    }

    /// Whether this node owns a group and may serve its programs now.
    pub fn owns(&self, group: GroupId) -> bool {
        self.groups.get(&group).is_some_and(Group::is_serving)
    }

    /// Chooses a group for a new program: one that this node owns if possible, else any.
    pub fn group_for_new_program(&self, draw: u64) -> Option<GroupId> {
        let own: Vec<GroupId> =
            self.groups.values().filter(|group| group.is_serving()).map(Group::id).collect();
        let all = self.group_ids();
        let candidates = if own.is_empty() || self.draining { all } else { own };
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[(draw % candidates.len() as u64) as usize])
    }

    /// Returns all known groups.
    pub fn group_ids(&self) -> Vec<GroupId> {
        self.directory.iter().map(|description| description.group).collect()
    }

    /// Returns all known daemons, including those that died recently.
    pub fn daemons(&self) -> Vec<Member> {
        self.membership.members()
    }

    /// Returns the local replicated state of a group, for checkers.
    pub fn group_state(&self, group: GroupId) -> Option<&GroupState> {
        self.groups.get(&group).map(|group| &group.state)
    }

    pub(crate) fn owner_hint(&self, group: GroupId) -> Option<DaemonId> {
        if self.owns(group) {
            return Some(self.settings.own.daemon);
        }
        let leader = self.groups.get(&group).and_then(|group| group.replica.leader());
        let leader = leader.filter(|leader| *leader != self.settings.own);
        let known = || self.router.hint(group).or(self.directory.leader(group).map(|it| it.daemon));
        leader.map(|leader| leader.daemon).or_else(known)
    }

    fn tick(&mut self, now: Timestamp) {
        self.membership_event(MembershipEvent::Tick, now);
        self.check_zones(now);
        self.configuration_tick(now);
        self.read_layout(now);
        self.upkeep(now);
        self.update_feed(now);
        for group in self.groups.values_mut() {
            if group.replica.next_deadline() <= now {
                group.replica.tick(now);
                self.dirty.insert(group.id());
            }
        }
        self.schedule(dahlia_placement::Event::Tick, now);
        self.check_engine_reports(now);
        self.update_planner(now);
        self.check_attempts(now);
        self.retry_releases(now);
        self.expire_programs(now);
        self.move_history(now);
        self.request_due_chunks(now);
        self.check_copies(now);
        self.propose_deferred(now);
        self.review_limit_keepers(now);
        self.route_due(now);
        self.check_stream_origins(now);
        self.check_consultations(now);
    }

    fn handle_message(&mut self, from: ReplicaId, message: PeerMessage, now: Timestamp) {
        self.record_zone_message(from.daemon, now);
        match message {
            PeerMessage::Membership(envelope) => {
                self.membership_event(MembershipEvent::Received(*envelope), now);
            }
            PeerMessage::Configuration(message) => {
                self.handle_configuration_message(from.daemon, message, now);
            }
            PeerMessage::Groups(batch) => self.handle_group_messages(batch, now),
            PeerMessage::Chunks(message) => self.handle_chunk_message(from, *message, now),
            PeerMessage::Request { id, request, reply_to } => {
                self.serve(ReplyTo::Peer { address: reply_to, id }, request, now);
            }
            PeerMessage::Response { id, response } => self.handle_response(from, id, response, now),
            PeerMessage::Forward { id, request, reply_to } => {
                self.forward_command(ReplyTo::Peer { address: reply_to, id }, request, now);
            }
            PeerMessage::Feed(message) => self.receive_feed_message(from.daemon, message, now),
            PeerMessage::Loads(message) => self.receive_load_message(from, message, now),
            PeerMessage::Origins(message) => self.receive_origin_message(from, message, now),
            PeerMessage::Crashes(message) => self.receive_crash_message(from, message, now),
        }
    }

    fn handle_group_messages(&mut self, batch: PeerBatch, now: Timestamp) {
        for message in batch.into_messages() {
            if message.to != self.settings.own {
                continue;
            }
            let id = message.group;
            // A message for an unknown group means that this daemon becomes a learner of it, or that
            // the layout that names this daemon has not been read yet. An empty learner is safe in
            // both cases.
            let group = self.groups.entry(id).or_insert_with(|| {
                let settings = self.settings.group.clone();
                let seed = self.settings.seed;
                let replica = Replica::join(self.settings.own, id, settings, seed, now);
                let maintenance = Maintenance::new(self.settings.maintenance.clone());
                Group::new(replica, self.settings.empty_state(id), maintenance)
            });
            group.replica.step(message, now);
            self.dirty.insert(id);
        }
    }

    /// Accepts work again after a drain requested by the configuration.
    pub(crate) fn end_drain(&mut self) {
        self.draining = false;
        self.membership.set_state(MemberState::Live);
    }

    pub(crate) fn drain(&mut self, _now: Timestamp) {
        self.draining = true;
        self.announce_leaving();
        for group in self.groups.values_mut() {
            if group.replica.role() != Role::Leader {
                continue;
            }
            let own = self.settings.own;
            let successor =
                group.replica.members().voters.iter().find(|voter| **voter != own).copied();
            if let Some(successor) = successor {
                // The group may refuse while another change is in progress; the next tick of a
                // planned stop retries.
                let _ = group.replica.transfer_leadership(successor);
                self.dirty.insert(group.id());
            }
        }
    }

    /// Processes replica outputs until no group has any left, then sends the batched messages.
    fn process_dirty_groups(&mut self, now: Timestamp) {
        while let Some(id) = self.dirty.pop_first() {
            self.handle_replica_outputs(id, now);
        }
        for (daemon, batch) in self.unsynced_coalescer.take() {
            if let Some(to) = self.address(daemon) {
                self.actions.push(Action::SendUnsynced { to, message: PeerMessage::Groups(batch) });
            }
        }
        for (daemon, batch) in self.coalescer.take() {
            if let Some(to) = self.address(daemon) {
                self.actions.push(Action::Send { to, message: PeerMessage::Groups(batch) });
            }
        }
    }
}

/// A daemon that follows the operators' configuration accepts no work until it knows which
/// generation is in force.
fn initial_state(settings: &NodeSettings) -> MemberState {
    if settings.follows_configuration { MemberState::Joining } else { MemberState::Live }
}
