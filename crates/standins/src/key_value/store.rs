//! The store: keys, their history, and leases. Time comes in as an argument.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dahlia_adapters::key_value::{
    KeyValue, KeyValueRefusal, LeaseId, ListAnswer, Revision, StoredValue, Version, WatchEvent,
};
use dahlia_types::{Duration, Timestamp};

/// The state of all keys at one revision.
#[derive(Debug, Clone, Default)]
pub(super) struct Snapshot {
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
}

impl Snapshot {
    /// The revision of this state.
    pub(super) fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    /// One key.
    pub(super) fn get(&self, key: &str) -> Option<StoredValue> {
        self.keys.get(key).cloned()
    }

    /// All keys with a prefix, in order.
    pub(super) fn list(&self, prefix: &str) -> ListAnswer {
        let from = self.keys.range(prefix.to_owned()..);
        let found = from.take_while(|(key, _)| key.starts_with(prefix));
        let entries = found
            .map(|(key, versioned)| KeyValue { key: key.clone(), versioned: versioned.clone() });
        ListAnswer { revision: self.revision(), entries: entries.collect() }
    }
}

#[derive(Debug)]
struct Lease {
    time_to_live: Duration,
    ends: Timestamp,
    keys: BTreeSet<String>,
}

/// The whole store.
#[derive(Debug)]
pub(super) struct Store {
    current: Snapshot,
    kept_changes: usize,
    changes: VecDeque<(Revision, WatchEvent)>,
    leases: BTreeMap<LeaseId, Lease>,
    next_lease: u64,
}

impl Store {
    pub(super) fn new(kept_changes: usize) -> Self {
        Self {
            current: Snapshot::default(),
            kept_changes,
            changes: VecDeque::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    /// The present state.
    pub(super) fn current(&self) -> &Snapshot {
        &self.current
    }

    /// Sets a key whose version is `expected`.
    pub(super) fn compare_and_swap(
        &mut self,
        key: &str,
        expected: Option<Version>,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<Version, KeyValueRefusal> {
        self.expect(key, expected)?;
        if let Some(lease) = lease
            && !self.leases.contains_key(&lease)
        {
            return Err(KeyValueRefusal::NoSuchLease { lease });
        }
        Ok(self.put(key, value, lease))
    }

    /// Deletes a key whose version is `expected`.
    pub(super) fn delete(&mut self, key: &str, expected: Version) -> Result<(), KeyValueRefusal> {
        self.expect(key, Some(expected))?;
        self.remove(key);
        Ok(())
    }

    /// Makes a key whose version is `expected` live by a lease.
    pub(super) fn attach(
        &mut self,
        key: &str,
        expected: Version,
        lease: LeaseId,
    ) -> Result<Version, KeyValueRefusal> {
        self.expect(key, Some(expected))?;
        let value = self.current.get(key).map(|versioned| versioned.value).unwrap_or_default();
        self.compare_and_swap(key, Some(expected), value, Some(lease))
    }

    /// Grants a lease.
    pub(super) fn grant(&mut self, time_to_live: Duration, now: Timestamp) -> LeaseId {
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        let ends = now + time_to_live;
        self.leases.insert(lease, Lease { time_to_live, ends, keys: BTreeSet::new() });
        lease
    }

    /// Extends a lease; gives its time to live.
    pub(super) fn keep_alive(
        &mut self,
        lease: LeaseId,
        now: Timestamp,
    ) -> Result<Duration, KeyValueRefusal> {
        let held = self.leases.get_mut(&lease).ok_or(KeyValueRefusal::NoSuchLease { lease })?;
        held.ends = now + held.time_to_live;
        Ok(held.time_to_live)
    }

    /// Ends a lease and deletes its keys.
    pub(super) fn revoke(&mut self, lease: LeaseId) -> Result<(), KeyValueRefusal> {
        let held = self.leases.remove(&lease).ok_or(KeyValueRefusal::NoSuchLease { lease })?;
        for key in held.keys {
            self.remove(&key);
        }
        Ok(())
    }

    /// Ends the leases that have lapsed by `now`; gives them.
    pub(super) fn lapse(&mut self, now: Timestamp) -> Vec<LeaseId> {
        let lapsed = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let lapsed: Vec<LeaseId> = lapsed.map(|(id, _)| *id).collect();
        for lease in &lapsed {
            // The lease was found just now, so this cannot be refused.
            let _ = self.revoke(*lease);
        }
        lapsed
    }

    /// When the next lease lapses.
    pub(super) fn next_lapse(&self) -> Option<Timestamp> {
        self.leases.values().map(|lease| lease.ends).min()
    }

    /// The changes of keys with a prefix after a revision.
    pub(super) fn changes_after(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<Vec<WatchEvent>, KeyValueRefusal> {
        let oldest = self.changes.front().map_or(self.current.revision, |(first, _)| first.0 - 1);
        if after.0 < oldest {
            return Err(KeyValueRefusal::Compacted { oldest: Revision(oldest) });
        }
        let later = self.changes.iter().filter(|(revision, _)| *revision > after);
        let matching = later.filter(|(_, event)| key_of(event).starts_with(prefix));
        Ok(matching.map(|(_, event)| event.clone()).collect())
    }

    fn expect(&self, key: &str, expected: Option<Version>) -> Result<(), KeyValueRefusal> {
        let actual = self.current.keys.get(key).map(|versioned| versioned.version);
        if actual == expected {
            return Ok(());
        }
        Err(KeyValueRefusal::Conflict { actual })
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<LeaseId>) -> Version {
        self.detach(key);
        self.current.revision += 1;
        let version = Version(self.current.revision);
        let versioned = StoredValue { version, value, lease };
        self.current.keys.insert(key.to_owned(), versioned.clone());
        if let Some(held) = lease.and_then(|lease| self.leases.get_mut(&lease)) {
            held.keys.insert(key.to_owned());
        }
        self.keep(WatchEvent::Put { entry: KeyValue { key: key.to_owned(), versioned } });
        version
    }

    fn remove(&mut self, key: &str) {
        self.detach(key);
        if self.current.keys.remove(key).is_none() {
            return;
        }
        self.current.revision += 1;
        let revision = Revision(self.current.revision);
        self.keep(WatchEvent::Deleted { key: key.to_owned(), revision });
    }

    fn detach(&mut self, key: &str) {
        let lease = self.current.keys.get(key).and_then(|versioned| versioned.lease);
        if let Some(held) = lease.and_then(|lease| self.leases.get_mut(&lease)) {
            held.keys.remove(key);
        }
    }

    fn keep(&mut self, event: WatchEvent) {
        self.changes.push_back((Revision(self.current.revision), event));
        if self.changes.len() > self.kept_changes {
            self.changes.pop_front();
        }
    }
}

fn key_of(event: &WatchEvent) -> &str {
    match event {
        WatchEvent::Put { entry } => &entry.key,
        WatchEvent::Deleted { key, .. } => key,
        WatchEvent::Progress { .. } => "",
    }
}
