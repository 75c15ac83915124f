//! Terms, votes and elections.

use dahlia_types::{Duration, LogIndex, ReplicaId, Term, Timestamp};
use rand::Rng;

use super::replica::{LeaderState, Replica};
use super::{EntryData, GroupBody, GroupMessage, HeartbeatResponse, Output, Role, VoteRequest};

/// Most doublings of a candidate's timeout, which bounds the shift.
const MAX_TIMEOUT_DOUBLINGS: u32 = 8;

impl Replica {
    /// Whether a message is plausible and addressed to exactly this replica.
    pub(super) fn accepts(&mut self, message: &GroupMessage) -> bool {
        if message.group != self.group || !message.is_plausible() {
            return false;
        }
        if message.to == self.id {
            return true;
        }
        // The state of an earlier incarnation is lost, so answering in its place would break its votes
        // and acknowledgements.
        if self.settings.faults.accept_any_incarnation && message.to.daemon == self.id.daemon {
            self.id = message.to;
            return true;
        }
        false
    }

    /// Answers a message of an earlier term with the current term, so that a stale leader steps down.
    pub(super) fn reject_stale_message(&mut self, message: &GroupMessage) {
        let body = match &message.body {
            GroupBody::Append(body) => stale_term_response(body.session, body.sent),
            GroupBody::Heartbeat(body) => stale_term_response(body.session, body.sent),
            GroupBody::SnapshotChunk(body) => stale_term_response(body.session, body.sent),
            GroupBody::PreVote(_) => GroupBody::PreVoteResponse { granted: false },
            GroupBody::Vote(_) => GroupBody::VoteResponse { granted: false },
            GroupBody::Removed { index } => {
                self.handle_removed(*index);
                return;
            }
            _ => return,
        };
        self.send(message.from, body);
    }

    /// Adopts a later term if the message requires it. Returns whether to handle the message further.
    pub(super) fn adopt_higher_term(&mut self, message: &GroupMessage) -> bool {
        match &message.body {
            GroupBody::PreVote(_) | GroupBody::PreVoteResponse { granted: true } => {}
            // A voter in contact with its leader ignores vote requests, so that a replica that was cut
            // off or removed cannot depose a working leader (Ongaro 2014, section 4.2.3).
            GroupBody::Vote(request) if !request.transfer && self.is_in_contact_with_leader() => {
                return false;
            }
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
            GroupBody::Removed { index } => self.handle_removed(index),
        }
    }

    pub(super) fn reset_election_deadline(&mut self) {
        if self.is_recovering {
            self.election_deadline = self.now + self.next_recovery_delay();
            return;
        }
        let shortest = self.settings.election_timeout().0;
        let wait = self.random.random_range(shortest..=shortest * 2);
        self.election_deadline = self.now + Duration(wait);
    }

