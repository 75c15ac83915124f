//! Tracks the daemons of the system and the locations of groups.

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

/// Maximum number of log lines per minute on member changes. Further lines are only counted.
pub(crate) const MAX_MEMBER_LINES_PER_MINUTE: u32 = 300;

/// A daemon as reported to operators.
#[derive(Debug, Clone)]
pub struct DaemonView {
    /// Its membership record.
    pub member: Member,
    /// Number of groups that it probably owns.
    pub groups_led: u32,
    /// The configuration generation that it last reported; none if it has not reported any.
    pub generation: Option<Generation>,
}

impl Node {
    /// Passes an event to membership and performs the resulting actions.
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
                    self.handle_member_change(&record.info, now);
                }
                MembershipAction::FactChanged(fact) => self.fact_changed(&fact),
                MembershipAction::Superseded { by, is_elsewhere } => {
                    self.supersede(by, is_elsewhere);
                }
            }
        }
    }

    /// Publishes a document for daemons that cannot read it themselves.
    pub(crate) fn share_document(&mut self, document: SharedDocument) {
        let SharedDocument { number, version, bytes } = document;
        self.membership.publish(FactKey::Document(number), version, bytes);
    }

    /// Keeps a document that other daemons obtain in the same way, without spreading it.
    pub(crate) fn keep_document(&mut self, document: SharedDocument) {
        let SharedDocument { number, version, bytes } = document;
        self.membership.publish_without_spreading(FactKey::Document(number), version, bytes);
    }

    /// Reports this daemon's failed attempts at a back end to other daemons.
    pub(crate) fn report_backend_failure(&mut self, failure: &BackendFailure) {
        // Versions of a later incarnation are higher than all versions of this one.
        const REPORTS_PER_INCARNATION_BITS: u32 = 20;
        self.failure_report_count += 1;
        let own = self.settings.own;
        let version =
            (own.incarnation.0 << REPORTS_PER_INCARNATION_BITS) + self.failure_report_count;
        let backend = failure.backend.clone();
        let key = FactKey::BackendFailure { backend, reporter: own.daemon };
        self.membership.publish(key, version, vec![failure.failures]);
    }

    /// Handles a changed member record. A voter whose daemon lost its memory or disk is replaced
    /// without waiting for the next regular upkeep. A voter that is now reachable is asked for its
    /// vote.
    fn handle_member_change(&mut self, info: &MemberInfo, now: Timestamp) {
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
            // The daemon that answered last may have transferred leadership since. If the hint stayed,
            // a gateway without a replica would read from the former owner forever.
            if self.directory.merge(description) {
                self.router.drop_hint(group);
            }
        }
    }

    /// Returns the address at which a daemon listens.
    pub(crate) fn address(&self, daemon: DaemonId) -> Option<SocketAddr> {
        if daemon == self.settings.own.daemon {
            return Some(self.settings.address);
        }
        self.membership.member(daemon).map(|member| member.record.info.address)
    }

    /// Returns the daemons that respond and accept work, including this one.
    pub(crate) fn live_members(&self) -> Vec<MemberInfo> {
        let members = self.membership.members();
        members.into_iter().filter(Member::takes_work).map(|member| member.record.info).collect()
    }

    /// Returns other daemons that hold groups and are not known to be dead. The list starts with a
    /// different daemon for each group to spread requests.
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

    /// Returns all known daemons with the number of groups that each is known to lead.
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

    /// Handles a lost connection to a daemon, which may have died.
    pub(crate) fn connection_lost(&mut self, peer: ReplicaId, now: Timestamp) {
        self.membership_event(MembershipEvent::ConnectionLost(peer.daemon), now);
        self.router.drop_hints_to(peer.daemon);
        for group in self.groups.values_mut() {
            group.replica.peer_disconnected(peer, now);
            self.dirty.insert(group.id());
        }
    }

    /// Publishes the description of a group that this node owns to all daemons.
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

    /// Announces to all daemons that this one is about to stop.
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
