//! Terms, votes and elections.

use dahlia_types::{Duration, LogIndex, ReplicaId, Term, Timestamp};
use rand::Rng;

use super::replica::{Leading, Replica};
use super::{EntryData, GroupBody, GroupMessage, HeartbeatResponse, Output, Role, VoteRequest};

/// Doublings of a candidate's wait; bounds the shift.
const MOST_DOUBLINGS: u32 = 8;

impl Replica {
    /// Whether a message is meant for exactly this replica.
    pub(super) fn accepts(&mut self, message: &GroupMessage) -> bool {
        if message.group != self.group || !message.is_plausible() {
            return false;
        }
        if message.to == self.id {
            return true;
        }
        // An earlier incarnation's promises are forgotten; answering for it would break them.
        if self.settings.faults.accept_any_incarnation && message.to.daemon == self.id.daemon {
            self.id = message.to;
            return true;
        }
        false
    }

    /// Tells a sender of an earlier term that time went on, so that a stale leader steps down.
    pub(super) fn answer_stale(&mut self, message: &GroupMessage) {
        let body = match &message.body {
            GroupBody::Append(body) => stale_answer(body.session, body.sent),
            GroupBody::Heartbeat(body) => stale_answer(body.session, body.sent),
            GroupBody::SnapshotChunk(body) => stale_answer(body.session, body.sent),
            GroupBody::PreVote(_) => GroupBody::PreVoteResponse { granted: false },
            GroupBody::Vote(_) => GroupBody::VoteResponse { granted: false },
            GroupBody::Removed { index } => {
                self.take_removed(*index);
                return;
            }
            _ => return,
        };
        self.send(message.from, body);
    }

    /// Adopts a later term where the message asks for it. Returns whether to handle it further.
    pub(super) fn take_higher_term(&mut self, message: &GroupMessage) -> bool {
        match &message.body {
            GroupBody::PreVote(_) | GroupBody::PreVoteResponse { granted: true } => {}
            // A voter that hears its leader ignores others, so that a replica which was cut off
            // or removed cannot depose a working leader (Ongaro 2014, section 4.2.3).
            GroupBody::Vote(request) if !request.transfer && self.hears_leader() => return false,
            GroupBody::Append(_) | GroupBody::Heartbeat(_) | GroupBody::SnapshotChunk(_) => {
                self.become_follower(message.term, Some(message.from));
            }
            _ => self.become_follower(message.term, None),
        }
        true
    }