    /// Sets the deadline of a candidate. A candidate that is not elected has most likely split the
    /// votes with another one, so it tries again soon, after a new random timeout. The timeout doubles
    /// each time, because votes may also be slow, for example because of slow disks.
    fn set_candidate_deadline(&mut self) {
        let longest = self.settings.election_timeout().0;
        let doublings = self.failed_elections.min(MAX_TIMEOUT_DOUBLINGS);
        let shortest = (self.settings.heartbeat_interval().0 << doublings).min(longest);
        self.failed_elections += 1;
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
            self.failed_elections = 0;
        }
        self.leader_state = LeaderState::default();
        self.snapshot = None;
        self.is_snapshot_requested = false;
        self.votes.clear();
        self.role = self.follower_or_learner();
        self.announce();
    }

    /// Asks whether an election could be won, without increasing the term (Ongaro 2014, section 9.6).
    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        if !self.is_voter() {
            self.check_membership_with_pre_vote();
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

    /// Sends pre-votes as a learner without a leader and ignores their grants: a leader that has removed
    /// this replica answers with that information.
    fn check_membership_with_pre_vote(&mut self) {
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
        self.set_candidate_deadline();
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
        self.failed_elections = 0;
        self.leader = Some(self.id);
        self.votes.clear();
        self.incoming = None;
        let uncommitted_bytes = self.log.payload_bytes_after(self.committed);
        self.leader_state = LeaderState { uncommitted_bytes, ..LeaderState::default() };
        // Entries of earlier terms are committed only through a later entry of this term (Ongaro and
        // Ousterhout 2014, section 5.4.2).
        self.leader_state.term_start_index = self.append_in_own_term(EntryData::NoOp);
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

    fn is_in_contact_with_leader(&self) -> bool {
        if self.role == Role::Leader {
            return true;
        }
        let contact_age = self.now.since(self.leader_contact);
        self.leader.is_some() && contact_age < self.settings.election_timeout()
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let candidate = (request.last_term, request.last_index);
        candidate >= self.last_entry_for_votes() || self.settings.faults.no_log_comparison
    }

    /// The term and index that a candidate's last entry must at least have.
    pub(super) fn last_entry_for_votes(&self) -> (Term, LogIndex) {
        (self.log.last_term(), self.log.last_index()).max(self.last_before_retirement)
    }

    fn handle_pre_vote(&mut self, from: ReplicaId, term: Term, request: VoteRequest) {
        if self.notify_if_removed(from) {
            return;
        }
        let granted =
            term > self.term && !self.is_in_contact_with_leader() && self.is_up_to_date(&request);
        if granted {
            self.yield_to_pre_candidate(from, &request);
        }
        let answer_term = if granted { term } else { self.term };
        self.send_in_term(from, answer_term, GroupBody::PreVoteResponse { granted });
    }

    /// Postpones the own election in favor of a replica that was granted a pre-vote. Otherwise both
    /// would split the votes, and the group would wait for another round. The delay is short, because
    /// the other replica may not be elected.
    fn yield_to_pre_candidate(&mut self, to: ReplicaId, request: &VoteRequest) {
        let is_pre_candidate = self.role == Role::PreCandidate;
        if is_pre_candidate && !self.is_outranked_by(to, request) {
            return;
        }
        let short_deadline = self.now + self.settings.heartbeat_interval();
        if is_pre_candidate {
            self.role = self.follower_or_learner();
            self.votes.clear();
            self.election_deadline = short_deadline;
            self.announce();
        }
        if self.is_recovering && is_pre_candidate {
            self.reset_election_deadline();
        } else if !self.is_recovering {
            self.election_deadline = self.election_deadline.max(short_deadline);
        }
    }

    /// Whether another pre-candidate takes precedence, so that both decide alike when two ask at the
    /// same time: the one with the later log continues, and with equal logs the one with the greater
    /// identifier.
    fn is_outranked_by(&self, to: ReplicaId, request: &VoteRequest) -> bool {
        let (term, index) = self.last_entry_for_votes();
        (request.last_term, request.last_index, to) > (term, index, self.id)
    }

    fn handle_pre_vote_response(&mut self, from: ReplicaId, term: Term, granted: bool) {
        let is_expected = self.role == Role::PreCandidate && term == self.term.next();
        if !granted || !is_expected {
            return;
        }
        self.votes.insert(from);
        if self.has_votes() {
            self.start_election(false);
        }
    }

    // The receiver need not be a voter in its own configuration: the candidate addresses exactly this
    // replica, by a configuration that it may not have received yet. Refusing the vote would leave a
    // group without a leader when the leader that promoted this voter dies.
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

    /// Informs a replica that it is no longer a member, if this is the leader. Returns whether it did.
    fn notify_if_removed(&mut self, replica: ReplicaId) -> bool {
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

    /// Handles the notice that a committed entry removed this replica, unless it was added again later.
    ///
    /// A leader that added it again has sent a session above the removal before any acknowledgement
    /// of this replica could count. A late notice of an earlier removal therefore never empties a
    /// member.
    pub(super) fn handle_removed(&mut self, index: LogIndex) {
        let was_member = self.configurations.iter().any(|(_, members)| members.contains(self.id));
        let is_late = index <= self.member_as_of;
        if is_late || !was_member || self.is_removed || self.role == Role::Leader {
            return;
        }
        self.is_removed = true;
        self.role = self.follower_or_learner();
        self.announce();
        self.outputs.push(Output::Removed { index });
    }
}

fn stale_term_response(session: LogIndex, sent: Timestamp) -> GroupBody {
    GroupBody::HeartbeatResponse(HeartbeatResponse { session, sent })
}
