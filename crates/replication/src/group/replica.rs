//! The state of one replica of a group and its public interface.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use dahlia_types::{Duration, GroupId, LogIndex, ReplicaId, Term, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::durable::DurableJournal;
use super::log::Log;
use super::members::{NotReadyTransferSnafu, NotVoterTransferSnafu};
use super::output::{NotLeaderSnafu, OverloadedSnafu, TooLargeSnafu};
use super::progress::Peer;
use super::snapshot::IncomingSnapshot;
use super::{
    EntryData, GroupBody, GroupMessage, GroupSettings, LogEntry, Members, Output, Proposal,
    ProposeError, Role, Snapshot, TransferError,
};

/// A leadership transfer in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transfer {
    pub to: ReplicaId,
    /// When the leader cancels the transfer and continues to lead.
    pub deadline: Timestamp,
    /// Whether the target was asked to start an election.
    pub is_sent: bool,
}

/// The state that only a leader has.
#[derive(Debug, Clone, Default)]
pub(super) struct LeaderState {
    pub peers: BTreeMap<ReplicaId, Peer>,
    pub next_heartbeat: Timestamp,
    /// The first entry of the leader's term.
    pub term_start_index: LogIndex,
    /// Payload bytes after the last committed entry.
    pub uncommitted_bytes: usize,
    pub transfer: Option<Transfer>,
}

/// A replica of one group. See the module documentation for the protocol.
///
/// After each call of [`step`](Self::step), [`tick`](Self::tick), [`propose`](Self::propose) or a
/// change, the driver takes the outputs. Proposals made between two calls of
/// [`take_outputs`](Self::take_outputs) are sent as one batch.
#[derive(Debug, Clone)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) group: GroupId,
    pub(super) settings: GroupSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) now: Timestamp,
    pub(super) term: Term,
    pub(super) voted_for: Option<ReplicaId>,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    pub(super) leader_contact: Timestamp,
    pub(super) election_deadline: Timestamp,
    pub(super) votes: BTreeSet<ReplicaId>,
    /// Elections started since it last knew a leader.
    pub(super) failed_elections: u32,
    pub(super) log: Log,
    pub(super) committed: LogIndex,
    /// Last entry put into the outputs.
    pub(super) delivered: LogIndex,
    /// Last entry that the driver has taken from the outputs.
    pub(super) applied: LogIndex,
    /// Configurations with the index of the entry that set them. The first is in force at the log's
    /// base.
    pub(super) configurations: Vec<(LogIndex, Members)>,
    /// Term and index of the last entry before [`Self::retire`] emptied the log.
    pub(super) last_before_retirement: (Term, LogIndex),
    /// Latest configuration under which a leader treated this replica as a member.
    pub(super) member_as_of: LogIndex,
    /// Set when a member reports that this replica was removed; cleared when it is added again.
    pub(super) is_removed: bool,
    pub(super) leader_state: LeaderState,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) snapshot: Option<Snapshot>,
    pub(super) is_snapshot_requested: bool,
    /// Set after a recovery, until a leader is known.
    pub(super) is_recovering: bool,
    /// Election delays drawn since the recovery.
    pub(super) recovery_attempts: u64,
    pub(super) journal: DurableJournal,
    announced: (Role, Term, Option<ReplicaId>),
    pub(super) outputs: Vec<Output>,
}

impl Replica {
    /// Creates an initial voter of a new group.
    ///
    /// Call it once per identifier, and only for the voters that the platform's compare-and-swap has
    /// fixed: a second bootstrap would forget a vote.
    pub fn bootstrap(
        id: ReplicaId,
        group: GroupId,
        voters: Vec<ReplicaId>,
        settings: GroupSettings,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let mut replica = Self::join(id, group, settings, seed, now);
        let is_first = voters.first() == Some(&id);
        replica.configurations = vec![(LogIndex(0), Members::of_voters(voters))];
        replica.role = replica.follower_or_learner();
        replica.announced.0 = replica.role;
        if is_first {
            // The layout prefers it as the leader, so it asks for votes before the others' timeouts end.
            replica.election_deadline = now + replica.settings.heartbeat_interval();
        }
        replica.record_initial_state();
        replica
    }

