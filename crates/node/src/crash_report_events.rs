//! Connects the reports of ended servers to the node: its members, messages and actions.

use dahlia_replication::membership::{Member, MemberState};
use dahlia_types::{ReplicaId, Timestamp};

use crate::Action;
use crate::crash_reports::{CrashAction, CrashMessage, CrashRecord, CrashReports, GatewayMember};
use crate::node::Node;
use crate::request::RequestId;
use crate::wire::PeerMessage;

/// With fewer gateways in the region, those of other regions count as well.
const MIN_REGION_MEMBERS: usize = 3;

impl Node {
    /// Tells all gateways of ended servers, and asks what they know.
    pub(crate) fn consult_gateways(
        &mut self,
        id: RequestId,
        records: Vec<CrashRecord>,
        now: Timestamp,
    ) {
        // Questions are rare, and a gateway that has just joined must learn of this one.
        self.review_gateway_members(now);
        self.update_crash_reports(now, |reports| reports.consult(id, records, now));
    }

    pub(crate) fn receive_crash_message(
        &mut self,
        from: ReplicaId,
        message: CrashMessage,
        now: Timestamp,
    ) {
        self.update_crash_reports(now, |reports| reports.receive(from, message));
    }

    pub(crate) fn check_consultations(&mut self, now: Timestamp) {
        self.update_crash_reports(now, |reports| reports.tick(now));
    }

    /// Applies a change to the reports, with members that are up to date, and performs what follows.
    pub(crate) fn update_crash_reports(
        &mut self,
        now: Timestamp,
        update: impl FnOnce(&mut CrashReports),
    ) {
        if self.crash_reports.is_review_due(now) {
            self.review_gateway_members(now);
        }
        update(&mut self.crash_reports);
        for action in self.crash_reports.take_actions() {
            self.actions.push(match action {
                CrashAction::Send { to, message } => {
                    // It depends on nothing durable.
                    Action::SendUnsynced { to, message: PeerMessage::Crashes(message) }
                }
                CrashAction::Consulted { id, result } => Action::GatewaysConsulted { id, result },
                CrashAction::Received(report) => Action::CrashReportReceived(report),
            });
        }
    }

    fn review_gateway_members(&mut self, now: Timestamp) {
        let has_joined = self.membership.members().len() > 1;
        let members = self.gateway_members();
        self.crash_reports.set_members(members, has_joined, now);
    }

    /// Daemons without groups, which are the ones that serve callers.
    fn gateway_members(&self) -> Vec<GatewayMember> {
        let members = self.membership.members();
        let serves_callers = |member: &&Member| {
            let info = &member.record.info;
            !info.holds_groups && info.state == MemberState::Live
        };
        let gateways: Vec<&Member> = members.iter().filter(serves_callers).collect();
        let is_in_region = |member: &Member| member.record.info.region == self.settings.region;
        let in_region = gateways.iter().filter(|member| is_in_region(member)).count();
        let are_all_near = in_region < MIN_REGION_MEMBERS;
        let member = |member: &&Member| GatewayMember {
            daemon: member.record.info.daemon,
            address: member.record.info.address,
            is_live: member.takes_work(),
            is_near: are_all_near || is_in_region(member),
        };
        gateways.iter().map(member).collect()
    }
}
