//! The leader: log replication, commitment, heartbeats and check-quorum.

use dahlia_types::{Duration, LogIndex, ReplicaId, Timestamp};

use super::progress::{Peer, Sending};
use super::replica::Replica;
use super::{
    Append, AppendResponse, AppendResult, EntryData, GroupBody, Heartbeat, HeartbeatResponse,
    LogEntry, Output, Role,
};

impl Replica {
    /// Appends an entry in the leader's own term.
    pub(super) fn append_in_own_term(&mut self, data: EntryData) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = LogEntry { index, term: self.term, data };
        self.leader_state.uncommitted_bytes += entry.payload_bytes();
        self.push_entry(entry);
        self.advance_commit();
        index
    }

    /// Updates the role and the leader's peers to the members in force.
    pub(super) fn adopt_members(&mut self) {
        if self.is_removed && self.members().contains(self.id) {
            self.is_removed = false;
        }
        match self.role {
            Role::Leader => self.adopt_peers(),
            Role::Follower | Role::Learner => {
                self.role = self.follower_or_learner();
                self.announce();
            }
            Role::PreCandidate | Role::Candidate => {}
        }
    }

    fn adopt_peers(&mut self) {
        let members: Vec<ReplicaId> =
            self.members().all().filter(|member| *member != self.id).collect();
        let session = self.configuration_index();
        self.leader_state.peers.retain(|peer, _| members.contains(peer));
        for member in members {
            if self.leader_state.peers.contains_key(&member) {
                continue;
            }
            // Each membership has its own session: an acknowledgement from before a removal must not
            // count after the same replica was emptied and added again.
            let peer = Peer::new(session, self.log.last_index(), self.now);
            self.leader_state.peers.insert(member, peer);
        }
        self.advance_commit();
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.has_quorum_contact() && !self.settings.faults.no_check_quorum {
            // Others may have elected a new leader already, so callers must not wait for this one.
            self.become_follower(self.term, None);
            return;
        }
        if self.leader_state.transfer.is_some_and(|transfer| self.now >= transfer.deadline) {
            self.leader_state.transfer = None;
        }
        self.retransmit();
        if self.now >= self.leader_state.next_heartbeat {
            let interval = self.settings.heartbeat_interval().0;
            self.leader_state.next_heartbeat = Timestamp((self.now.0 / interval + 1) * interval);
            self.send_heartbeats();
        }
    }

    /// Whether a quorum answered a message that was sent within the last election timeout.
    ///
    /// It allows early rejection of proposals that could not be committed. It is not a lease: only a
    /// committed entry proves that this replica still leads.
    pub fn has_quorum_contact(&self) -> bool {
        let voters = &self.members().voters;
        let in_contact = voters.iter().filter(|voter| self.in_contact(**voter)).count();
        in_contact >= self.quorum()
    }

    /// Whether a member answered a message that was sent within the last election timeout.
    pub(super) fn in_contact(&self, member: ReplicaId) -> bool {
        self.was_in_contact_within(member, self.settings.election_timeout())
    }

    /// Whether a member answered a message that was sent less than `age` ago.
    pub(super) fn was_in_contact_within(&self, member: ReplicaId, age: Duration) -> bool {
        if member == self.id {
            return true;
        }
        let peer = self.leader_state.peers.get(&member);
        peer.is_some_and(|peer| self.now.since(peer.last_contact) < age)
    }

    /// Retransmits unanswered messages. Peers out of contact must answer a heartbeat first.
    fn retransmit(&mut self) {
        let timeout = self.settings.retransmit_timeout();
        let now = self.now;
        let contact_timeout = self.settings.election_timeout();
        for peer in self.leader_state.peers.values_mut() {
            let is_due = peer.oldest_in_flight().is_some_and(|sent| now.since(sent) >= timeout);
            if !is_due || now.since(peer.last_contact) >= contact_timeout {
                continue;
            }
            match &mut peer.sending {
                Sending::Snapshot { in_flight, .. } => *in_flight = None,
                _ => peer.probe(),
            }
        }
    }

    fn send_heartbeats(&mut self) {
        let now = self.now;
        let interval = self.settings.heartbeat_interval();
        let mut due = Vec::new();
        for (replica, peer) in &mut self.leader_state.peers {
            if now.since(peer.last_sent) < interval {
                continue;
            }
            peer.last_sent = now;
            let committed = self.committed.min(peer.matched);
            let heartbeat = Heartbeat { session: peer.session, sent: now, committed };
            due.push((*replica, heartbeat));
        }
        for (replica, heartbeat) in due {
            self.send(replica, GroupBody::Heartbeat(heartbeat));
        }
    }

    /// Sends every peer the entries that it lacks, within the limits.
    pub(super) fn send_to_all(&mut self) {
        let peers: Vec<ReplicaId> = self.leader_state.peers.keys().copied().collect();
        for replica in peers {
            self.send_to(replica);
        }
        self.send_timeout_now();
        self.drop_unused_snapshot();
    }

    fn send_to(&mut self, replica: ReplicaId) {
        while let Some(peer) = self.leader_state.peers.get_mut(&replica) {
            let has_more = peer.next <= self.log.last_index();
            let may_send = match &peer.sending {
                Sending::Probe { in_flight } => in_flight.is_none(),
                Sending::Pipeline { in_flight } => {
                    has_more && in_flight.len() < self.settings.max_in_flight_appends
                }
                Sending::AwaitSnapshot | Sending::Snapshot { .. } => {
                    self.send_snapshot(replica);
                    return;
                }
            };
            if !may_send {
                return;
            }
            if peer.next <= self.log.base_index() {
                peer.sending = Sending::AwaitSnapshot;
                continue;
            }
            self.send_append(replica);
        }
    }

    fn send_append(&mut self, replica: ReplicaId) {
        let Some(peer) = self.leader_state.peers.get_mut(&replica) else { return };
        let previous_index = LogIndex(peer.next.0 - 1);
        let Some(previous_term) = self.log.term_at(previous_index) else { return };
        let max_entries = self.settings.max_append_entries;
        let entries = self.log.batch(peer.next, max_entries, self.settings.max_append_bytes);
        let last = LogIndex(previous_index.0 + entries.len() as u64);
        peer.last_sent = self.now;
        match &mut peer.sending {
            Sending::Pipeline { in_flight } => {
                in_flight.push_back((last, self.now));
                peer.next = last.next();
            }
            Sending::Probe { in_flight } => *in_flight = Some(self.now),
            Sending::AwaitSnapshot | Sending::Snapshot { .. } => return,
        }
        let append = Append {
            session: peer.session,
            sent: self.now,
            previous_index,
            previous_term,
            committed: self.committed,
            entries,
        };
        self.send(replica, GroupBody::Append(append));
    }

    fn send_timeout_now(&mut self) {
        let Some(transfer) = self.leader_state.transfer else { return };
        let matched = self.leader_state.peers.get(&transfer.to).map(|peer| peer.matched);
        if transfer.is_sent || matched != Some(self.log.last_index()) {
            return;
        }
        self.leader_state.transfer = Some(super::replica::Transfer { is_sent: true, ..transfer });
        self.send(transfer.to, GroupBody::TimeoutNow);
    }

    /// Records the contact with the peer that sent an answer, and returns the peer. Returns none for an
    /// answer of an earlier session.
    pub(super) fn record_contact(
        &mut self,
        from: ReplicaId,
        session: LogIndex,
        sent: Timestamp,
    ) -> Option<&mut Peer> {
        let accept_any_session = self.settings.faults.accept_any_session;
        let peer = self.leader_state.peers.get_mut(&from)?;
        if peer.session != session && !accept_any_session {
            return None;
        }
        // The sending time counts, not the arrival time: an answer that was buffered while this
        // process was stopped does not prove present contact.
        peer.last_contact = peer.last_contact.max(sent);
        Some(peer)
    }

    pub(super) fn handle_heartbeat_response(
        &mut self,
        from: ReplicaId,
        response: HeartbeatResponse,
    ) {
        self.record_contact(from, response.session, response.sent);
    }

    pub(super) fn handle_append_response(&mut self, from: ReplicaId, response: AppendResponse) {
        let last = self.log.last_index();
        let base = self.log.base_index();
        let Some(peer) = self.record_contact(from, response.session, response.sent) else {
            return;
        };
        match response.result {
            AppendResult::Matched { index } => {
                if index <= last && peer.match_up_to(index) {
                    peer.resume_appends(base);
                    self.advance_commit();
                }
            }
            AppendResult::Rejected { previous_index, hint } => {
                let is_current = match &peer.sending {
                    Sending::Probe { .. } => previous_index.next() == peer.next,
                    Sending::Pipeline { .. } => previous_index > peer.matched,
                    Sending::AwaitSnapshot | Sending::Snapshot { .. } => false,
                };
                let agreed = hint.min(LogIndex(previous_index.0.saturating_sub(1)));
                // A rejection of entries that the peer acknowledged is outdated, or the peer lost them.
                // Probing at once would be rejected again at once, so the append is only retransmitted
                // after the timeout, as without an answer.
                if is_current && agreed >= peer.matched {
                    peer.probe();
                    peer.next = agreed.next();
                }
            }
        }
    }

    /// Commits the entries that a quorum of voters has.
    pub(super) fn advance_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let mut matched: Vec<LogIndex> = Vec::new();
        for voter in &self.members().voters {
            let is_self = *voter == self.id;
            let of_peer =
                self.leader_state.peers.get(voter).map_or(LogIndex(0), |peer| peer.matched);
            matched.push(if is_self { self.log.last_index() } else { of_peer });
        }
        matched.sort_unstable_by(|left, right| right.cmp(left));
        let Some(index) = matched.get(self.quorum() - 1).copied() else { return };
        // A quorum of copies does not commit an entry of an earlier term: a later leader may still
        // overwrite it (Ongaro and Ousterhout 2014, figure 8).
        let is_current_term = self.log.term_at(index) == Some(self.term);
        if is_current_term || self.settings.faults.commit_earlier_terms {
            self.commit_to(index);
        }
    }

    /// The first entry that a peer in contact may still need.
    pub(super) fn first_index_needed_by_peers(&self) -> LogIndex {
        let mut needed = LogIndex(u64::MAX);
        for (replica, peer) in &self.leader_state.peers {
            if !self.in_contact(*replica) {
                continue;
            }
            let from = match &peer.sending {
                Sending::Snapshot { snapshot, .. } => snapshot.index,
                Sending::AwaitSnapshot => continue,
                Sending::Probe { .. } if peer.matched == LogIndex(0) => continue,
                Sending::Probe { .. } | Sending::Pipeline { .. } => peer.matched,
            };
            needed = needed.min(from);
        }
        needed
    }

    /// Requests a snapshot from the driver, once until it is provided.
    pub(super) fn request_snapshot(&mut self) {
        if !self.is_snapshot_requested {
            self.is_snapshot_requested = true;
            self.outputs.push(Output::SnapshotWanted);
        }
    }
}
