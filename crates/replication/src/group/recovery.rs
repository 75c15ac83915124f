//! Durable changes of a replica, and recovery from them.

use dahlia_types::{Duration, LogIndex, ReplicaId, Timestamp};
use rand::Rng;

use super::durable::{DurableChange, DurableReplica, DurableUpdate, HardState, initial_base};
use super::replica::Replica;
use super::{GroupBody, GroupMessage, GroupSettings, LogEntry, Members, Snapshot};

/// Most heartbeat intervals by which the delay between a recovered replica's pre-votes grows.
const MAX_RECOVERY_BACKOFF_HEARTBEATS: u64 = 3;

impl Replica {
    /// Restores the replica with this identifier from its last durable change.
    ///
    /// Its term, vote and log hold as if it had only been unreachable, so it may vote and count as
    /// before. The driver first restores the state machine from `durable.base`. Later entries count as
    /// committed only when a leader reports it.
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
        // The initial layout is in no entry: while it is unknown, it may still be set.
        let is_unknown = base.members == Members::default();
        let set_at = if is_unknown { LogIndex(0) } else { base.index };
        replica.configurations = vec![(set_at, base.members)];
        for entry in entries {
            replica.push_entry(entry);
        }
        replica.role = replica.follower_or_learner();
        replica.set_announced();
        replica.journal.last_taken = hard_state;
        replica.journal.base = None;
        replica.journal.entries_from = None;
        replica.is_recovering = true;
        replica.reset_election_deadline();
        replica
    }

    /// Takes the change that must be durable before the outputs since the last call are sent. Call it
    /// before [`take_outputs`](Self::take_outputs). Always none unless the settings enable
    /// recording.
    pub fn take_durable_change(&mut self) -> Option<DurableChange> {
        if !self.journal.is_enabled {
            return None;
        }
        if let Some(base) = self.journal.base.take() {
            return Some(self.record_image(base));
        }
        let hard_state = self.hard_state();
        let is_changed = hard_state != self.journal.last_taken;
        self.journal.last_taken = hard_state;
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

    /// Returns an image of this replica with the state machine at [`Self::applied`], so that earlier
    /// changes can be dropped. Call it when all outputs were taken and carried out.
    pub fn durable_image(&mut self, data: Vec<u8>) -> Option<DurableChange> {
        let index = self.applied;
        let is_up_to_date = self.journal.is_enabled && self.applied == self.delivered;
        let term = self.log.term_at(index).filter(|_| is_up_to_date)?;
        let in_force = self.configurations.iter().rev().find(|(at, _)| *at <= index);
        let members = in_force.map(|(_, members)| members.clone()).unwrap_or_default();
        let base = Snapshot { index, term, members, data: data.into() };
        Some(self.record_image(base))
    }

    /// Whether a message may be sent before the recorded changes are durable.
    ///
    /// SAFETY: a leader's appends, heartbeats and snapshots do not depend on state that it could lose.
    /// Its term became durable before it requested votes. An entry that it sends is committed only
    /// through an answer, and the driver handles an answer only after the sync of the batch in which
    /// the entry was sent (Ongaro 2014, section 10.2.1). A leader that is a quorum alone, in the
    /// configuration in force or in the committed one that it is about to leave, commits without an
    /// answer, so it sends nothing before its sync.
    pub fn may_send_unsynced(&self, message: &GroupMessage) -> bool {
        let is_of_leader = matches!(
            message.body,
            GroupBody::Append(_) | GroupBody::Heartbeat(_) | GroupBody::SnapshotChunk(_)
        );
        is_of_leader && self.needs_acknowledgements()
    }

    fn needs_acknowledgements(&self) -> bool {
        let committed = self.configurations.iter().rposition(|(at, _)| *at <= self.committed);
        let in_use = &self.configurations[committed.unwrap_or(0)..];
        in_use.iter().all(|(_, members)| members.quorum() > 1)
    }

    /// Records that nothing of this replica is durable yet.
    pub(super) fn record_initial_state(&mut self) {
        let members = self.members().clone();
        self.journal.is_enabled = self.settings.is_durable;
        self.journal.record_base(initial_base(members));
    }

    fn record_image(&mut self, base: Snapshot) -> DurableChange {
        let hard_state = self.hard_state();
        self.journal.last_taken = hard_state;
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

    /// Draws a new delay until the next pre-vote, as after the start. The deadline never gets later.
    pub(super) fn advance_recovery_deadline(&mut self) {
        let delay = self.initial_recovery_delay();
        self.election_deadline = self.election_deadline.min(self.now + delay);
    }

    /// The delay is random, so that replicas rarely ask at the same moment and one of them has to yield.
    fn initial_recovery_delay(&mut self) -> Duration {
        let longest = self.settings.heartbeat_interval().0;
        Duration(self.random.random_range(longest / 8..=longest / 2))
    }

    /// The delay until the next pre-vote of a recovered replica. When all machines lost power, there is
    /// no leader to wait for. A pre-vote does not disturb a group that has a leader, so a recovered
    /// replica asks at once, and again with growing delays: the others may not have restarted, or
    /// their votes wait for slow syncs.
    pub(super) fn next_recovery_delay(&mut self) -> Duration {
        let initial = self.initial_recovery_delay();
        let extra_heartbeats = self.recovery_attempts.min(MAX_RECOVERY_BACKOFF_HEARTBEATS);
        self.recovery_attempts += 1;
        Duration(initial.0 + self.settings.heartbeat_interval().times(extra_heartbeats).0)
    }
}
