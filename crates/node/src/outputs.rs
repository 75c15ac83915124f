//! Processes the outputs of replicas: messages, committed entries, snapshots and role changes.

use dahlia_ledger::{LedgerCommand, LedgerReply};
use dahlia_program::{Command, CommandEffect, GroupState};
use dahlia_replication::group::{Entry, GroupMessage, Output, Role, Snapshot};
use dahlia_types::{Duration, GroupId, LogIndex, ReplicaId, Term, Timestamp};

use crate::Action;
use crate::group::{Group, ProposalPurpose, decode};
use crate::node::Node;
use crate::request::Response;

/// Logs the owner's decision on a turn, with the epoch and index of its entry.
fn log_ledger_decision(id: GroupId, entry: &Entry, command: &LedgerCommand, reply: &LedgerReply) {
    let Some(turn) = command.turn() else { return };
    log::info!(
        target: "ledger",
        request = turn.name(),
        program = command.program().map_or("-", |program| program.name()),
        group:% = id,
        command = command.name(),
        outcome = reply.name(),
        epoch = entry.term.0,
        entry = entry.index.0;
        "Decided."
    );
}

/// Logs a role change of a replica. Candidacy is only logged at debug level.
fn log_role_change(id: GroupId, role: Role, term: Term, leader: Option<ReplicaId>) {
    let level = match role {
        Role::PreCandidate | Role::Candidate => log::Level::Debug,
        Role::Leader | Role::Follower | Role::Learner => log::Level::Info,
    };
    let leader = leader.map_or_else(|| "-".to_owned(), |leader| leader.to_string());
    log::log!(
        target: "groups",
        level,
        group:% = id, role:? = role, term = term.0, leader = leader.as_str();
        "Role changed."
    );
}

/// The interval between checks for expired programs.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

impl Node {
    pub(crate) fn handle_replica_outputs(&mut self, id: GroupId, now: Timestamp) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        self.actions.extend(group.take_durable_change());
        for output in group.replica.take_outputs() {
            match output {
                Output::Send(message) => self.send_to_replica(message),
                Output::Committed(entry) => self.apply_entry(id, &entry, now),
                Output::Restore(snapshot) => self.restore_snapshot(id, &snapshot),
                Output::RoleChanged { role, term, leader } => {
                    log_role_change(id, role, term, leader);
                }
                Output::MembersChanged { index, .. } => self.members_changed(id, index),
                Output::SnapshotWanted => self.compact_log(id),
                Output::Removed { .. } => self.retire_replica(id, now),
            }
        }
        self.check_ownership(id, now);
    }

    fn send_to_replica(&mut self, message: GroupMessage) {
        let sender = self.groups.get(&message.group).filter(|_| self.settings.group.is_durable);
        let may_skip_sync = sender.is_some_and(|group| group.replica.may_send_unsynced(&message));
        let coalescer =
            if may_skip_sync { &mut self.unsynced_coalescer } else { &mut self.coalescer };
        coalescer.push(message);
    }

    /// Records a full image of a group.
    pub(crate) fn record_image(&mut self, id: GroupId) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let image = group.replica.durable_image(group.state.snapshot());
        self.actions.extend(image.map(|image| Action::Persist(Box::new(image))));
    }

    fn apply_entry(&mut self, id: GroupId, entry: &Entry, now: Timestamp) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let resolved = group.resolve_proposals(entry.index, entry.term);
        let command = decode(&entry.payload);
        let Some(command) = command else {
            // Every replica of this build skips the entry in the same way.
            log::error!(target: "groups", "Entry {} of {id} cannot be decoded.", entry.index);
            return;
        };
        let result = group.state.apply(entry.index, entry.term, &command);
        if let (Command::Ledger(ledger), Ok(CommandEffect::Ledger(reply)), true) =
            (&command, &result, group.is_serving())
        {
            log_ledger_decision(id, entry, ledger, reply);
        }
        let serving = group.is_serving();
        for purpose in resolved.lost {
            self.redirect_lost_proposal(id, purpose);
        }
        let own = resolved.committed;
        if serving {
            self.handle_applied_command(id, &command, result, own, now);
        } else if let Some(purpose) = own {
            self.redirect_lost_proposal(id, purpose);
        }
    }

    /// Redirects the requester of a proposal whose outcome is unknown here. The requester retries at the
    /// owner.
    pub(crate) fn redirect_lost_proposal(&mut self, id: GroupId, purpose: ProposalPurpose) {
        if let ProposalPurpose::Request(to) = purpose {
            let hint = self.owner_hint(id);
            self.reply(to, Response::NotOwner { hint });
        }
    }

    fn restore_snapshot(&mut self, id: GroupId, snapshot: &Snapshot) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        match GroupState::restore(&snapshot.data) {
            Ok(state) => group.state = self.settings.with_faults(state),
            Err(error) => log::error!(target: "groups", "Snapshot of {id} refused: {error}."),
        }
        let resolved = group.resolve_proposals(snapshot.index, snapshot.term);
        for purpose in resolved.committed.into_iter().chain(resolved.lost) {
            self.redirect_lost_proposal(id, purpose);
        }
    }

    fn members_changed(&mut self, id: GroupId, index: LogIndex) {
        if let Some(group) = self.groups.get_mut(&id) {
            group.members_index = index;
        }
        // Between two steps of a replacement the group tolerates fewer losses, so the next step must
        // not wait for the upkeep interval.
        self.next_upkeep = Timestamp::ZERO;
        self.publish_group(id);
    }

    fn compact_log(&mut self, id: GroupId) {
        if let Some(group) = self.groups.get_mut(&id) {
            let applied = group.replica.applied();
            let snapshot = group.state.snapshot();
            group.replica.provide_snapshot(applied, snapshot);
            self.dirty.insert(id);
        }
    }

    fn retire_replica(&mut self, id: GroupId, now: Timestamp) {
        if let Some(group) = self.groups.get_mut(&id) {
            group.replica.retire(now);
            group.state = self.settings.empty_state(id);
            if self.settings.group.is_durable {
                self.dirty.insert(id);
            }
        }
    }

    fn check_ownership(&mut self, id: GroupId, now: Timestamp) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let term = group.replica.term();
        let leads = group.replica.is_leader_ready();
        match group.serving_term {
            None if leads => {
                group.serving_term = Some(term);
                self.publish_group(id);
                self.assume_ownership(id, now);
            }
            Some(served_term) if !leads || served_term != term => {
                self.give_up_ownership(id, now);
                // A replica can lose and regain leadership between two checks.
                if leads {
                    self.check_ownership(id, now);
                }
            }
            _ => {}
        }
    }

    pub(crate) fn expire_programs(&mut self, now: Timestamp) {
        for group in self.groups.values_mut() {
            if group.is_serving() && now >= group.next_expiry {
                group.next_expiry = now + EXPIRY_INTERVAL;
                group.propose_expiry(self.settings.keep_records, now);
                self.dirty.insert(group.id());
            }
        }
    }

    pub(crate) fn propose_deferred(&mut self, now: Timestamp) {
        let waiting = |group: &&mut Group| !group.deferred_commands.is_empty();
        for group in self.groups.values_mut().filter(waiting) {
            for (command, purpose) in std::mem::take(&mut group.deferred_commands) {
                // Only a request's purpose is returned: the owner changed, so its requester retries.
                let _ = group.propose(command, purpose, now);
            }
            self.dirty.insert(group.replica.group());
        }
    }
}
