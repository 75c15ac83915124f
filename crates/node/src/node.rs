//! Assembly of a node: hands each event to its part and collects the actions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use dahlia_placement::Scheduler;
use dahlia_program::GroupState;
use dahlia_replication::directory::{Directory, GroupDescription};
use dahlia_replication::group::{Coalescer, Entry, Output, PeerBatch, Replica, Role, Snapshot};
use dahlia_replication::maintenance::Maintenance;
use dahlia_replication::membership::{
    Event as MembershipEvent, Member, MemberInfo, MemberState, Membership,
};
use dahlia_types::{AttemptId, DaemonId, Duration, GroupId, LogIndex, ReplicaId, Timestamp};
use serde::Serialize;

use crate::bootstrap::{Bootstrap, LayoutStep, choose_layout, decode_layout};
use crate::configuration::Configuration;
use crate::engine_sources::EngineSources;
use crate::engines::EngineTable;
use crate::group::{Group, Purpose, decode};
use crate::history::History;
use crate::orders::Orders;
use crate::request::Response;
use crate::routing::{ReplyTo, Router};
use crate::wire::PeerMessage;
use crate::{Action, Event, NodeSettings};

/// How often expired programs are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// One daemon without its I/O.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) membership: Membership,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    /// Which replicas hold each group, as far as known here.
    pub(crate) directory: Directory,
    pub(crate) router: Router,
    pub(crate) scheduler: Scheduler,
    pub(crate) engines: EngineTable,
    pub(crate) history: History,
    pub(crate) sources: EngineSources,
    pub(crate) configuration: Configuration,
    pub(crate) orders: Orders,
    /// Attempts that were taken back before they began to answer.
    pub(crate) recalled: BTreeSet<AttemptId>,
    pub(crate) actions: Vec<Action>,
    pub(crate) dirty: BTreeSet<GroupId>,
    pub(crate) next_upkeep: Timestamp,
    bootstrap: Bootstrap,
    coalescer: Coalescer,
    draining: bool,
}

/// What a node says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct NodeStatus {
    /// Whether it can route calls to owners.
    pub ready: bool,
    /// What it waits for while it is not ready.
    pub waits_for: Option<String>,
    /// The generation of the configuration that it holds.
    pub configuration_generation: u64,
    /// Whether a planned stop is under way.
    pub draining: bool,
    /// Daemons heard of lately, this one included.
    pub live_daemons: usize,
    /// Groups that it holds a replica of.
    pub groups_held: usize,
    /// Groups whose programs it owns.
    pub groups_led: usize,
    /// Engines that reported lately.
    pub live_engines: usize,
    /// Programs in the groups that it owns.
    pub programs: usize,
    /// Attempts that it runs.
    pub attempts: usize,
    /// Requests that wait for an owner's answer.
    pub requests: usize,
}

impl Node {
    /// How often the driver sends [`Event::Tick`].
    pub const TICK: Duration = Duration::from_millis(20);

    /// A node that knows nothing but its settings.
    pub fn new(settings: NodeSettings, now: Timestamp) -> Self {
        let own = MemberInfo {
            daemon: settings.own.daemon,
            incarnation: settings.own.incarnation,
            address: settings.address,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            // It takes no work before it knows which configuration is in force.
            state: MemberState::Joining,
        };
        let membership = Membership::new(
            own,
            settings.seeds.clone(),
            settings.membership.clone(),
            settings.seed,
            now,
        );
        let scheduler = Scheduler::new(settings.placement.clone(), settings.policy, settings.seed);
        let mut node = Self {
            membership,
            scheduler,
            engines: EngineTable::new(settings.zone.clone()),
            history: History::default(),
            sources: EngineSources::default(),
            configuration: Configuration::new(&settings, now),
            orders: Orders::default(),
            recalled: BTreeSet::new(),
            settings,
            groups: BTreeMap::new(),
            directory: Directory::new(),
            router: Router::default(),
            actions: Vec::new(),
            dirty: BTreeSet::new(),
            next_upkeep: Timestamp::ZERO,
            bootstrap: Bootstrap::default(),
            coalescer: Coalescer::new(),
            draining: false,
        };
        if node.settings.has_store {
            node.publish_store();
        }
        node
    }

