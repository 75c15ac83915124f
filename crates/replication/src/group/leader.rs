//! Leading: sending the log, counting copies, heartbeats, check-quorum.

use dahlia_types::{Duration, LogIndex, ReplicaId, Timestamp};

use super::progress::{Peer, Sending};
use super::replica::Replica;
use super::{
    Append, AppendResponse, AppendResult, EntryData, GroupBody, Heartbeat, HeartbeatResponse,
    LogEntry, Output, Role,
};

impl Replica {
    /// Appends an entry of the leader's own term.
    pub(super) fn append_own(&mut self, data: EntryData) -> LogIndex {
        let index = self.log.last_index().next();
        let entry = LogEntry { index, term: self.term, data };
        self.leading.uncommitted_bytes += entry.payload_bytes();
        self.push_entry(entry);
        self.advance_commit();
        index
    }

    /// Brings the role and the leader's peers in line with the members in force.
    pub(super) fn adopt_members(&mut self) {
        if self.is_removed && self.members().contains(self.id) {
            self.is_removed = false;
        }
        match self.role {
            Role::Leader => self.adopt_peers(),
            Role::Follower | Role::Learner => {
                self.role = self.resting_role();
                self.announce();
            }
            Role::PreCandidate | Role::Candidate => {}
        }
    }

    fn adopt_peers(&mut self) {
        let members: Vec<ReplicaId> =
            self.members().all().filter(|member| *member != self.id).collect();
        let session = self.configuration_index();
        self.leading.peers.retain(|peer, _| members.contains(peer));
        for member in members {
            if self.leading.peers.contains_key(&member) {
                continue;
            }
            // A session per stay: an acknowledgement from before a removal must not count after
            // the same replica was emptied and added again.
            let peer = Peer::new(session, self.log.last_index(), self.now);
            self.leading.peers.insert(member, peer);
        }
        self.advance_commit();
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.has_quorum_contact() && !self.settings.faults.no_check_quorum {
            // Others may have elected a leader already; callers must not wait for this one.
            self.become_follower(self.term, None);
            return;
        }
        if self.leading.transfer.is_some_and(|transfer| self.now >= transfer.deadline) {
            self.leading.transfer = None;
        }
        self.retransmit();
        if self.now >= self.leading.next_heartbeat {
            let interval = self.settings.heartbeat_interval().0;
            self.leading.next_heartbeat = Timestamp((self.now.0 / interval + 1) * interval);
            self.send_heartbeats();
        }
    }

    /// Whether a quorum answered something sent within the last election timeout.
    ///
    /// For refusing early what could not be committed. It is no lease: only a committed entry
    /// proves that this replica still leads.
    pub fn has_quorum_contact(&self) -> bool {
        let voters = &self.members().voters;
        let in_contact = voters.iter().filter(|voter| self.in_contact(**voter)).count();
        in_contact >= self.quorum()
    }

    /// Whether a member answered something sent within the last election timeout.
    pub(super) fn in_contact(&self, member: ReplicaId) -> bool {
        self.was_heard_within(member, self.settings.election_timeout())
    }

    /// Whether a member answered something sent less than `age` ago.
    pub(super) fn was_heard_within(&self, member: ReplicaId, age: Duration) -> bool {
        if member == self.id {
            return true;
        }
        let peer = self.leading.peers.get(&member);
        peer.is_some_and(|peer| self.now.since(peer.last_contact) < age)
    }

