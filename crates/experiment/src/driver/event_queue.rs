//! What will happen, in order of time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use dahlia_engine_model::EngineCommand;
use dahlia_placement::Event;
use dahlia_types::{AttemptId, Duration, Incarnation, Timestamp, Usage};

use super::copies::TransferPurpose;

/// Something that will happen.
#[derive(Debug, Clone)]
pub(super) enum SimulationEvent {
    /// A program begins.
    Arrive { program: usize },
    /// A caller issues the chain's next call, or the same again after a refusal.
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
    /// An engine has something to do.
    Wake { engine: usize },
    /// An engine reports its load.
    Report { engine: usize },
    /// An engine's inventory was asked for.
    Inventory { engine: usize, scheduler: usize },
    /// An event reaches a scheduler.
    Notify { scheduler: usize, event: Box<Event> },
    /// The first token reaches the caller.
    FirstToken { attempt: AttemptId },
    /// The whole answer reaches the caller.
    Answer { attempt: AttemptId, usage: Usage },
    /// A refusal reaches the caller.
    Refused { program: usize, chain: usize, retry_after: Duration },
    /// A program has been idle for too long.
    Expire { program: usize },
    /// A fault of the workload.
    Fault { index: usize },
    /// An engine that left is switched off.
    StopDrainedEngine { engine: usize, incarnation: Incarnation },
    /// Time passes for the schedulers.
    Tick,
}

#[derive(Debug)]
struct Entry {
    at: Timestamp,
    /// Ties go by order of insertion, so that a run repeats exactly.
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
    /// Reversed: the heap gives its greatest entry first, and the earliest is wanted.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// The queue of happenings.
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
