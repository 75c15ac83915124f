//! Which daemons are there, and where groups are.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_replication::directory::GroupDescription;
use dahlia_replication::membership::{
    Action as MembershipAction, Event as MembershipEvent, Fact, FactKey, Health, Member,
    MemberInfo, MemberRecord, MemberState,
};
use dahlia_types::{DaemonId, Generation, GroupId, ReplicaId, Timestamp};

use crate::group::Group;
use crate::node::Node;
use crate::wire::PeerMessage;
use crate::{Action, BackendFailure, SharedDocument};

/// Lines a minute on members that come, change and go; beyond, only their number is told.
pub(crate) const MAX_MEMBER_LINES_PER_MINUTE: u32 = 300;

/// A daemon as operators see it.
#[derive(Debug, Clone)]
pub struct DaemonView {
    /// What membership holds of it.
    pub member: Member,
    /// Groups that it is thought to own.
    pub groups_led: u32,
    /// The generation of the configuration that it last told of; none when it has not lately.
    pub generation: Option<Generation>,
}

impl Node {
    /// Feeds membership and carries out what it asks for.
    pub(crate) fn membership_event(&mut self, event: MembershipEvent, now: Timestamp) {
        for action in self.membership.handle(event, now) {
            match action {
                MembershipAction::Send { to, message } => {
                    let message = PeerMessage::Membership(Box::new(message));
                    self.actions.push(Action::Send { to, message });
                }
                MembershipAction::MemberChanged(record) => {
                    if let Some(suppressed) = self.member_line_limit.allow(now) {
                        log::info!(
                            target: "members",
                            daemon:% = record.info.replica(),
                            state:? = record.info.state,
                            health:? = record.health,
                            version = record.version,
                            lines_passed_over = suppressed;
                            "A member changed."
                        );
                    }
                    self.handle_member_incarnation(&record.info, now);
                }
                MembershipAction::FactChanged(fact) => self.fact_changed(&fact),
                MembershipAction::Superseded { by } => {
                    log::error!(target: "members", "A later life of this daemon runs: {by}.");
                    self.actions.push(Action::Stop { superseded_by: by });
                }
            }
        }
    }

    /// Keeps a document for daemons that cannot read it themselves.
    pub(crate) fn share_document(&mut self, document: SharedDocument) {
        let SharedDocument { number, version, bytes } = document;
        self.membership.publish(FactKey::Document(number), version, bytes);
    }

    /// Keeps a document that others have by the same way.
    pub(crate) fn keep_document(&mut self, document: SharedDocument) {
        let SharedDocument { number, version, bytes } = document;
        self.membership.publish_without_spreading(FactKey::Document(number), version, bytes);
    }

    /// Tells others of attempts at a back end that failed here.
    pub(crate) fn report_backend_failure(&mut self, failure: &BackendFailure) {
        // A later life of this daemon begins above all versions of this one.
        const REPORTS_PER_LIFE_BITS: u32 = 20;
        self.failure_report_count += 1;
        let own = self.settings.own;
        let version = (own.incarnation.0 << REPORTS_PER_LIFE_BITS) + self.failure_report_count;
        let backend = failure.backend.clone();
        let key = FactKey::BackendFailure { backend, reporter: own.daemon };
        self.membership.publish(key, version, vec![failure.failures]);
    }

    /// A voter whose daemon lost its memory or its disk is replaced without waiting for the next
    /// regular look, and one that can be reached now is asked for its vote.
    fn handle_member_incarnation(&mut self, info: &MemberInfo, now: Timestamp) {
        for group in self.groups.values_mut() {
            group.replica.peer_address_found(info.replica(), now);
        }
        let is_earlier = |replica: ReplicaId| {
            replica.daemon == info.daemon && replica.incarnation < info.incarnation
        };
        let holds_earlier =
            |group: &Group| group.is_serving() && group.replica.members().all().any(is_earlier);
        if self.groups.values().any(holds_earlier) {
            self.next_upkeep = self.next_upkeep.min(now);
        }
    }