    /// Takes in an event. `now` must never go back.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        match event {
            Event::Tick => self.tick(now),
            Event::Message { from, message } => self.message(from, message, now),
            Event::ConnectionLost(peer) => self.connection_lost(peer, now),
            Event::Request { id, request } => self.take_request(id, request, now),
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
                self.engine_refuses_work(&engine, incarnation, now);
            }
            Event::Machines(listing) => self.machine_listing(listing, now),
            Event::KeyValue(event) => self.key_value(event, now),
            Event::ProposeChange { id, proposal } => self.propose_change(id, proposal, now),
            Event::Layout(step) => self.layout(step, now),
            Event::StoreEnded(result) => self.store_ended(*result),
            Event::Drain => self.drain(now),
        }
        self.settle(now);
        std::mem::take(&mut self.actions)
    }

    /// What this node says of itself.
    pub fn status(&self, now: Timestamp) -> NodeStatus {
        let led = || self.groups.values().filter(|group| group.is_serving());
        NodeStatus {
            ready: self.waits_for().is_none(),
            waits_for: self.waits_for().map(str::to_owned),
            configuration_generation: self.configuration.generation().0,
            draining: self.draining,
            live_daemons: self.live_members().len(),
            groups_held: self.groups.len(),
            groups_led: led().count(),
            live_engines: self.engines.live(now),
            programs: led().map(|group| group.state.programs().count()).sum(),
            attempts: self.groups.values().map(|group| group.live.len()).sum(),
            requests: self.router.len(),
        }
    }

    /// Why this node does not take calls, if it does not.
    fn waits_for(&self) -> Option<&'static str> {
        if self.draining {
            return Some("a planned stop is under way");
        }
        let unlaid = "the replica groups are not laid out yet";
        self.configuration.problem().or((!self.is_laid_out()).then_some(unlaid))
    }

    /// Whether the groups are known to be laid out.
    pub(crate) fn is_laid_out(&self) -> bool {
        self.bootstrap.is_done()
    }

    /// Where the owner of a group is thought to listen.
    pub fn owner_address(&self, group: GroupId) -> Option<SocketAddr> {
        let daemon = self.owner_hint(group)?;
        self.address(daemon)
    }

    /// Whether this node may answer for a group's programs now.
    pub fn owns(&self, group: GroupId) -> bool {
        self.groups.get(&group).is_some_and(Group::is_serving)
    }

    /// A group for a new program: one that this node owns if there is one, else any.
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

    /// All groups.
    pub fn group_ids(&self) -> Vec<GroupId> {
        self.directory.iter().map(|description| description.group).collect()
    }

    /// All daemons known, the dead of late included.
    pub fn daemons(&self) -> Vec<Member> {
        self.membership.members()
    }

    /// The replicated state of a group's copy here, for checkers.
    pub fn group_state(&self, group: GroupId) -> Option<&GroupState> {
        self.groups.get(&group).map(|group| &group.state)
    }

    pub(crate) fn owner_hint(&self, group: GroupId) -> Option<DaemonId> {
        if self.owns(group) {
            return Some(self.settings.own.daemon);
        }
        let leader = self.groups.get(&group).and_then(|held| held.replica.leader());
        let leader = leader.filter(|leader| *leader != self.settings.own);
        let known = || self.router.hint(group).or(self.directory.leader(group).map(|it| it.daemon));
        leader.map(|leader| leader.daemon).or_else(known)
    }

    fn tick(&mut self, now: Timestamp) {
        self.membership_event(MembershipEvent::Tick, now);
        self.configuration_tick(now);
        self.read_layout(now);
        self.upkeep(now);
        for group in self.groups.values_mut() {
            if group.replica.next_deadline() <= now {
                group.replica.tick(now);
                self.dirty.insert(group.id());
            }
        }
        self.schedule(dahlia_placement::Event::Tick, now);
        self.check_engines(now);
        self.plan_due(now);
        self.check_attempts(now);
        self.retry_releases(now);
        self.expire_programs(now);
        self.move_history(now);
        self.ask_due_chunks(now);
        self.check_copies(now);
        self.propose_deferred(now);
        self.route_due(now);
    }

    fn message(&mut self, from: ReplicaId, message: PeerMessage, now: Timestamp) {
        match message {
            PeerMessage::Membership(envelope) => {
                self.membership_event(MembershipEvent::Received(*envelope), now);
            }
            PeerMessage::Configuration(message) => {
                self.configuration_message(from.daemon, message, now);
            }
            PeerMessage::Groups(batch) => self.group_messages(batch, now),
            PeerMessage::Chunks(message) => self.chunk_message(from, *message, now),
            PeerMessage::Request { id, request } => {
                // Without an address the answer has nowhere to go; the asker repeats.
                if let Some(address) = self.address(from.daemon) {
                    self.serve(ReplyTo::Peer { address, id }, request, now);
                }
            }
            PeerMessage::Response { id, response } => self.response(from, id, response, now),
        }
    }

    fn group_messages(&mut self, batch: PeerBatch, now: Timestamp) {
        for message in batch.into_messages() {
            if message.to != self.settings.own {
                continue;
            }
            let id = message.group;
            // A group that is new here wants this daemon as a learner, or the layout that names it
            // has not been read here yet. An empty learner is safe to make in both cases.
            let group = self.groups.entry(id).or_insert_with(|| {
                let settings = self.settings.group.clone();
                let seed = self.settings.seed;
                let replica = Replica::join(self.settings.own, id, settings, seed, now);
                let maintenance = Maintenance::new(self.settings.maintenance.clone(), now);
                Group::new(replica, self.settings.empty_state(id), maintenance)
            });
            group.replica.step(message, now);
            self.dirty.insert(id);
        }
    }

    fn read_layout(&mut self, now: Timestamp) {
        if self.bootstrap.is_done() {
            return;
        }
        if !self.bootstrap.read_due(now) {
            return;
        }
        let live = self.live_members();
        self.bootstrap.share_reads(live.len(), now);
        if self.bootstrap.is_missing() && live.len() >= self.settings.bootstrap_daemons as usize {
            let layout = choose_layout(&live, self.settings.group_count, self.settings.replicas);
            self.actions.push(Action::Layout(LayoutStep::Value(layout)));
        } else {
            self.actions.push(Action::Layout(LayoutStep::Read));
        }
    }

    fn layout(&mut self, step: LayoutStep, now: Timestamp) {
        match step {
            LayoutStep::Read => self.bootstrap.note_missing(),
            LayoutStep::Failed => {}
            LayoutStep::Value(bytes) if !self.bootstrap.is_done() => match decode_layout(&bytes) {
                Some(layout) => self.adopt_layout(layout, now),
                None => log::error!(target: "groups", "The layout of groups is malformed."),
            },
            LayoutStep::Value(_) => {}
        }
    }

    fn adopt_layout(&mut self, layout: Vec<GroupDescription>, now: Timestamp) {
        self.bootstrap.finish();
        for description in layout {
            let (id, voters) = (description.group, description.members.clone());
            self.directory.merge(description);
            // Another life of this daemon is another replica: only the life that the layout
            // names starts as a voter, and it does so once, because the layout is read once.
            if !voters.contains(&self.settings.own) {
                continue;
            }
            if let Some(group) = self.groups.get_mut(&id) {
                // A first voter that was elected already has sent a message before.
                group.replica.adopt_layout(voters, now);
                self.dirty.insert(id);
                continue;
            }
            let settings = self.settings.group.clone();
            let seed = self.settings.seed;
            let mut replica =
                Replica::bootstrap(self.settings.own, id, voters.clone(), settings, seed, now);
            if voters.first() == Some(&self.settings.own) {
                // The layout balances leaders: its first voter need not wait for a timeout.
                replica.campaign(now);
            }
            let maintenance = Maintenance::new(self.settings.maintenance.clone(), now);
            let state = self.settings.empty_state(id);
            self.groups.insert(id, Group::new(replica, state, maintenance));
            self.dirty.insert(id);
        }
    }

    /// Takes work again after a drain that the configuration asked for.
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
            let heir = group.replica.members().voters.iter().find(|voter| **voter != own).copied();
            if let Some(heir) = heir {
                // Refused when the group is in the middle of something; the next tick of a
                // planned stop asks again.
                let _ = group.replica.transfer_leadership(heir);
                self.dirty.insert(group.id());
            }
        }
    }

    /// Carries out what the groups ask for until none asks for more.
    fn settle(&mut self, now: Timestamp) {
        while let Some(id) = self.dirty.pop_first() {
            self.take_outputs(id, now);
        }
        for (daemon, batch) in self.coalescer.take() {
            if let Some(to) = self.address(daemon) {
                self.actions.push(Action::Send { to, message: PeerMessage::Groups(batch) });
            }
        }
    }

    fn take_outputs(&mut self, id: GroupId, now: Timestamp) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        for output in group.replica.take_outputs() {
            match output {
                Output::Send(message) => self.coalescer.push(message),
                Output::Committed(entry) => self.apply(id, &entry, now),
                Output::Restore(snapshot) => self.restore(id, &snapshot),
                Output::RoleChanged { role, term, leader } => {
                    log::debug!(target: "groups", "{id}: {role:?} in {term}, leader {leader:?}.");
                }
                Output::MembersChanged { index, .. } => self.members_changed(id, index),
                Output::SnapshotWanted => self.compact(id),
                Output::Removed { .. } => self.retire(id, now),
            }
        }
        self.check_ownership(id, now);
    }

    fn apply(&mut self, id: GroupId, entry: &Entry, now: Timestamp) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let settled = group.settle(entry.index, entry.term);
        let command = decode(&entry.payload);
        let Some(command) = command else {
            // Every replica of this build skips it alike.
            log::error!(target: "groups", "Entry {} of {id} cannot be decoded.", entry.index);
            return;
        };
        let result = group.state.apply(entry.index, entry.term, &command);
        let serving = group.is_serving();
        for purpose in settled.lost {
            self.lost(id, purpose);
        }
        let own = settled.own;
        if serving {
            self.applied(id, &command, result, own, now);
        } else if let Some(purpose) = own {
            self.lost(id, purpose);
        }
    }

    /// A proposal whose fate is not known here any more: its asker repeats it at the owner.
    pub(crate) fn lost(&mut self, id: GroupId, purpose: Purpose) {
        match purpose {
            Purpose::Request(to) => {
                let hint = self.owner_hint(id);
                self.reply(to, Response::NotOwner { hint });
            }
            Purpose::Intent(intent) => {
                if let Some(group) = self.groups.get_mut(&id) {
                    group.lost_intents.push(intent.attempt);
                }
            }
            Purpose::Housekeeping => {}
        }
    }

    fn restore(&mut self, id: GroupId, snapshot: &Snapshot) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        match GroupState::restore(&snapshot.data) {
            Ok(state) => group.state = self.settings.with_faults(state),
            Err(error) => log::error!(target: "groups", "Snapshot of {id} refused: {error}."),
        }
        let settled = group.settle(snapshot.index, snapshot.term);
        for purpose in settled.own.into_iter().chain(settled.lost) {
            self.lost(id, purpose);
        }
    }

    fn members_changed(&mut self, id: GroupId, index: LogIndex) {
        if let Some(group) = self.groups.get_mut(&id) {
            group.members_index = index;
        }
        self.publish_group(id);
    }

    fn compact(&mut self, id: GroupId) {
        if let Some(group) = self.groups.get_mut(&id) {
            let applied = group.replica.applied();
            let snapshot = group.state.snapshot();
            group.replica.compact(applied, snapshot);
            self.dirty.insert(id);
        }
    }

    fn retire(&mut self, id: GroupId, now: Timestamp) {
        if let Some(group) = self.groups.get_mut(&id) {
            group.replica.retire(now);
            group.state = self.settings.empty_state(id);
        }
    }

    fn check_ownership(&mut self, id: GroupId, now: Timestamp) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let term = group.replica.term();
        let leads = group.replica.is_leader_ready();
        match group.serving {
            None if leads => {
                group.serving = Some(term);
                self.publish_group(id);
                self.take_up(id, now);
            }
            Some(served) if !leads || served != term => {
                self.step_down(id, now);
                // A replica can lose and win back the lead between two looks at it.
                if leads {
                    self.check_ownership(id, now);
                }
            }
            _ => {}
        }
    }

    fn expire_programs(&mut self, now: Timestamp) {
        for group in self.groups.values_mut() {
            if group.is_serving() && now >= group.next_expiry {
                group.next_expiry = now + EXPIRY_INTERVAL;
                group.propose_expiry(self.settings.keep_records, now);
                self.dirty.insert(group.id());
            }
        }
    }

    fn propose_deferred(&mut self, now: Timestamp) {
        let waiting = |group: &&mut Group| !group.deferred.is_empty();
        for group in self.groups.values_mut().filter(waiting) {
            for (command, purpose) in std::mem::take(&mut group.deferred) {
                // A purpose that comes back is a request's: the owner changed, its asker repeats.
                let _ = group.propose(command, purpose, now);
            }
            self.dirty.insert(group.replica.group());
        }
    }
}
