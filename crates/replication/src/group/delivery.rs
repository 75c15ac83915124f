//! Delivery of committed entries to the driver, and dropping of entries that are no longer needed.

use dahlia_types::{LogIndex, ReplicaId};

use super::replica::Replica;
use super::{Entry, EntryData, GroupBody, Members, Output, Role};

/// For a lagging peer in contact, the log retains up to this many times `retained_entries`.
const MAX_RETAINED_FACTOR: usize = 16;

impl Replica {
    /// Marks entries up to `index` as committed and adds them to the outputs.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        let index = index.min(self.log.last_index());
        if index <= self.committed {
            return;
        }
        self.committed = index;
        while self.delivered < self.committed {
            self.delivered = self.delivered.next();
            self.deliver(self.delivered);
        }
    }

    fn deliver(&mut self, index: LogIndex) {
        let Some(entry) = self.log.get(index) else { return };
        let uncommitted = &mut self.leader_state.uncommitted_bytes;
        *uncommitted = uncommitted.saturating_sub(entry.payload_bytes());
        match &entry.data {
            EntryData::NoOp => {}
            EntryData::Command(payload) => {
                let entry = Entry { index, term: entry.term, payload: payload.clone() };
                self.outputs.push(Output::Committed(entry));
            }
            EntryData::Members(members) => {
                let members = members.clone();
                self.outputs.push(Output::MembersChanged { index, members: members.clone() });
                self.members_committed(index, &members);
            }
        }
    }

    fn members_committed(&mut self, index: LogIndex, members: &Members) {
        if self.role == Role::Leader {
            let before = self.members_before(index);
            let removed: Vec<ReplicaId> =
                before.all().filter(|replica| !members.contains(*replica)).collect();
            for replica in removed {
                self.send(replica, GroupBody::Removed { index });
            }
        } else if !members.contains(self.id) {
            self.handle_removed(index);
        }
    }

    fn members_before(&self, index: LogIndex) -> Members {
        let earlier = self.configurations.iter().rev().find(|(at, _)| *at < index);
        earlier.map(|(_, members)| members.clone()).unwrap_or_default()
    }

    /// Drops applied entries that exceed what is retained for lagging peers.
    pub(super) fn drop_applied_entries(&mut self) {
        let floor = self.first_index_needed_by_peers();
        while self.log.base_index() < self.applied && self.has_surplus(floor) {
            self.log.drop_first();
        }
        let base = self.log.base_index();
        while self.configurations.get(1).is_some_and(|(index, _)| *index <= base) {
            self.configurations.remove(0);
        }
    }

    fn has_surplus(&self, floor: LogIndex) -> bool {
        let applied_entries = (self.applied.0 - self.log.base_index().0) as usize;
        let bytes = self.log.payload_bytes();
        if bytes > self.settings.max_uncommitted_bytes {
            return true;
        }
        let retained = self.settings.retained_entries;
        if applied_entries > retained.saturating_mul(MAX_RETAINED_FACTOR) {
            return true;
        }
        let is_over = applied_entries > retained || bytes > self.settings.retained_bytes;
        is_over && self.log.base_index() < floor
    }
}
