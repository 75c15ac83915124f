//! The replicated log, without the applied entries that were dropped.

use std::collections::VecDeque;

use bytes::Bytes;
use dahlia_types::{LogIndex, Term};
use serde::{Deserialize, Serialize};

use super::Members;

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryData {
    /// No operation; the first entry of a leader's term.
    NoOp,
    /// A command for the state machine.
    Command(Bytes),
    /// Sets the members, as soon as it is appended.
    Members(Members),
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its index, starting at 1.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Its content.
    pub data: EntryData,
}

impl LogEntry {
    /// The size of its payload in bytes.
    pub fn payload_bytes(&self) -> usize {
        match &self.data {
            EntryData::Command(payload) => payload.len(),
            EntryData::NoOp | EntryData::Members(_) => 0,
        }
    }
}

/// The entries after `base_index`.
#[derive(Debug, Clone, Default)]
pub(super) struct Log {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<LogEntry>,
    payload_bytes: usize,
}

impl Log {
    /// The index of the entry before the first one in the log.
    pub fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Payload bytes of all entries in the log.
    pub fn payload_bytes(&self) -> usize {
        self.payload_bytes
    }

    /// Payload bytes of the entries after `index`.
    pub fn payload_bytes_after(&self, index: LogIndex) -> usize {
        let later = self.entries.iter().rev().take_while(|entry| entry.index > index);
        later.map(LogEntry::payload_bytes).sum()
    }

    /// The term of the entry at `index`; none if it was dropped or does not exist.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index.0, self.last_index().0 + 1);
        self.payload_bytes += entry.payload_bytes();
        self.entries.push_back(entry);
    }

    /// Drops the entries at and after `index`.
    pub fn truncate_from(&mut self, index: LogIndex) {
        while self.last_index() >= index {
            let Some(entry) = self.entries.pop_back() else { return };
            self.payload_bytes -= entry.payload_bytes();
        }
    }

    /// Drops the first entry in the log.
    pub fn drop_first(&mut self) {
        let Some(entry) = self.entries.pop_front() else { return };
        self.payload_bytes -= entry.payload_bytes();
        self.base_index = entry.index;
        self.base_term = entry.term;
    }

    /// Drops all entries. The log continues after `index`.
    pub fn reset(&mut self, index: LogIndex, term: Term) {
        *self = Self { base_index: index, base_term: term, ..Self::default() };
    }

    /// The first index of the consecutive entries that have the same term as the entry at `index`.
    pub fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index && self.term_at(LogIndex(first.0 - 1)) == term {
            first = LogIndex(first.0 - 1);
        }
        first
    }

    /// Entries from `first` on, at most `max_entries` and `max_bytes`, but at least one.
    pub fn batch(&self, first: LogIndex, max_entries: usize, max_bytes: usize) -> Vec<LogEntry> {
        let mut batch = Vec::new();
        let mut bytes = 0;
        let mut index = first;
        while let Some(entry) = self.get(index) {
            bytes += entry.payload_bytes();
            if batch.len() == max_entries || (bytes > max_bytes && !batch.is_empty()) {
                break;
            }
            batch.push(entry.clone());
            index = index.next();
        }
        batch
    }
}
