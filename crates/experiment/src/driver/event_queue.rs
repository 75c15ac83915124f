//! The queue of simulation events, in order of virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use dahlia_engine_model::EngineCommand;
use dahlia_placement::Event;
use dahlia_types::{AttemptId, Duration, Incarnation, Timestamp, Usage};

use super::copies::TransferPurpose;

/// An event that the driver handles at a point in virtual time.
#[derive(Debug, Clone)]
pub(super) enum SimulationEvent {
    /// A program begins.
    Arrive { program: usize },
    /// A caller issues the chain's next call or retries a refused call.
    Issue { program: usize, chain: usize },
    /// The call reaches the scheduler that owns the program.
    Ready { program: usize, chain: usize },
    /// A command reaches an engine.
    Command {
        engine: usize,
        incarnation: Incarnation,
        command: Box<EngineCommand>,
        from: usize,
        purpose: TransferPurpose,
    },
    /// An engine reaches the wake-up time that it requested.
    Wake { engine: usize },
    /// An engine reports its load.
    Report { engine: usize },
    /// A scheduler's request for the inventory reaches an engine.
    Inventory { engine: usize, scheduler: usize },
    /// An event reaches a scheduler.
    Notify { scheduler: usize, event: Box<Event> },
    /// The first token reaches the caller.
    FirstToken { attempt: AttemptId },
    /// The whole answer reaches the caller.
    Answer { attempt: AttemptId, usage: Usage },
    /// A refusal reaches the caller.
    Refused { program: usize, chain: usize, retry_after: Duration },
    /// A program reaches its idle timeout.
    Expire { program: usize },
    /// A fault of the workload takes effect.
    Fault { index: usize },
    /// An engine that was drained is stopped.
    StopDrainedEngine { engine: usize, incarnation: Incarnation },
    /// All schedulers receive a tick.
    Tick,
}

#[derive(Debug)]
struct Entry {
    at: Timestamp,
    /// Events at the same time are handled in insertion order, so that runs are deterministic.
    number: u64,
    event: SimulationEvent,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// Reverses the order, because the heap returns its greatest entry first and the queue must
    /// return the earliest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A priority queue of simulation events.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Entry>,
    inserted: u64,
}

impl EventQueue {
    pub(super) fn add(&mut self, at: Timestamp, event: SimulationEvent) {
        self.inserted += 1;
        self.heap.push(Entry { at, number: self.inserted, event });
    }

    pub(super) fn next(&mut self) -> Option<(Timestamp, SimulationEvent)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
