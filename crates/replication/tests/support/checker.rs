//! A checker of the invariants of Raft (Ongaro and Ousterhout 2014, figure 3), on messages and outputs.

use std::collections::BTreeMap;

use dahlia_replication::group::{
    Entry, EntryData, GroupBody, GroupMessage, Replica, Role, Snapshot,
};
use dahlia_types::{LogIndex, ReplicaId, Term};

use super::cluster::AppliedCommand;

/// Records messages and outputs of all replicas, and the first violation.
#[derive(Debug, Default)]
pub struct Checker {
    leaders: BTreeMap<Term, ReplicaId>,
    votes: BTreeMap<(ReplicaId, Term), ReplicaId>,
    /// Committed commands, as first delivered by any replica.
    pub committed: BTreeMap<LogIndex, AppliedCommand>,
    entries: BTreeMap<(LogIndex, Term), (EntryData, Option<Term>)>,
    pub violation: Option<String>,
}

impl Checker {
    pub fn report(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    /// A replica sends only as its own incarnation, and votes once in a term.
    pub fn check_sent(&mut self, sender: ReplicaId, message: &GroupMessage) {
        if message.from != sender {
            self.report(format!("{sender} sends as its earlier incarnation {}", message.from));
        }
        if let GroupBody::VoteResponse { granted: true } = message.body {
            let voter = (message.from, message.term);
            let candidate = *self.votes.entry(voter).or_insert(message.to);
            if candidate != message.to {
                self.report(format!("{} votes twice in term {}", message.from, message.term));
            }
        }
    }

    /// Election safety and leader completeness.
    pub fn check_new_leader(&mut self, replica: &Replica, term: Term) {
        let id = replica.id();
        let first = *self.leaders.entry(term).or_insert(id);
        if first != id {
            self.report(format!("{first} and {id} both lead term {term}"));
        }
        // It may have followed another leader before its outputs were taken.
        if (replica.role(), replica.term()) != (Role::Leader, term) {
            return;
        }
        let terms: BTreeMap<LogIndex, Term> =
            replica.log_entries().map(|entry| (entry.index, entry.term)).collect();
        let first_kept = terms.keys().next().copied().unwrap_or(replica.last_index().next());
        let mut missing = None;
        for (index, applied) in &self.committed {
            let is_older = applied.term < term && *index >= first_kept;
            if is_older && terms.get(index) != Some(&applied.term) {
                missing = Some(*index);
            }
        }
        if let Some(index) = missing {
            self.report(format!("leader {id} of term {term} lacks committed entry {index}"));
        }
    }

    /// State machine safety.
    pub fn check_delivered(&mut self, replica: ReplicaId, entry: &Entry) {
        let applied = AppliedCommand { term: entry.term, payload: entry.payload.to_vec() };
        let first = self.committed.entry(entry.index).or_insert_with(|| applied.clone());
        if *first != applied {
            let index = entry.index;
            self.report(format!("{replica} applies another command at {index} than others did"));
        }
    }

    /// A restored state machine equals the committed prefix.
    pub fn check_restored(
        &mut self,
        snapshot: &Snapshot,
        machine: &BTreeMap<LogIndex, AppliedCommand>,
    ) {
        let prefix = self.committed.range(..=snapshot.index);
        let is_equal = prefix.eq(machine.iter());
        if !is_equal {
            self.report(format!("snapshot at {} differs from what was committed", snapshot.index));
        }
    }

    /// Log matching: the same index and term mean the same entry after the same entry.
    pub fn compare_log(&mut self, replica: &Replica) {
        let mut previous = None;
        for entry in replica.log_entries() {
            let key = (entry.index, entry.term);
            let seen = self.entries.entry(key).or_insert_with(|| (entry.data.clone(), previous));
            let is_data_equal = seen.0 == entry.data;
            let is_previous_equal = seen.1.is_none() || previous.is_none() || seen.1 == previous;
            if seen.1.is_none() {
                seen.1 = previous;
            }
            if !is_data_equal || !is_previous_equal {
                let (index, term) = key;
                let id = replica.id();
                self.report(format!("logs differ at index {index} of term {term}, seen at {id}"));
                return;
            }
            previous = Some(entry.term);
        }
    }
}
