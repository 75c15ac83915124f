//! What every control endpoint has: a set of faults that is replaced as a whole, and the log of
//! what the service saw.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use dahlia_types::Timestamp;
use salvo::http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::reply::Refusal;

/// Observations that are kept; older ones are dropped and counted.
const KEPT_OBSERVATIONS: usize = 1 << 20;

/// A refused control request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRefusal {
    /// The request is malformed or exceeds a limit.
    Invalid {
        /// The field.
        field: String,
        /// What is wrong.
        detail: String,
    },
}

impl Refusal for ControlRefusal {
    fn invalid(field: &str, detail: String) -> Self {
        Self::Invalid { field: field.to_owned(), detail }
    }

    fn status(&self) -> StatusCode {
        StatusCode::BAD_REQUEST
    }
}

/// A request without content.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Nothing {}

/// Asks for observations after a sequence number.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct ObservationsRequest {
    /// The last sequence number the caller has; 0 for all.
    #[serde(default)]
    pub after: u64,
}

/// Something that a service saw, with the wall clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation<E> {
    /// Counts up by one, from 1.
    pub sequence: u64,
    /// Microseconds since 1970 by the machine's clock.
    pub at: Timestamp,
    /// What was seen.
    pub event: E,
}

/// Observations in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observations<E> {
    /// How many were dropped because too many were kept; 0 means that the log is whole.
    pub dropped: u64,
    /// The observations asked for.
    pub observations: Vec<Observation<E>>,
}

/// The log of what a service saw, from outside the system under test.
#[derive(Debug)]
pub(crate) struct Witness<E> {
    log: Mutex<Log<E>>,
}

#[derive(Debug)]
struct Log<E> {
    next: u64,
    kept: VecDeque<Observation<E>>,
}

impl<E: Clone> Witness<E> {
    pub(crate) fn new() -> Self {
        Self { log: Mutex::new(Log { next: 1, kept: VecDeque::new() }) }
    }

    /// Notes `event` at the present moment.
    pub(crate) fn note(&self, event: E) {
        let mut log = lock(&self.log);
        let sequence = log.next;
        log.next += 1;
        log.kept.push_back(Observation { sequence, at: wall_clock(), event });
        if log.kept.len() > KEPT_OBSERVATIONS {
            log.kept.pop_front();
        }
    }

    /// The observations after a sequence number.
    pub(crate) fn after(&self, after: u64) -> Observations<E> {
        let log = lock(&self.log);
        let dropped = log.next - 1 - log.kept.len() as u64;
        let observations = log.kept.iter().filter(|seen| seen.sequence > after);
        Observations { dropped, observations: observations.cloned().collect() }
    }
}

/// The present moment in microseconds since 1970.
pub(crate) fn wall_clock() -> Timestamp {
    // A clock before 1970 gives zero; only differences matter.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp(since.as_micros() as u64)
}

/// Locks a mutex; a panic of another holder does not spread.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