    /// Sends again what was not answered. Silent peers wait for a heartbeat's answer first.
    fn retransmit(&mut self) {
        let timeout = self.settings.retransmit_timeout();
        let now = self.now;
        let silence = self.settings.election_timeout();
        for peer in self.leading.peers.values_mut() {
            let is_due = peer.oldest_in_flight().is_some_and(|sent| now.since(sent) >= timeout);
            if !is_due || now.since(peer.last_contact) >= silence {
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
        for (replica, peer) in &mut self.leading.peers {
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

    /// Sends every peer what it lacks, as far as the limits allow.
    pub(super) fn send_to_all(&mut self) {
        let peers: Vec<ReplicaId> = self.leading.peers.keys().copied().collect();
        for replica in peers {
            self.send_to(replica);
        }
        self.send_timeout_now();
        self.forget_unused_snapshot();
    }

    fn send_to(&mut self, replica: ReplicaId) {
        while let Some(peer) = self.leading.peers.get_mut(&replica) {
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
        let Some(peer) = self.leading.peers.get_mut(&replica) else { return };
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
        let Some(transfer) = self.leading.transfer else { return };
        let matched = self.leading.peers.get(&transfer.to).map(|peer| peer.matched);
        if transfer.is_sent || matched != Some(self.log.last_index()) {
            return;
        }
        self.leading.transfer = Some(super::replica::Transfer { is_sent: true, ..transfer });
        self.send(transfer.to, GroupBody::TimeoutNow);
    }

    /// The peer that an answer belongs to, with its contact noted.
    pub(super) fn answering_peer(
        &mut self,
        from: ReplicaId,
        session: LogIndex,
        sent: Timestamp,
    ) -> Option<&mut Peer> {
        let accept_any_session = self.settings.faults.accept_any_session;
        let peer = self.leading.peers.get_mut(&from)?;
        if peer.session != session && !accept_any_session {
            return None;
        }
        // The own sending time, not the time of arrival: an answer that waited in a buffer while
        // this process was stopped is no sign of present contact.
        peer.last_contact = peer.last_contact.max(sent);
        Some(peer)
    }

    pub(super) fn handle_heartbeat_response(
        &mut self,
        from: ReplicaId,
        response: HeartbeatResponse,
    ) {
        self.answering_peer(from, response.session, response.sent);
    }

    pub(super) fn handle_append_response(&mut self, from: ReplicaId, response: AppendResponse) {
        let last = self.log.last_index();
        let base = self.log.base_index();
        let Some(peer) = self.answering_peer(from, response.session, response.sent) else {
            return;
        };
        match response.result {
            AppendResult::Matched { index } => {
                if index <= last && peer.match_up_to(index) {
                    peer.leave_snapshot(base);
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
                // An answer that denies what the peer acknowledged is old, or the peer forgot it.
                // Asking at once would be denied at once: it is asked again as if it were silent.
                if is_current && agreed >= peer.matched {
                    peer.probe();
                    peer.next = agreed.next();
                }
            }
        }
    }

    /// Commits what a quorum of voters holds.
    pub(super) fn advance_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let mut matched: Vec<LogIndex> = Vec::new();
        for voter in &self.members().voters {
            let is_self = *voter == self.id;
            let of_peer = self.leading.peers.get(voter).map_or(LogIndex(0), |peer| peer.matched);
            matched.push(if is_self { self.log.last_index() } else { of_peer });
        }
        matched.sort_unstable_by(|left, right| right.cmp(left));
        let Some(index) = matched.get(self.quorum() - 1).copied() else { return };
        // Copies of an entry of an earlier term prove nothing: a later leader may still
        // overwrite it (Ongaro and Ousterhout 2014, figure 8).
        let is_own = self.log.term_at(index) == Some(self.term);
        if is_own || self.settings.faults.commit_earlier_terms {
            self.commit_to(index);
        }
    }

    /// The first entry that a peer in contact may still ask for.
    pub(super) fn needed_by_peers(&self) -> LogIndex {
        let mut needed = LogIndex(u64::MAX);
        for (replica, peer) in &self.leading.peers {
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

    /// Asks the driver for a snapshot, once until it comes.
    pub(super) fn ask_snapshot(&mut self) {
        if !self.is_snapshot_asked {
            self.is_snapshot_asked = true;
            self.outputs.push(Output::SnapshotWanted);
        }
    }
}
