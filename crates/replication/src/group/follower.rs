//! The follower: accepting the leader's log.

use dahlia_types::{LogIndex, ReplicaId};

use super::replica::Replica;
use super::{
    Append, AppendResponse, AppendResult, EntryData, GroupBody, Heartbeat, HeartbeatResponse,
    LogEntry, Role,
};

impl Replica {
    /// Accepts the sender as the leader of the current term.
    pub(super) fn follow(&mut self, leader: ReplicaId, session: LogIndex) {
        self.member_as_of = self.member_as_of.max(session);
        if self.leader != Some(leader) || !matches!(self.role, Role::Follower | Role::Learner) {
            self.become_follower(self.term, Some(leader));
        }
        self.leader_contact = self.now;
        self.is_recovering = false;
        self.reset_election_deadline();
    }

    pub(super) fn handle_heartbeat(&mut self, from: ReplicaId, heartbeat: Heartbeat) {
        if self.role == Role::Leader {
            return;
        }
        self.follow(from, heartbeat.session);
        self.commit_to(heartbeat.committed);
        let Heartbeat { session, sent, .. } = heartbeat;
        self.send(from, GroupBody::HeartbeatResponse(HeartbeatResponse { session, sent }));
    }

    pub(super) fn handle_append(&mut self, from: ReplicaId, append: Append) {
        if self.role == Role::Leader {
            return;
        }
        self.follow(from, append.session);
        let Append { session, sent, previous_index, previous_term, committed, entries } = append;
        let last_sent = LogIndex(previous_index.0 + entries.len() as u64);
        let result = if self.has_entry(previous_index, previous_term) {
            self.store(entries);
            self.adopt_members();
            self.commit_to(committed.min(last_sent));
            AppendResult::Matched { index: last_sent }
        } else {
            AppendResult::Rejected { previous_index, hint: self.conflict_hint(previous_index) }
        };
        self.send(from, GroupBody::AppendResponse(AppendResponse { session, sent, result }));
    }

    fn has_entry(&self, index: LogIndex, term: dahlia_types::Term) -> bool {
        // Committed entries are equal in all logs, even if they were dropped here.
        if index <= self.committed {
            return true;
        }
        if self.settings.faults.no_previous_check {
            return index <= self.log.last_index();
        }
        self.log.term_at(index) == Some(term)
    }

    fn store(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            if entry.index <= self.committed {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.drop_entries_from(entry.index),
                None => {}
            }
            self.push_entry(entry);
        }
    }

    fn drop_entries_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.journal.record_entries(index);
        self.configurations.retain(|(at, _)| *at < index);
    }

    /// Appends an entry. Members that it sets are in force at once (Ongaro 2014, section 4.1).
    pub(super) fn push_entry(&mut self, entry: LogEntry) {
        if let EntryData::Members(members) = &entry.data {
            self.configurations.push((entry.index, members.clone()));
        }
        self.journal.record_entries(entry.index);
        self.log.push(entry);
    }

    fn conflict_hint(&self, previous_index: LogIndex) -> LogIndex {
        let last = self.log.last_index();
        if last < previous_index {
            return last;
        }
        let first = self.log.first_of_term(previous_index);
        LogIndex(first.0.saturating_sub(1)).max(self.committed)
    }
}
