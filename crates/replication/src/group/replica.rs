//! One replica of a group: its state and public interface.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use dahlia_types::{Duration, GroupId, LogIndex, ReplicaId, Term, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::durable::Journal;
use super::log::Log;
use super::members::{NotReadyTransferSnafu, NotVoterTransferSnafu};
use super::output::{NotLeaderSnafu, OverloadedSnafu, TooLargeSnafu};
use super::progress::Peer;
use super::snapshot::Incoming;
use super::{
    EntryData, GroupBody, GroupMessage, GroupSettings, LogEntry, Members, Output, Proposal,
    ProposeError, Role, Snapshot, TransferError,
};

/// A leadership that is being handed over.
#[derive(Debug, Clone, Copy)]
pub(super) struct Transfer {
    pub to: ReplicaId,
    /// When the leader gives up and goes on leading.
    pub deadline: Timestamp,
    /// Whether the target was told to stand.
    pub is_sent: bool,
}

/// What only a leader keeps.
#[derive(Debug, Clone, Default)]
pub(super) struct Leading {
    pub peers: BTreeMap<ReplicaId, Peer>,
    pub next_heartbeat: Timestamp,
    /// The entry that opened the term.
    pub first_index: LogIndex,
    /// Payload bytes after the last committed entry.
    pub uncommitted_bytes: usize,
    pub transfer: Option<Transfer>,
}

/// A replica of one group. See the module's page for the protocol.
///
/// After each call of [`step`](Self::step), [`tick`](Self::tick), [`propose`](Self::propose) or a
/// change, the driver takes the outputs. Proposals made between two takes leave as one batch.
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
    /// Elections that it stood in since it last knew a leader.
    pub(super) lost_elections: u32,
    pub(super) log: Log,
    pub(super) committed: LogIndex,
    /// Last entry put into the outputs.
    pub(super) delivered: LogIndex,
    /// Last entry that the driver has taken.
    pub(super) applied: LogIndex,
    /// Members by the entry that set them; the first is the one in force at the log's base.
    pub(super) configurations: Vec<(LogIndex, Members)>,
    /// Term and index of the last entry before it was emptied; see [`Self::retire`].
    pub(super) last_before_retirement: (Term, LogIndex),
    /// Latest configuration by which a leader treated this replica as a member.
    pub(super) member_as_of: LogIndex,
    /// Set when a member said that this replica was removed; cleared when it is added again.
    pub(super) is_removed: bool,
    pub(super) leading: Leading,
    pub(super) incoming: Option<Incoming>,
    pub(super) snapshot: Option<Snapshot>,
    pub(super) is_snapshot_asked: bool,
    /// Set from a recovery until a leader is known.
    pub(super) is_recovering: bool,
    /// How often it has drawn a wait since then.
    pub(super) recovery_asks: u64,
    pub(super) journal: Journal,
    announced: (Role, Term, Option<ReplicaId>),
    pub(super) outputs: Vec<Output>,
}