    fn fact_changed(&mut self, fact: &Fact) {
        if let FactKey::Document(number) = fact.key {
            let bytes = fact.bytes.to_vec();
            let document = SharedDocument { number, version: fact.version, bytes };
            self.actions.push(Action::DocumentShared(document));
            return;
        }
        if let FactKey::BackendFailure { backend, .. } = &fact.key {
            let failures = fact.bytes.first().copied().unwrap_or_default();
            let failure = BackendFailure { backend: backend.clone(), failures };
            self.actions.push(Action::BackendFailureReported(failure));
            return;
        }
        if let FactKey::Group(_) = fact.key
            && let Some(description) = decode(&fact.bytes)
        {
            let group = description.group;
            // Whoever answered last may have handed over since. Without this a gateway that holds
            // no replica would read on at the former owner for good.
            if self.directory.merge(description) {
                self.router.drop_hint(group);
            }
        }
    }

    /// Where a daemon listens.
    pub(crate) fn address(&self, daemon: DaemonId) -> Option<SocketAddr> {
        if daemon == self.settings.own.daemon {
            return Some(self.settings.address);
        }
        self.membership.member(daemon).map(|member| member.record.info.address)
    }

    /// Daemons that answer and take work, this one included.
    pub(crate) fn live_members(&self) -> Vec<MemberInfo> {
        let members = self.membership.members();
        members.into_iter().filter(Member::takes_work).map(|member| member.record.info).collect()
    }

    /// Other daemons that hold groups and are not known to be dead. Each group begins at another
    /// one, so that questions are spread.
    pub(crate) fn other_holders(&self, group: GroupId) -> Vec<DaemonId> {
        let own = self.settings.own.daemon;
        let members = self.membership.members();
        let is_holder = |record: &MemberRecord| {
            record.info.holds_groups && record.health != Health::Dead && record.info.daemon != own
        };
        let records = members.iter().map(|member| &member.record);
        let mut holders: Vec<DaemonId> =
            records.filter(|record| is_holder(record)).map(|record| record.info.daemon).collect();
        let first = (group.0 as usize).checked_rem(holders.len()).unwrap_or(0);
        holders.rotate_left(first);
        holders
    }

    /// All daemons known with the groups that each leads, as far as known here.
    pub fn daemon_views(&self) -> Vec<DaemonView> {
        let mut led: BTreeMap<DaemonId, u32> = BTreeMap::new();
        for group in self.group_ids() {
            if let Some(owner) = self.owner_hint(group) {
                *led.entry(owner).or_default() += 1;
            }
        }
        let view = |member: Member| {
            let daemon = member.record.info.daemon;
            DaemonView {
                groups_led: led.get(&daemon).copied().unwrap_or(0),
                generation: self.generation_of(daemon),
                member,
            }
        };
        self.membership.members().into_iter().map(view).collect()
    }

    /// A connection to a daemon broke: it may have died.
    pub(crate) fn connection_lost(&mut self, peer: ReplicaId, now: Timestamp) {
        self.membership_event(MembershipEvent::ConnectionLost(peer.daemon), now);
        self.router.drop_hints_to(peer.daemon);
        for group in self.groups.values_mut() {
            group.replica.peer_disconnected(peer, now);
            self.dirty.insert(group.id());
        }
    }

    /// Tells all daemons where a group is that this node owns.
    pub(crate) fn publish_group(&mut self, id: GroupId) {
        let Some(group) = self.groups.get(&id).filter(|group| group.is_serving()) else {
            return;
        };
        let description = GroupDescription::of_leader(
            id,
            group.replica.members(),
            group.members_index,
            self.settings.own,
            group.replica.term(),
        );
        self.membership.publish(FactKey::Group(id), description.version(), encode(&description));
        self.directory.merge(description);
    }

    /// Says to all that this daemon is about to stop.
    pub(crate) fn announce_leaving(&mut self) {
        self.membership.set_state(MemberState::Leaving);
    }
}

fn encode(description: &GroupDescription) -> Vec<u8> {
    let encoded = bincode::serde::encode_to_vec(description, bincode::config::standard());
    encoded.expect("a description has only plain fields")
}

fn decode(bytes: &[u8]) -> Option<GroupDescription> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|(description, _)| description)
}
