//! Giving out what must be durable, and starting again from it.

use dahlia_types::{Duration, LogIndex, ReplicaId, Timestamp};
use rand::Rng;

use super::durable::{DurableChange, DurableReplica, DurableUpdate, HardState, empty_base};
use super::replica::Replica;
use super::{GroupBody, GroupMessage, GroupSettings, LogEntry, Members, Snapshot};

/// Heartbeats by which the pauses between a recovered replica's pre-votes grow at most.
const MOST_RECOVERY_PAUSES: u64 = 3;

impl Replica {
    /// The replica with this identifier, as it was when its last change became durable.
    ///
    /// Its promises hold as if it had only been silent, so it may vote and count as before. The
    /// driver first puts the state machine into the state of `durable.base`. Before a leader
    /// says so, nothing after that counts as committed.
    pub fn recover(
        id: ReplicaId,
        durable: DurableReplica,
        settings: GroupSettings,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let DurableReplica { group, hard_state, base, entries } = durable;
        let mut replica = Self::join(id, group, settings, seed, now);
        replica.term = hard_state.term;
        replica.voted_for = hard_state.voted_for;
        replica.last_before_retirement = hard_state.last_before_retirement;
        replica.member_as_of = hard_state.member_as_of;
        replica.log.reset(base.index, base.term);
        replica.committed = base.index;
        replica.delivered = base.index;
        replica.applied = base.index;
        // The first layout stands in no entry: while it is not known, it may still come.
        let is_unknown = base.members == Members::default();
        let set_at = if is_unknown { LogIndex(0) } else { base.index };
        replica.configurations = vec![(set_at, base.members)];
        for entry in entries {
            replica.push_entry(entry);
        }
        replica.role = replica.resting_role();
        replica.set_announced();
        replica.journal.taken = hard_state;
        replica.journal.base = None;
        replica.journal.entries_from = None;
        replica.is_recovering = true;
        replica.reset_election_deadline();
        replica
    }

    /// What must be durable before the outputs leave that were made since the last call. Call it
    /// before [`take_outputs`](Self::take_outputs). Always none unless the settings turn
    /// recording on.
    pub fn take_durable_change(&mut self) -> Option<DurableChange> {
        if !self.journal.is_on {
            return None;
        }
        if let Some(base) = self.journal.base.take() {
            return Some(self.record_image(base));
        }
        let hard_state = self.hard_state();
        let is_changed = hard_state != self.journal.taken;
        self.journal.taken = hard_state;
        let entries_from = self.journal.entries_from.take();
        let update = DurableUpdate {
            initial_members: self.journal.initial_members.take(),
            hard_state: is_changed.then_some(hard_state),
            entries_from,
            entries: entries_from.map_or_else(Vec::new, |from| self.entries_since(from)),
        };
        let is_empty = update == DurableUpdate::default();
        (!is_empty).then_some(DurableChange::Update { group: self.group, update })
    }

    /// Everything of this replica on a state machine that has applied [`Self::applied`], so that
    /// earlier changes need not be kept. Call it when all outputs were taken and carried out.
    pub fn durable_image(&mut self, data: Vec<u8>) -> Option<DurableChange> {
        let index = self.applied;
        let is_settled = self.journal.is_on && self.applied == self.delivered;
        let term = self.log.term_at(index).filter(|_| is_settled)?;
        let in_force = self.configurations.iter().rev().find(|(at, _)| *at <= index);
        let members = in_force.map(|(_, members)| members.clone()).unwrap_or_default();
        let base = Snapshot { index, term, members, data: data.into() };
        Some(self.record_image(base))
    }

    /// Whether a message may leave before what this replica recorded is durable.
    ///
    /// SAFETY: a leader's appends, heartbeats and snapshots promise nothing that it could
    /// forget. Its term became durable before it asked for votes. An entry that it sends counts
    /// as committed only through an answer, and the driver takes an answer in only after the
    /// sync of the batch in which the entry left (Ongaro 2014, section 10.2.1). A leader that
    /// is a quorum alone commits without an answer, by the configuration in force or by the
    /// committed one that it is about to leave: of it nothing leaves before its sync.
    pub fn may_send_unsynced(&self, message: &GroupMessage) -> bool {
        let is_of_leader = matches!(
            message.body,
            GroupBody::Append(_) | GroupBody::Heartbeat(_) | GroupBody::SnapshotChunk(_)
        );
        is_of_leader && self.needs_answers()
    }

    fn needs_answers(&self) -> bool {
        let committed = self.configurations.iter().rposition(|(at, _)| *at <= self.committed);
        let in_use = &self.configurations[committed.unwrap_or(0)..];
        in_use.iter().all(|(_, members)| members.quorum() > 1)
    }

    /// Notes that nothing of this replica is durable yet.
    pub(super) fn record_beginning(&mut self) {
        let members = self.members().clone();
        self.journal.is_on = self.settings.is_durable;
        self.journal.note_base(empty_base(members));
    }

    fn record_image(&mut self, base: Snapshot) -> DurableChange {
        let hard_state = self.hard_state();
        self.journal.taken = hard_state;
        self.journal.base = None;
        self.journal.entries_from = None;
        self.journal.initial_members = None;
        let entries = self.entries_since(base.index.next());
        let image = DurableReplica { group: self.group, hard_state, base, entries };
        DurableChange::Image(Box::new(image))
    }

    fn entries_since(&self, first: LogIndex) -> Vec<LogEntry> {
        let indices = first.0..=self.log.last_index().0;
        indices.filter_map(|index| self.log.get(LogIndex(index)).cloned()).collect()
    }

    fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            voted_for: self.voted_for,
            last_before_retirement: self.last_before_retirement,
            member_as_of: self.member_as_of,
        }
    }

    /// Draws the wait until the next pre-vote anew, as at the start; never makes it longer.
    pub(super) fn ask_again_soon(&mut self) {
        let wait = self.first_recovery_wait();
        self.election_deadline = self.election_deadline.min(self.now + wait);
    }

    /// Of those that ask at one moment one gives way; the draw makes that rare.
    fn first_recovery_wait(&mut self) -> Duration {
        let longest = self.settings.heartbeat_interval().0;
        Duration(self.random.random_range(longest / 8..=longest / 2))
    }

    /// After a loss of power of all machines no leader is left to wait for. A pre-vote costs a
    /// group that has a leader nothing, so a recovered replica asks at once, and again with
    /// growing pauses: the others may not be back, or their votes wait for slow syncs.
    pub(super) fn recovery_wait(&mut self) -> Duration {
        let first = self.first_recovery_wait();
        let pauses = self.recovery_asks.min(MOST_RECOVERY_PAUSES);
        self.recovery_asks += 1;
        Duration(first.0 + self.settings.heartbeat_interval().times(pauses).0)
    }
}