impl Replica {
    /// A first voter of a new group.
    ///
    /// Call it once in the life of an identifier, and only for the voters that the platform's
    /// compare-and-swap has fixed: a second bootstrap would forget a vote.
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
        replica.role = replica.resting_role();
        replica.announced.0 = replica.role;
        if is_first {
            // The layout wants it to lead: it asks before the others' timeouts end.
            replica.election_deadline = now + replica.settings.heartbeat_interval();
        }
        replica.record_beginning();
        replica
    }

    /// An empty learner that waits to be added by the group's leader.
    ///
    /// It votes only when a candidate's configuration names exactly this identifier. A former
    /// incarnation of the daemon has another identifier, and messages to that are dropped.
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
            lost_elections: 0,
            log: Log::default(),
            committed: LogIndex(0),
            delivered: LogIndex(0),
            applied: LogIndex(0),
            configurations: vec![(LogIndex(0), Members::default())],
            last_before_retirement: (Term(0), LogIndex(0)),
            member_as_of: LogIndex(0),
            is_removed: false,
            leading: Leading::default(),
            incoming: None,
            snapshot: None,
            is_snapshot_asked: false,
            is_recovering: false,
            recovery_asks: 0,
            journal: Journal::default(),
            announced: (Role::Learner, Term(0), None),
            outputs: Vec::new(),
        };
        replica.reset_election_deadline();
        replica.record_beginning();
        replica
    }

    /// Tells a replica that a message brought into being before its daemon knew the group's
    /// layout who the first voters are. Without effect once it knows a configuration.
    ///
    /// The first layout stands in no entry of the log: a first voter that never learns it would
    /// follow and acknowledge, and never stand for election.
    pub fn set_initial_voters(&mut self, voters: Vec<ReplicaId>, now: Timestamp) {
        self.advance(now);
        let Some((LogIndex(0), members)) = self.configurations.first_mut() else {
            return;
        };
        if *members != Members::default() {
            return;
        }
        *members = Members::of_voters(voters);
        self.journal.note_initial_members(members);
        if self.role == Role::Learner {
            self.role = self.resting_role();
            self.announce();
        }
    }

    /// Empties a removed replica and makes it a learner that may be added again.
    ///
    /// The term and vote stay: forgetting them would allow a second vote in one term. So does the
    /// last entry's place: a candidate that lags may still count this replica as a voter, and an
    /// empty log would let it win without the entries that this replica helped to commit.
    pub fn retire(&mut self, now: Timestamp) {
        let seed = self.random.random();
        let mut empty = Self::join(self.id, self.group, self.settings.clone(), seed, now);
        empty.term = self.term;
        empty.voted_for = self.voted_for;
        empty.member_as_of = self.member_as_of;
        if !self.settings.faults.forget_retired_log {
            empty.last_before_retirement = self.last_for_votes();
        }
        empty.announced.1 = self.term;
        // The new beginning is recorded as an image, which holds the promises kept.
        *self = empty;
    }

    /// Appends a command. See [`Proposal`] for how to learn what comes of it.
    ///
    /// # Errors
    /// [`ProposeError`]; the command is in no log.
    pub fn propose(&mut self, payload: Vec<u8>, now: Timestamp) -> Result<Proposal, ProposeError> {
        self.advance(now);
        let size = payload.len();
        let limit = self.settings.max_payload_bytes;
        if size > limit {
            return TooLargeSnafu { size, limit }.fail();
        }
        if let Some(transfer) = self.leading.transfer {
            return NotLeaderSnafu { leader: Some(transfer.to), term: self.term }.fail();
        }
        if self.role != Role::Leader {
            return NotLeaderSnafu { leader: self.leader, term: self.term }.fail();
        }
        let uncommitted = self.leading.uncommitted_bytes;
        let limit = self.settings.max_uncommitted_bytes;
        if uncommitted + size > limit {
            return OverloadedSnafu { uncommitted, limit }.fail();
        }
        let index = self.append_own(EntryData::Command(Bytes::from(payload)));
        Ok(Proposal { index, term: self.term })
    }

    /// Takes in a message.
    pub fn step(&mut self, message: GroupMessage, now: Timestamp) {
        self.advance(now);
        if !self.accepts(&message) {
            return;
        }
        if message.term < self.term {
            self.answer_stale(&message);
            return;
        }
        if message.term > self.term && !self.take_higher_term(&message) {
            return;
        }
        self.handle(message);
    }

    /// Lets time pass: elections, heartbeats, retransmission, check-quorum.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance(now);
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.now >= self.election_deadline {
            self.start_pre_vote();
        }
    }

    /// Asks for votes now instead of waiting for a timeout. Costs no safety: a pre-vote still
    /// shows first whether others would agree.
    pub fn campaign(&mut self, now: Timestamp) {
        self.advance(now);
        if self.role != Role::Leader {
            self.start_pre_vote();
        }
    }

    /// When the next tick has something to do, unless a message comes first.
    pub fn next_deadline(&self) -> Timestamp {
        if self.role == Role::Leader {
            return self.leading.next_heartbeat;
        }
        self.election_deadline
    }

    /// The connection to a daemon broke: its process has most likely ended.
    ///
    /// Only a hint that shortens the wait for an election; a wrong one costs no safety.
    pub fn peer_disconnected(&mut self, peer: ReplicaId, now: Timestamp) {
        self.advance(now);
        if let Some(progress) = self.leading.peers.get_mut(&peer) {
            progress.probe();
        }
        if self.leader == Some(peer) && self.role != Role::Leader {
            self.leader = None;
            let wait = self.random.random_range(0..=self.settings.heartbeat_interval().0);
            self.election_deadline = self.now + Duration(wait);
            self.announce();
        }
    }

    /// The address of a voter has become known. A recovered replica that asked before could not
    /// reach it, so it asks again soon instead of waiting out the pause.
    pub fn peer_address_found(&mut self, peer: ReplicaId, now: Timestamp) {
        self.advance(now);
        let is_asking = self.is_recovering && self.leader.is_none();
        if is_asking && self.members().voters.contains(&peer) {
            self.ask_again_soon();
        }
    }

    /// What the driver must do since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        if self.role == Role::Leader {
            self.send_to_all();
        }
        self.applied = self.delivered;
        let outputs = std::mem::take(&mut self.outputs);
        self.drop_applied_entries();
        outputs
    }

    /// Hands leadership over to a voter once it has the whole log. Proposals are refused until
    /// it leads or an election timeout has passed.
    ///
    /// # Errors
    /// [`TransferError`]; this replica goes on leading.
    pub fn transfer_leadership(&mut self, to: ReplicaId) -> Result<(), TransferError> {
        if !self.is_leader_ready() || self.leading.transfer.is_some() {
            return NotReadyTransferSnafu.fail();
        }
        if to == self.id || !self.members().voters.contains(&to) {
            return NotVoterTransferSnafu { to }.fail();
        }
        let deadline = self.now + self.settings.election_timeout();
        self.leading.transfer = Some(Transfer { to, deadline, is_sent: false });
        Ok(())
    }

    /// This replica.
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

    /// Its term: the group's epoch.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The term's leader, when known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The members by the last configuration in the log, committed or not.
    pub fn members(&self) -> &Members {
        // The list is never empty: it starts with one and truncation keeps committed ones.
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

    /// Whether it leads and has committed an entry of its own term, so that everything that
    /// earlier leaders committed is in its outputs.
    pub fn is_leader_ready(&self) -> bool {
        self.role == Role::Leader && self.committed >= self.leading.first_index
    }

    /// Entries kept, with their term, for checkers.
    #[doc(hidden)]
    pub fn log_entries(&self) -> impl Iterator<Item = &LogEntry> {
        let first = self.log.base_index().0 + 1;
        (first..=self.log.last_index().0).filter_map(|index| self.log.get(LogIndex(index)))
    }

    /// Takes the present role for the one that the driver knows.
    pub(super) fn set_announced(&mut self) {
        self.announced = (self.role, self.term, self.leader);
    }

    pub(super) fn advance(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
    }

    pub(super) fn is_voter(&self) -> bool {
        !self.is_removed && self.members().voters.contains(&self.id)
    }

    pub(super) fn resting_role(&self) -> Role {
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

    /// Tells the driver of a new role, term or leader.
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

/// A seed of its own for each replica, so that election timeouts differ.
fn mix_seed(seed: u64, id: ReplicaId, group: GroupId) -> u64 {
    const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
    let place = (u64::from(id.daemon.0) << 32) | u64::from(group.0);
    let mixed = (seed ^ place.wrapping_mul(ODD)).wrapping_mul(ODD);
    mixed ^ id.incarnation.0.wrapping_mul(ODD).rotate_left(31)
}
