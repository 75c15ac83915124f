//! Connects the tracking of streams' origins to the node: its members, messages and actions.

use dahlia_replication::membership::MemberInfo;
use dahlia_types::{ReplicaId, Timestamp};

use crate::Action;
use crate::node::Node;
use crate::request::RequestId;
use crate::stream_origins::{
    OriginAction, OriginMessage, OriginService, StreamKey, StreamRecord, WitnessCandidate,
};
use crate::wire::PeerMessage;

/// With fewer daemons in the region, daemons of other regions are told as well.
const MIN_REGION_MEMBERS: usize = 3;

impl Node {
    /// Tells other daemons where streams of this one began.
    pub(crate) fn record_streams(&mut self, streams: Vec<StreamRecord>, now: Timestamp) {
        self.review_origin_members(now);
        self.stream_origins.record(streams, now);
        self.perform_origin_actions();
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

    pub(crate) fn check_origin_questions(&mut self, now: Timestamp) {
        self.stream_origins.tick(now);
        self.perform_origin_actions();
    }

    fn review_origin_members(&mut self, now: Timestamp) {
        if self.stream_origins.is_review_due(now) {
            let members = self.witness_candidates();
            self.stream_origins.set_members(members, now);
        }
    }

    /// Live daemons without groups, which are the ones that serve streams.
    fn witness_candidates(&self) -> Vec<WitnessCandidate> {
        let members = self.live_members();
        let candidate = |info: &MemberInfo| WitnessCandidate {
            daemon: info.daemon,
            address: info.address,
            zone: info.zone.clone(),
        };
        let gateways: Vec<&MemberInfo> = members.iter().filter(|it| !it.holds_groups).collect();
        let in_region = gateways.iter().filter(|info| info.region == self.settings.region);
        let in_region: Vec<WitnessCandidate> = in_region.map(|info| candidate(info)).collect();
        match in_region.len() >= MIN_REGION_MEMBERS {
            true => in_region,
            false => gateways.into_iter().map(candidate).collect(),
        }
    }

    fn perform_origin_actions(&mut self) {
        for action in self.stream_origins.take_actions() {
            self.actions.push(match action {
                OriginAction::Send { to, message } => {
                    Action::Send { to, message: PeerMessage::Origins(message) }
                }
                OriginAction::Found { id, origin } => Action::OriginFound { id, origin },
            });
        }
    }
}
