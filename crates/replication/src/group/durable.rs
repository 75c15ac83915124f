//! The state that a replica needs after its machine lost power, as incremental changes and as an image.
//!
//! The replica records changes, and the driver takes them with
//! [`Replica::take_durable_change`](super::Replica::take_durable_change). A change must be on the disk
//! before the driver sends any output that was added since the change before it, except for messages
//! that [`Replica::may_send_unsynced`](super::Replica::may_send_unsynced) allows.

use bytes::Bytes;
use dahlia_types::{GroupId, LogIndex, ReplicaId, Term};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::{LogEntry, Members, Snapshot};

/// The persistent state of a replica besides its log. It has the lifetime of the identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The vote in that term.
    pub voted_for: Option<ReplicaId>,
    /// Term and index of the last entry before the replica was emptied.
    pub last_before_retirement: (Term, LogIndex),
    /// Latest configuration under which a leader treated this replica as a member.
    pub member_as_of: LogIndex,
}

/// The complete durable state of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableReplica {
    /// The group.
    pub group: GroupId,
    /// Its term, vote and related state.
    pub hard_state: HardState,
    /// The state machine after an applied entry. Without data, the state machine is empty.
    pub base: Snapshot,
    /// The log entries after `base`.
    pub entries: Vec<LogEntry>,
}

/// The difference to the replica's last recorded change.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DurableUpdate {
    /// The initial voters, if none were known before.
    pub initial_members: Option<Members>,
    /// The hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// Entries at and after this index are replaced by `entries`.
    pub entries_from: Option<LogIndex>,
    /// The log from `entries_from` on.
    pub entries: Vec<LogEntry>,
}

/// A change that must become durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DurableChange {
    /// The complete state of a replica, which replaces everything recorded of its group before.
    Image(Box<DurableReplica>),
    /// A difference to what was recorded before.
    Update {
        /// The group.
        group: GroupId,
        /// The difference.
        update: DurableUpdate,
    },
}

impl DurableChange {
    /// The group.
    pub fn group(&self) -> GroupId {
        match self {
            Self::Image(image) => image.group,
            Self::Update { group, .. } => *group,
        }
    }
}

/// An update that does not continue the entries recorded before it.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{group} has entries {base} to {last}, but the update starts at {from}"))]
pub struct GapError {
    group: GroupId,
    base: LogIndex,
    last: LogIndex,
    from: LogIndex,
}

impl DurableReplica {
    /// Applies an update.
    ///
    /// # Errors
    /// [`GapError`] if entries are missing between the two; nothing was changed.
    pub fn apply(&mut self, update: DurableUpdate) -> Result<(), GapError> {
        let DurableUpdate { initial_members, hard_state, entries_from, entries } = update;
        if let Some(from) = entries_from {
            let (base, last) = (self.base.index, self.last_index());
            let follows = from > base && from <= last.next();
            ensure!(follows, GapSnafu { group: self.group, base, last, from });
            self.entries.truncate((from.0 - base.0 - 1) as usize);
            self.entries.extend(entries);
        }
        if let Some(members) = initial_members
            && self.base.members == Members::default()
        {
            self.base.members = members;
        }
        if let Some(hard_state) = hard_state {
            self.hard_state = hard_state;
        }
        Ok(())
    }

    /// The last entry.
    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.base.index.0 + self.entries.len() as u64)
    }
}

/// Changes of a replica that the driver has not taken yet.
#[derive(Debug, Clone, Default)]
pub(super) struct DurableJournal {
    /// Whether changes are recorded.
    pub is_enabled: bool,
    /// The hard state that was taken last.
    pub last_taken: HardState,
    /// The first entry that is new or was replaced.
    pub entries_from: Option<LogIndex>,
    /// The initial voters, if they were set after the replica was created.
    pub initial_members: Option<Members>,
    /// Set if the log is new or was replaced: then the next change is an image with this base.
    pub base: Option<Snapshot>,
}

impl DurableJournal {
    /// Records that the entries from `index` on are new, replaced or dropped.
    pub fn record_entries(&mut self, index: LogIndex) {
        if self.is_enabled {
            let first = self.entries_from.map_or(index, |from| from.min(index));
            self.entries_from = Some(first);
        }
    }

    /// Records that the log was replaced and now starts after `base`.
    pub fn record_base(&mut self, base: Snapshot) {
        if self.is_enabled {
            self.base = Some(base);
            self.entries_from = None;
            self.initial_members = None;
        }
    }

    /// Records initial voters that were set after the replica was created.
    pub fn record_initial_members(&mut self, members: &Members) {
        match &mut self.base {
            Some(base) if base.members == Members::default() => base.members = members.clone(),
            Some(_) => {}
            None if self.is_enabled => self.initial_members = Some(members.clone()),
            None => {}
        }
    }
}

/// The state machine before its first entry.
pub(super) fn initial_base(members: Members) -> Snapshot {
    Snapshot { index: LogIndex(0), term: Term(0), members, data: Bytes::new() }
}
