//! Forwarding of commands to ledgers through another daemon, a helper.
//!
//! A gateway may be cut off from the daemons that hold groups while other gateways reach them. A command that
//! is not answered soon is also sent to such a gateway, which forwards it directly to the owner. The owner may
//! therefore receive a command twice; ledgers handle a repeated command like the first.
//!
//! Forwarding is bounded: one helper per path, a few helpers per command, and a number of commands per helper.

use dahlia_replication::membership::Health;
use dahlia_types::{DaemonId, GroupId, Timestamp};

use crate::Action;
use crate::node::Node;
use crate::request::Request;
use crate::routing::{ReplyTo, RoutedRequest};
use crate::wire::PeerMessage;

impl Node {
    /// Asks helpers to forward the commands that the owner has not answered directly.
    pub(crate) fn ask_helpers(&mut self, now: Timestamp) {
        let unanswered = self.router.take_requests_for_helpers(now);
        if !unanswered.is_empty() {
            self.suspect_all_zones(now);
        }
        for (id, request) in unanswered {
            let candidates = self.possible_helpers(request.group());
            let Some(helper) = self.router.choose_helper(id, &candidates) else { continue };
            let Some(to) = self.address(helper) else { continue };
            log::debug!(
                target: "ledger",
                group:% = request.group(), helper:% = helper;
                "A command is forwarded through another daemon."
            );
            let message = PeerMessage::Forward { id, request, reply_to: self.settings.address };
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Live daemons that are no possible owners of the group and whose zone is not silent.
    fn possible_helpers(&self, group: GroupId) -> Vec<DaemonId> {
        let own = self.settings.own.daemon;
        let owners = self.possible_owners(group);
        let members = self.membership.members();
        let records = members.iter().map(|member| &member.record);
        let present = records.filter(|record| record.health == Health::Alive);
        let daemons = present.map(|record| record.info.daemon);
        let others = daemons.filter(|daemon| *daemon != own && !owners.contains(daemon));
        others.filter(|daemon| !self.is_in_silent_zone(*daemon)).collect()
    }

    /// Forwards a command of another daemon to its owner.
    pub(crate) fn forward_command(&mut self, reply_to: ReplyTo, request: Request, now: Timestamp) {
        if !request.is_urgent() {
            log::warn!(target: "ledger", "A request to forward is not a command to a ledger: it is dropped.");
            return;
        }
        if self.owns(request.group()) {
            self.serve(reply_to, request, now);
            return;
        }
        let incarnation = self.settings.own.incarnation;
        if !self.router.add_forwarded(request, reply_to, incarnation, now) {
            log::warn!(target: "ledger", "Too many commands to forward: one is dropped.");
            return;
        }
        self.route_due(now);
    }

    /// Records who answered a request: its owner, or a helper while the owner is silent here.
    pub(crate) fn record_answer_from(
        &mut self,
        daemon: DaemonId,
        routed: &RoutedRequest,
        now: Timestamp,
    ) {
        let group = routed.request.group();
        if !routed.has_helper(daemon) {
            self.router.set_hint(group, daemon);
            return;
        }
        let owner = self.owner_hint(group);
        let was_suspect = owner.is_some_and(|owner| self.router.is_suspect(owner, now));
        self.router.record_help(daemon, owner, now);
        if !was_suspect {
            log::warn!(
                target: "ledger",
                group:% = group, helper:% = daemon;
                "The owner of a group is reached by way of another daemon only."
            );
        }
    }
}