    pub(super) fn handle(&mut self, message: GroupMessage) {
        let from = message.from;
        match message.body {
            GroupBody::PreVote(request) => self.handle_pre_vote(from, message.term, request),
            GroupBody::PreVoteResponse { granted } => {
                self.handle_pre_vote_response(from, message.term, granted);
            }
            GroupBody::Vote(request) => self.handle_vote(from, request),
            GroupBody::VoteResponse { granted } => self.handle_vote_response(from, granted),
            GroupBody::Append(append) => self.handle_append(from, append),
            GroupBody::AppendResponse(response) => self.handle_append_response(from, response),
            GroupBody::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat),
            GroupBody::HeartbeatResponse(response) => {
                self.handle_heartbeat_response(from, response);
            }
            GroupBody::SnapshotChunk(chunk) => self.handle_snapshot_chunk(from, chunk),
            GroupBody::SnapshotResponse(response) => {
                self.handle_snapshot_response(from, response);
            }
            GroupBody::TimeoutNow => self.handle_timeout_now(),
            GroupBody::Removed { index } => self.take_removed(index),
        }
    }

    pub(super) fn reset_election_deadline(&mut self) {
        if self.is_recovering {
            self.election_deadline = self.now + self.recovery_wait();
            return;
        }
        let shortest = self.settings.election_timeout().0;
        let wait = self.random.random_range(shortest..=shortest * 2);
        self.election_deadline = self.now + Duration(wait);
    }

    /// A candidate that is not elected has most likely shared the votes with another one. It asks
    /// again soon, after a time drawn anew; the time doubles, since votes may also be slow in
    /// coming, e.g. from slow disks.
    fn await_votes(&mut self) {
        let longest = self.settings.election_timeout().0;
        let doublings = self.lost_elections.min(MOST_DOUBLINGS);
        let shortest = (self.settings.heartbeat_interval().0 << doublings).min(longest);
        self.lost_elections += 1;
        let wait = self.random.random_range(shortest..=shortest * 2);
        self.election_deadline = self.now + Duration(wait);
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
        }
        if self.role == Role::Leader || leader.is_some() {
            self.reset_election_deadline();
        }
        if leader != self.leader {
            self.incoming = None;
        }
        self.leader = leader;
        if leader.is_some() {
            self.leader_contact = self.now;
            self.lost_elections = 0;
        }
        self.leading = Leading::default();
        self.snapshot = None;
        self.is_snapshot_asked = false;
        self.votes.clear();
        self.role = self.resting_role();
        self.announce();
    }

    /// Asks whether an election could be won, without disturbing the term (thesis, 9.6).
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        if !self.is_voter() {
            self.ask_whether_member();
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = [self.id].into();
        self.announce();
        if self.has_votes() {
            self.start_election(false);
            return;
        }
        self.send_pre_votes();
    }

    fn send_pre_votes(&mut self) {
        let request = self.vote_request(false);
        let term = self.term.next();
        for voter in self.other_voters() {
            self.send_in_term(voter, term, GroupBody::PreVote(request));
        }
    }

    /// A learner without a leader sends pre-votes too, whose grants it ignores: the leader
    /// answers one that it has removed.
    fn ask_whether_member(&mut self) {
        if !self.is_removed && self.members().contains(self.id) {
            self.send_pre_votes();
        }
    }

    fn start_election(&mut self, transfer: bool) {
        self.term = self.term.next();
        self.voted_for = Some(self.id);
        self.role = Role::Candidate;
        self.leader = None;
        self.votes = [self.id].into();
        self.await_votes();
        self.announce();
        if self.has_votes() {
            self.become_leader();
            return;
        }
        let request = self.vote_request(transfer);
        for voter in self.other_voters() {
            self.send(voter, GroupBody::Vote(request));
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.is_recovering = false;
        self.lost_elections = 0;
        self.leader = Some(self.id);
        self.votes.clear();
        self.incoming = None;
        let uncommitted_bytes = self.log.payload_bytes_after(self.committed);
        self.leading = Leading { uncommitted_bytes, ..Leading::default() };
        // Entries of earlier terms count as committed only below one of this term (section 5.4.2).
        self.leading.first_index = self.append_own(EntryData::NoOp);
        self.adopt_members();
        self.announce();
    }

    fn vote_request(&self, transfer: bool) -> VoteRequest {
        VoteRequest { last_index: self.log.last_index(), last_term: self.log.last_term(), transfer }
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        self.members().voters.iter().copied().filter(|voter| *voter != self.id).collect()
    }

    fn has_votes(&self) -> bool {
        let voters = &self.members().voters;
        let votes = self.votes.iter().filter(|voter| voters.contains(voter)).count();
        votes >= self.quorum()
    }

    fn hears_leader(&self) -> bool {
        if self.role == Role::Leader {
            return true;
        }
        let silence = self.now.since(self.leader_contact);
        self.leader.is_some() && silence < self.settings.election_timeout()
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let candidate = (request.last_term, request.last_index);
        candidate >= self.last_for_votes() || self.settings.faults.no_log_comparison
    }

    /// Term and index that a candidate's last entry must reach.
    pub(super) fn last_for_votes(&self) -> (Term, LogIndex) {
        (self.log.last_term(), self.log.last_index()).max(self.last_before_retirement)
    }

    fn handle_pre_vote(&mut self, from: ReplicaId, term: Term, request: VoteRequest) {
        if self.tell_removed(from) {
            return;
        }
        let granted = term > self.term && !self.hears_leader() && self.is_up_to_date(&request);
        if granted {
            self.give_way(from, &request);
        }
        let answer_term = if granted { term } else { self.term };
        self.send_in_term(from, answer_term, GroupBody::PreVoteResponse { granted });
    }

    /// Lets a replica that was granted a pre-vote stand: else both would share the votes, and the
    /// group would wait for another round. The wait is short, since the other one may not be
    /// elected after all.
    fn give_way(&mut self, to: ReplicaId, request: &VoteRequest) {
        let is_asking = self.role == Role::PreCandidate;
        if is_asking && !self.yields_to(to, request) {
            return;
        }
        let short_wait = self.now + self.settings.heartbeat_interval();
        if is_asking {
            self.role = self.resting_role();
            self.votes.clear();
            self.election_deadline = short_wait;
            self.announce();
        }
        if self.is_recovering && is_asking {
            self.reset_election_deadline();
        } else if !self.is_recovering {
            self.election_deadline = self.election_deadline.max(short_wait);
        }
    }

    /// Of two that ask at the same time one gives up, the same on both sides: the one with the
    /// later log goes on, of equal ones that with the greater identifier.
    fn yields_to(&self, to: ReplicaId, request: &VoteRequest) -> bool {
        let (term, index) = self.last_for_votes();
        (request.last_term, request.last_index, to) > (term, index, self.id)
    }

    fn handle_pre_vote_response(&mut self, from: ReplicaId, term: Term, granted: bool) {
        let is_answer = self.role == Role::PreCandidate && term == self.term.next();
        if !granted || !is_answer {
            return;
        }
        self.votes.insert(from);
        if self.has_votes() {
            self.start_election(false);
        }
    }

    // A voter need not find itself in its own configuration: the candidate names it exactly, in
    // one that the voter may not have received yet. Refusing would leave a group without a
    // leader when the one that promoted the voter dies.
    fn handle_vote(&mut self, from: ReplicaId, request: VoteRequest) {
        let is_free = self.voted_for.is_none_or(|voted| voted == from) && self.leader.is_none();
        let granted = is_free && self.is_up_to_date(&request);
        if granted {
            self.voted_for = Some(from);
            self.reset_election_deadline();
        }
        self.send(from, GroupBody::VoteResponse { granted });
    }

    fn handle_vote_response(&mut self, from: ReplicaId, granted: bool) {
        if !granted || self.role != Role::Candidate {
            return;
        }
        self.votes.insert(from);
        if self.has_votes() {
            self.become_leader();
        }
    }

    fn handle_timeout_now(&mut self) {
        if self.is_voter() && self.role != Role::Leader {
            self.start_election(true);
        }
    }

    /// A leader tells a replica that it is no member any more. Returns whether it did.
    fn tell_removed(&mut self, replica: ReplicaId) -> bool {
        if !self.is_leader_ready() || self.members().contains(replica) {
            return false;
        }
        let index = self.configuration_index();
        if index > self.committed {
            return false;
        }
        self.send(replica, GroupBody::Removed { index });
        true
    }

    /// Takes in that a committed entry removed this replica, unless it was added again later.
    ///
    /// A leader that added it again has said so with a session above the removal, before
    /// anything that this replica acknowledged could count. So a late notice of an earlier
    /// removal never empties a member.
    pub(super) fn take_removed(&mut self, index: LogIndex) {
        let was_member = self.configurations.iter().any(|(_, members)| members.contains(self.id));
        let is_late = index <= self.member_as_of;
        if is_late || !was_member || self.is_removed || self.role == Role::Leader {
            return;
        }
        self.is_removed = true;
        self.role = self.resting_role();
        self.announce();
        self.outputs.push(Output::Removed { index });
    }
}

fn stale_answer(session: LogIndex, sent: Timestamp) -> GroupBody {
    GroupBody::HeartbeatResponse(HeartbeatResponse { session, sent })
}
