//! Commands to ledgers by way of another daemon.
//!
//! A gateway may be cut off from the daemons that hold groups while other gateways reach them. A
//! command that has no answer soon goes to one of those as well, which puts it to the owner by its
//! own direct way. It may so reach the owner twice; ledgers take a repeated command for the first.
//! Bounds: one daemon on the way, a few helpers for a command, a number of commands at a helper.

use dahlia_replication::membership::Health;
use dahlia_types::{DaemonId, GroupId, Timestamp};

use crate::Action;
use crate::node::Node;
use crate::request::Request;
use crate::routing::{ReplyTo, RoutedRequest};
use crate::wire::PeerMessage;

impl Node {
    /// Asks helpers for the commands whose direct way is silent.
    pub(crate) fn ask_helpers(&mut self, now: Timestamp) {
        let helpless = self.router.take_helpless(now);
        if !helpless.is_empty() {
            self.doubt_zones(now);
        }
        for (id, request) in helpless {
            let candidates = self.possible_helpers(request.group());
            let Some(helper) = self.router.choose_helper(id, &candidates) else { continue };
            let Some(to) = self.address(helper) else { continue };
            log::debug!(
                target: "ledger",
                group:% = request.group(), helper:% = helper;
                "A command goes by way of another daemon."
            );
            let message = PeerMessage::Forward { id, request, reply_to: self.settings.address };
            self.actions.push(Action::Send { to, message });
        }
    }

    /// Daemons that are present and do not own the group themselves.
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

    /// Puts a command of another daemon to its owner.
    pub(crate) fn take_for_other(&mut self, reply_to: ReplyTo, request: Request, now: Timestamp) {
        if !request.is_urgent() {
            log::warn!(target: "ledger", "Asked to pass on what is no command to a ledger.");
            return;
        }
        if self.owns(request.group()) {
            self.serve(reply_to, request, now);
            return;
        }
        let life = self.settings.own.incarnation;
        if !self.router.pass_on(request, reply_to, life, now) {
            log::warn!(target: "ledger", "Too many commands to pass on: one is dropped.");
            return;
        }
        self.route_due(now);
    }

    /// Learns from who answered a request: its owner, or a helper while the owner is silent here.
    pub(crate) fn note_answered_by(
        &mut self,
        daemon: DaemonId,
        routed: &RoutedRequest,
        now: Timestamp,
    ) {
        let group = routed.request.group();
        if !routed.was_helped_by(daemon) {
            self.router.set_hint(group, daemon);
            return;
        }
        let owner = self.owner_hint(group);
        let was_suspect = owner.is_some_and(|owner| self.router.is_suspect(owner, now));
        self.router.helped(daemon, owner, now);
        if !was_suspect {
            log::warn!(
                target: "ledger",
                group:% = group, helper:% = daemon;
                "The owner of a group is reached by way of another daemon only."
            );
        }
    }
}
