//! Connects the tracking of streams' origins to the node: its members, messages and actions.

use std::collections::BTreeMap;

use dahlia_replication::membership::{Member, MemberInfo, MemberState};
use dahlia_types::{Region, ReplicaId, Timestamp};

use crate::node::Node;
use crate::request::RequestId;
use crate::settings::NodeSettings;
use crate::stream_origins::{
    OriginAction, OriginMembers, OriginMessage, OriginService, OriginView, StreamKey,
    StreamOrigins, StreamRecord, VIEWS_DOCUMENT, WitnessCandidate,
};
use crate::wire::PeerMessage;
use crate::{Action, SharedDocument};

/// With fewer daemons in the region, daemons of other regions are told as well.
const MIN_REGION_MEMBERS: usize = 3;

impl Node {
    /// Tells other daemons where streams of this one began.
    pub(crate) fn record_streams(&mut self, streams: Vec<StreamRecord>, now: Timestamp) {
        self.review_origin_members(now);
        self.stream_origins.record(streams, now);
        self.perform_origin_actions();
    }

    /// Sets the views of services, which other daemons are told.
    pub(crate) fn set_origin_views(
        &mut self,
        views: Vec<(OriginService, OriginView)>,
        now: Timestamp,
    ) {
        self.review_origin_members(now);
        self.stream_origins.set_views(views, now);
        self.perform_origin_actions();
    }

    /// Takes in the views of services that this daemon saved before its start.
    pub(crate) fn restore_origin_views(&mut self, document: &SharedDocument, now: Timestamp) {
        self.stream_origins.restore_views(document.version, &document.bytes, now);
    }

    /// Finds out where a stream of another daemon began.
    pub(crate) fn find_origin(
        &mut self,
        id: RequestId,
        stream: StreamKey,
        service: OriginService,
        now: Timestamp,
    ) {
        self.review_origin_members(now);
        self.stream_origins.find(id, stream, service, now);
        self.perform_origin_actions();
    }

    pub(crate) fn receive_origin_message(
        &mut self,
        from: ReplicaId,
        message: OriginMessage,
        now: Timestamp,
    ) {
        self.stream_origins.receive(from, message, now);
        self.perform_origin_actions();
    }

    pub(crate) fn check_stream_origins(&mut self, now: Timestamp) {
        if self.stream_origins.has_views() {
            self.review_origin_members(now);
        }
        self.stream_origins.tick(now);
        self.perform_origin_actions();
    }

    fn review_origin_members(&mut self, now: Timestamp) {
        if self.stream_origins.is_review_due(now) {
            let members = self.origin_members();
            self.stream_origins.set_members(members, now);
        }
    }

    /// Daemons without groups, which are the ones that serve streams: those of the region, if they are enough.
    fn origin_members(&self) -> OriginMembers {
        let members = self.membership.members();
        // Alone in its membership, a daemon has not joined yet.
        if members.len() < 2 {
            return OriginMembers::default();
        }
        let serves_streams = |member: &&Member| {
            let info = &member.record.info;
            !info.holds_groups && info.state == MemberState::Live
        };
        let gateways: Vec<&Member> = members.iter().filter(serves_streams).collect();
        let in_region = |member: &&&Member| member.record.info.region == self.settings.region;
        let near: Vec<&Member> = gateways.iter().filter(in_region).copied().collect();
        let chosen = if near.len() >= MIN_REGION_MEMBERS { near } else { gateways };
        let live = chosen.iter().filter(|member| member.takes_work());
        OriginMembers {
            live: live.map(|member| witness_candidate(&member.record.info)).collect(),
            known: chosen.len(),
            keepers: self.origin_keepers(),
        }
    }

    /// Daemons that hold groups, by region, the own one first. They outlive gateways.
    fn origin_keepers(&self) -> Vec<Vec<WitnessCandidate>> {
        let mut regions: BTreeMap<(bool, &Region), Vec<WitnessCandidate>> = BTreeMap::new();
        let members = self.membership.members();
        for member in members.iter().filter(|member| member.takes_work()) {
            let info = &member.record.info;
            if info.holds_groups && info.state == MemberState::Live {
                let is_distant = info.region != self.settings.region;
                let region = regions.entry((is_distant, &info.region)).or_default();
                region.push(witness_candidate(info));
            }
        }
        regions.into_values().collect()
    }

    fn perform_origin_actions(&mut self) {
        for action in self.stream_origins.take_actions() {
            self.actions.push(match action {
                OriginAction::Send { to, message } => {
                    // It depends on nothing durable.
                    Action::SendUnsynced { to, message: PeerMessage::Origins(message) }
                }
                OriginAction::SaveViews { version, bytes } => {
                    let number = VIEWS_DOCUMENT;
                    Action::DocumentShared(SharedDocument { number, version, bytes })
                }
                OriginAction::Found { id, origin } => Action::OriginFound { id, origin },
            });
        }
    }
}

/// The state of a daemon at its start.
pub(crate) fn new_stream_origins(settings: &NodeSettings, now: Timestamp) -> StreamOrigins {
    let origins = StreamOrigins::new(settings.own, settings.address);
    if settings.is_first_start { origins } else { origins.with_unknown_past(now) }
}

fn witness_candidate(info: &MemberInfo) -> WitnessCandidate {
    WitnessCandidate { daemon: info.daemon, address: info.address, zone: info.zone.clone() }
}