    /// Creates an empty learner, which waits until the group's leader adds it.
    ///
    /// It votes only if a candidate's configuration names exactly this identifier. An earlier
    /// incarnation of the daemon has another identifier, and messages to that one are dropped.
    pub fn join(
        id: ReplicaId,
        group: GroupId,
        settings: GroupSettings,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let mut replica = Self {
            id,
            group,
            settings,
            random: ChaCha8Rng::seed_from_u64(mix_seed(seed, id, group)),
            now,
            term: Term(0),
            voted_for: None,
            role: Role::Learner,
            leader: None,
            leader_contact: Timestamp::ZERO,
            election_deadline: now,
            votes: BTreeSet::new(),
            failed_elections: 0,
            log: Log::default(),
            committed: LogIndex(0),
            delivered: LogIndex(0),
            applied: LogIndex(0),
            configurations: vec![(LogIndex(0), Members::default())],
            last_before_retirement: (Term(0), LogIndex(0)),
            member_as_of: LogIndex(0),
            is_removed: false,
            leader_state: LeaderState::default(),
            incoming: None,
            snapshot: None,
            is_snapshot_requested: false,
            is_recovering: false,
            recovery_attempts: 0,
            journal: DurableJournal::default(),
            announced: (Role::Learner, Term(0), None),
            outputs: Vec::new(),
        };
        replica.reset_election_deadline();
        replica.record_initial_state();
        replica
    }

    /// Sets the initial voters of a replica that was created for a message before its daemon knew the
    /// group's layout. It has no effect once the replica knows a configuration.
    ///
    /// The initial layout is in no entry of the log: an initial voter that never learns it would
    /// follow and acknowledge, but never start an election.
    pub fn set_initial_voters(&mut self, voters: Vec<ReplicaId>, now: Timestamp) {
        self.advance_time(now);
        let Some((LogIndex(0), members)) = self.configurations.first_mut() else {
            return;
        };
        if *members != Members::default() {
            return;
        }
        *members = Members::of_voters(voters);
        self.journal.record_initial_members(members);
        if self.role == Role::Learner {
            self.role = self.follower_or_learner();
            self.announce();
        }
    }

    /// Empties a removed replica and turns it into a learner that may be added again.
    ///
    /// It keeps the term and the vote, because forgetting them would allow a second vote in one term.
    /// It also keeps the position of the last entry: a lagging candidate may still count this replica
    /// as a voter, and with an empty log this replica would let it win without the entries that this
    /// replica helped to commit.
    pub fn retire(&mut self, now: Timestamp) {
        let seed = self.random.random();
        let mut empty = Self::join(self.id, self.group, self.settings.clone(), seed, now);
        empty.term = self.term;
        empty.voted_for = self.voted_for;
        empty.member_as_of = self.member_as_of;
        if !self.settings.faults.forget_retired_log {
            empty.last_before_retirement = self.last_entry_for_votes();
        }
        empty.announced.1 = self.term;
        // The emptied state is recorded as an image, which contains the term, the vote and the position.
        *self = empty;
    }

    /// Appends a command. See [`Proposal`] for how to learn its outcome.
    ///
    /// # Errors
    /// [`ProposeError`]; the command was not appended.
    pub fn propose(&mut self, payload: Vec<u8>, now: Timestamp) -> Result<Proposal, ProposeError> {
        self.advance_time(now);
        let size = payload.len();
        let limit = self.settings.max_payload_bytes;
        if size > limit {
            return TooLargeSnafu { size, limit }.fail();
        }
        if let Some(transfer) = self.leader_state.transfer {
            return NotLeaderSnafu { leader: Some(transfer.to), term: self.term }.fail();
        }
        if self.role != Role::Leader {
            return NotLeaderSnafu { leader: self.leader, term: self.term }.fail();
        }
        let uncommitted = self.leader_state.uncommitted_bytes;
        let limit = self.settings.max_uncommitted_bytes;
        if uncommitted + size > limit {
            return OverloadedSnafu { uncommitted, limit }.fail();
        }
        let index = self.append_in_own_term(EntryData::Command(Bytes::from(payload)));
        Ok(Proposal { index, term: self.term })
    }

    /// Handles a message.
    pub fn step(&mut self, message: GroupMessage, now: Timestamp) {
        self.advance_time(now);
        if !self.accepts(&message) {
            return;
        }
        if message.term < self.term {
            self.reject_stale_message(&message);
            return;
        }
        if message.term > self.term && !self.adopt_higher_term(&message) {
            return;
        }
        self.handle(message);
    }

