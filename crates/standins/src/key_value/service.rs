//! The service around the store: time, rate limit, faults and the log of changes.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use dahlia_adapters::key_value::{KeyValueRefusal, LeaseId, Revision, Version};
use dahlia_types::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::store::{Snapshot, Store};
use super::{KeyValueFaults, KeyValueSettings, Outage};
use crate::control::{Witness, lock};
use crate::rate::RateLimit;

/// Something that the service saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyValueObservation {
    /// A key was set.
    Set {
        /// The key.
        key: String,
        /// Its new version.
        version: Version,
        /// Whether the answer was lost on purpose.
        reply_lost: bool,
    },
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
    },
    /// A change lost against another.
    Conflict {
        /// The key.
        key: String,
        /// The version expected.
        expected: Option<Version>,
        /// The version found.
        actual: Option<Version>,
    },
    /// A lease lapsed and its keys were deleted.
    LeaseLapsed {
        /// The lease.
        lease: LeaseId,
    },
    /// A request was refused by the rate limit.
    RateLimited,
}

/// The state of the running service.
pub(super) struct Service {
    pub(super) settings: KeyValueSettings,
    pub(super) witness: Witness<KeyValueObservation>,
    store: Mutex<Store>,
    limit: Mutex<RateLimit>,
    stale: Mutex<Option<Snapshot>>,
    faults: watch::Sender<KeyValueFaults>,
    changed: watch::Sender<Revision>,
    leases_changed: tokio::sync::Notify,
    started: Instant,
}

/// What becomes of a request before it reaches the store.
pub(super) enum Admission {
    /// It is served.
    Serve,
    /// It is refused.
    Refuse(KeyValueRefusal),
    /// It is never answered.
    Hang,
}

impl Service {
    pub(super) fn new(settings: KeyValueSettings) -> Self {
        let kept_changes = settings.kept_changes as usize;
        let limit = RateLimit::new(settings.requests_per_second, settings.burst);
        Self {
            settings,
            witness: Witness::new(),
            store: Mutex::new(Store::new(kept_changes)),
            limit: Mutex::new(limit),
            stale: Mutex::new(None),
            faults: watch::Sender::new(KeyValueFaults::default()),
            changed: watch::Sender::new(Revision(0)),
            leases_changed: tokio::sync::Notify::new(),
            started: Instant::now(),
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        Timestamp(self.started.elapsed().as_micros() as u64)
    }

    pub(super) fn faults(&self) -> KeyValueFaults {
        *self.faults.borrow()
    }

    pub(super) fn subscribe_faults(&self) -> watch::Receiver<KeyValueFaults> {
        self.faults.subscribe()
    }

    pub(super) fn subscribe_changes(&self) -> watch::Receiver<Revision> {
        self.changed.subscribe()
    }

    /// Puts a set of faults in force in place of the former one.
    pub(super) fn set_faults(&self, faults: KeyValueFaults) {
        let mut stale = lock(&self.stale);
        if !faults.stale_reads {
            *stale = None;
        } else if stale.is_none() {
            *stale = Some(lock(&self.store).current().clone());
        }
        drop(stale);
        self.faults.send_replace(faults);
    }

    /// Decides what becomes of a request, after the delay that is in force.
    pub(super) async fn admit(&self) -> Admission {
        let faults = self.faults();
        pause(faults.delay_ms).await;
        match self.faults().outage {
            Some(Outage::Refuse) => return Admission::Refuse(KeyValueRefusal::Unavailable),
            Some(Outage::Hang) => return Admission::Hang,
            None => {}
        }
        let forced = faults.rate_limit_retry_after_ms.map(Duration::from_millis);
        let taken = lock(&self.limit).take(1.0, self.now());
        match forced.map_or(taken, Err) {
            Ok(()) => Admission::Serve,
            Err(retry_after) => {
                self.witness.note(KeyValueObservation::RateLimited);
                Admission::Refuse(KeyValueRefusal::RateLimited { retry_after })
            }
        }
    }

    /// Takes one lost reply off the account, if there is one left.
    pub(super) fn lose_reply(&self) -> bool {
        self.faults.send_if_modified(|faults| {
            let lose = faults.lose_replies > 0;
            faults.lose_replies = faults.lose_replies.saturating_sub(1);
            lose
        })
    }

    /// Reads the state that readers see now.
    pub(super) fn read<T>(&self, read: impl FnOnce(&Snapshot) -> T) -> T {
        let stale = lock(&self.stale);
        match stale.as_ref() {
            Some(snapshot) => read(snapshot),
            None => read(lock(&self.store).current()),
        }
    }

    /// Changes the store and wakes watches.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut Store, Timestamp) -> T) -> T {
        let mut store = lock(&self.store);
        let now = self.now();
        self.note_lapsed(store.lapse(now));
        let result = change(&mut store, now);
        self.changed.send_replace(store.current().revision());
        self.leases_changed.notify_one();
        result
    }

    /// Looks into the store without changing it.
    pub(super) fn look<T>(&self, look: impl FnOnce(&Store) -> T) -> T {
        look(&lock(&self.store))
    }

    fn note_lapsed(&self, lapsed: Vec<LeaseId>) {
        for lease in lapsed {
            self.witness.note(KeyValueObservation::LeaseLapsed { lease });
        }
    }
}

/// Ends leases as they lapse, for as long as the service runs.
pub(super) async fn lapse_leases(service: Arc<Service>) {
    loop {
        let woken = service.leases_changed.notified();
        match service.look(Store::next_lapse) {
            None => woken.await,
            Some(at) => {
                let wait = std::time::Duration::from_micros(at.since(service.now()).as_micros());
                tokio::select! {
                    () = woken => {}
                    () = tokio::time::sleep(wait) => service.change(|_, _| ()),
                }
            }
        }
    }
}

/// Waits for a fault's delay.
pub(super) async fn pause(milliseconds: u64) {
    if milliseconds > 0 {
        tokio::time::sleep(std::time::Duration::from_millis(milliseconds)).await;
    }
}
