//! What a replica must find again after its machine lost power, as changes and as a whole.
//!
//! The replica notes what changed and the driver takes it out with
//! [`Replica::take_durable_change`](super::Replica::take_durable_change). A change must be on the disk before
//! anything leaves that was put into the outputs since the change before it, except for what
//! [`Replica::may_send_unsynced`](super::Replica::may_send_unsynced) names.

use bytes::Bytes;
use dahlia_types::{GroupId, LogIndex, ReplicaId, Term};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::{LogEntry, Members, Snapshot};

/// What a replica promised besides its log. It lives as long as the replica's identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The vote in that term.
    pub voted_for: Option<ReplicaId>,
    /// Term and index of the last entry before the replica was emptied.
    pub last_before_retirement: (Term, LogIndex),
    /// Latest configuration by which a leader treated this replica as a member.
    pub member_as_of: LogIndex,
}

/// All that is durable of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableReplica {
    /// The group.
    pub group: GroupId,
    /// What it promised.
    pub hard_state: HardState,
    /// The state machine after an applied entry. Without data it is the empty state machine.
    pub base: Snapshot,
    /// The entries after that.
    pub entries: Vec<LogEntry>,
}

/// What became different since the last change of the same replica.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DurableUpdate {
    /// The first voters, where none were known.
    pub initial_members: Option<Members>,
    /// What it promised, when that changed.
    pub hard_state: Option<HardState>,
    /// Entries at and after this index are replaced by `entries`.
    pub entries_from: Option<LogIndex>,
    /// The log from `entries_from` on.
    pub entries: Vec<LogEntry>,
}

/// A change that must be durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DurableChange {
    /// Everything of a replica: replaces all that was recorded of its group before.
    Image(Box<DurableReplica>),
    /// An addition to what was recorded before.
    Update {
        /// The group.
        group: GroupId,
        /// What became different.
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

/// An update that does not follow from what was recorded before it.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{group} has entries {base} to {last}, the update goes on at {from}"))]
pub struct GapError {
    group: GroupId,
    base: LogIndex,
    last: LogIndex,
    from: LogIndex,
}

impl DurableReplica {
    /// Takes an update in.
    ///
    /// # Errors
    /// [`GapError`] when entries are missing between the two; nothing was changed.
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

/// What a replica has changed and nobody took yet.
#[derive(Debug, Clone, Default)]
pub(super) struct Journal {
    /// Whether anything is noted at all.
    pub is_on: bool,
    /// What was taken last.
    pub taken: HardState,
    /// The first entry that is new or was replaced.
    pub entries_from: Option<LogIndex>,
    /// The first voters, when they were learnt late.
    pub initial_members: Option<Members>,
    /// The log was replaced, or is new: the next change is an image on this base.
    pub base: Option<Snapshot>,
}

impl Journal {
    /// Notes that the entries from `index` on are new, replaced or dropped.
    pub fn note_entries(&mut self, index: LogIndex) {
        if self.is_on {
            let first = self.entries_from.map_or(index, |from| from.min(index));
            self.entries_from = Some(first);
        }
    }

    /// Notes that the log begins anew after `base`.
    pub fn note_base(&mut self, base: Snapshot) {
        if self.is_on {
            self.base = Some(base);
            self.entries_from = None;
            self.initial_members = None;
        }
    }

    /// Notes first voters that a replica learnt after it came into being.
    pub fn note_initial_members(&mut self, members: &Members) {
        match &mut self.base {
            Some(base) if base.members == Members::default() => base.members = members.clone(),
            Some(_) => {}
            None if self.is_on => self.initial_members = Some(members.clone()),
            None => {}
        }
    }
}

/// The state machine before its first entry.
pub(super) fn empty_base(members: Members) -> Snapshot {
    Snapshot { index: LogIndex(0), term: Term(0), members, data: Bytes::new() }
}