    /// Advances time: starts elections, sends heartbeats, retransmits and checks the quorum.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance_time(now);
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.start_pre_vote();
        }
    }

    /// Asks for votes now instead of waiting for the election timeout. This is safe, because a
    /// pre-vote still shows first whether the others would agree.
    pub fn campaign(&mut self, now: Timestamp) {
        self.advance_time(now);
        if self.role != Role::Leader {
            self.start_pre_vote();
        }
    }

    /// When the next tick has work to do, unless a message arrives before.
    pub fn next_deadline(&self) -> Timestamp {
        if self.role == Role::Leader {
            return self.leader_state.next_heartbeat;
        }
        self.election_deadline
    }

    /// Reports that the connection to a peer broke, so its process has most likely ended.
    ///
    /// This is only a hint that shortens the delay before an election. A wrong hint is safe.
    pub fn peer_disconnected(&mut self, peer: ReplicaId, now: Timestamp) {
        self.advance_time(now);
        if let Some(progress) = self.leader_state.peers.get_mut(&peer) {
            progress.probe();
        }
        if self.leader == Some(peer) && self.role != Role::Leader {
            self.leader = None;
            let wait = self.random.random_range(0..=self.settings.heartbeat_interval().0);
            self.election_deadline = self.now + Duration(wait);
            self.announce();
        }
    }

    /// Reports that the address of a peer has become known. A recovered replica could not reach that
    /// voter before, so it asks for votes again soon instead of waiting for its deadline.
    pub fn peer_address_found(&mut self, peer: ReplicaId, now: Timestamp) {
        self.advance_time(now);
        let needs_leader = self.is_recovering && self.leader.is_none();
        if needs_leader && self.members().voters.contains(&peer) {
            self.advance_recovery_deadline();
        }
    }

    /// Takes the outputs since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        if self.role == Role::Leader {
            self.send_to_all();
        }
        self.applied = self.delivered;
        let outputs = std::mem::take(&mut self.outputs);
        self.drop_applied_entries();
        outputs
    }

    /// Transfers leadership to a voter once it has the whole log. Proposals are rejected until it
    /// leads or an election timeout has passed.
    ///
    /// # Errors
    /// [`TransferError`]; this replica continues to lead.
    pub fn transfer_leadership(&mut self, to: ReplicaId) -> Result<(), TransferError> {
        if !self.is_leader_ready() || self.leader_state.transfer.is_some() {
            return NotReadyTransferSnafu.fail();
        }
        if to == self.id || !self.members().voters.contains(&to) {
            return NotVoterTransferSnafu { to }.fail();
        }
        let deadline = self.now + self.settings.election_timeout();
        self.leader_state.transfer = Some(Transfer { to, deadline, is_sent: false });
        Ok(())
    }

    /// The identifier of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Its group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Its role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Its term, which is the group's epoch.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The term's leader, when known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The members in the last configuration in the log, committed or not.
    pub fn members(&self) -> &Members {
        // The list is never empty: it starts with one configuration, and truncation keeps committed ones.
        &self.configurations[self.configurations.len() - 1].1
    }

    /// The last entry known to be committed.
    pub fn committed(&self) -> LogIndex {
        self.committed
    }

    /// The last entry that the driver has taken, or that its last snapshot includes.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// The last entry in the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Whether it leads and has committed an entry of its own term, so that its outputs contain all
    /// entries that earlier leaders committed.
    pub fn is_leader_ready(&self) -> bool {
        self.role == Role::Leader && self.committed >= self.leader_state.term_start_index
    }

    /// The entries in the log, for invariant checkers.
    #[doc(hidden)]
    pub fn log_entries(&self) -> impl Iterator<Item = &LogEntry> {
        let first = self.log.base_index().0 + 1;
        (first..=self.log.last_index().0).filter_map(|index| self.log.get(LogIndex(index)))
    }

    /// Marks the present role, term and leader as known to the driver.
    pub(super) fn set_announced(&mut self) {
        self.announced = (self.role, self.term, self.leader);
    }

    pub(super) fn advance_time(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
    }

    pub(super) fn is_voter(&self) -> bool {
        !self.is_removed && self.members().voters.contains(&self.id)
    }

    pub(super) fn follower_or_learner(&self) -> Role {
        if self.is_voter() { Role::Follower } else { Role::Learner }
    }

    pub(super) fn quorum(&self) -> usize {
        let quorum = self.members().quorum();
        if self.settings.faults.short_quorum { (quorum - 1).max(1) } else { quorum }
    }

    pub(super) fn send(&mut self, to: ReplicaId, body: GroupBody) {
        self.send_in_term(to, self.term, body);
    }

    pub(super) fn send_in_term(&mut self, to: ReplicaId, term: Term, body: GroupBody) {
        let message = GroupMessage { group: self.group, from: self.id, to, term, body };
        self.outputs.push(Output::Send(message));
    }

    /// Reports a new role, term or leader to the driver.
    pub(super) fn announce(&mut self) {
        let current = (self.role, self.term, self.leader);
        if current == self.announced {
            return;
        }
        self.announced = current;
        let (role, term, leader) = current;
        self.outputs.push(Output::RoleChanged { role, term, leader });
    }
}

/// Derives a different seed for each replica, so that election timeouts differ.
fn mix_seed(seed: u64, id: ReplicaId, group: GroupId) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let key = (u64::from(id.daemon.0) << 32) | u64::from(group.0);
    let mixed = (seed ^ key.wrapping_mul(MULTIPLIER)).wrapping_mul(MULTIPLIER);
    mixed ^ id.incarnation.0.wrapping_mul(MULTIPLIER).rotate_left(31)
}
