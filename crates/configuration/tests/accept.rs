//! Tests of the change writer with lost replies, delayed requests, stale reads and operators that
//! propose changes at the same time.

mod common;

use common::{DOCUMENT, FakeKeyValueService, at, proposal};
use dahlia_configuration::{
    ChangeId, ChangeOutcome, ChangeProposal, ChangeWriter, ChangeWriterAction, ChangeWriterEvent,
    ConfigurationRecord, ConfigurationSettings, MAX_RECENT_CHANGES, Mechanism, ServiceUnavailable,
    SwapFailure,
};
use dahlia_types::{Duration, Generation, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const OPERATORS: usize = 3;
const SEEDS: u64 = 300;
const STEPS: usize = 400;

/// An operator with the change writer of the daemon that serves it.
struct Operator {
    writer: ChangeWriter,
    /// Results that the change writer has not received yet.
    pending_results: Vec<ChangeWriterEvent>,
    proposal: Option<ChangeProposal>,
    newest_generation: u64,
}

/// Operators who propose changes at the same time to a service with faults.
struct ChangeRace {
    random: ChaCha8Rng,
    now: Timestamp,
    service: FakeKeyValueService,
    /// Swaps that have not arrived yet. Their senders were told that the reply is lost.
    late_swaps: Vec<(Option<u64>, Vec<u8>)>,
    operators: Vec<Operator>,
    reported_accepted: Vec<ChangeId>,
    reported_refused: Vec<ChangeId>,
    changes: u32,
}

impl ChangeRace {
    fn new(seed: u64, disabled: Option<Mechanism>) -> Self {
        let operator = |_| {
            let mut writer = ChangeWriter::new(ConfigurationSettings::default());
            if let Some(mechanism) = disabled {
                writer.disable(mechanism);
            }
            Operator { writer, pending_results: Vec::new(), proposal: None, newest_generation: 0 }
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: at(1),
            service: FakeKeyValueService::default(),
            late_swaps: Vec::new(),
            operators: (0..OPERATORS).map(operator).collect(),
            reported_accepted: Vec::new(),
            reported_refused: Vec::new(),
            changes: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.random.random_range(0..400));
        let index = self.random.random_range(0..OPERATORS);
        match self.random.random_range(0..10) {
            0 if !self.late_swaps.is_empty() => {
                let (expected, value) = self.late_swaps.remove(0);
                let _ = self.service.swap(expected, value);
            }
            0..3 => self.propose(index),
            3 => self.handle(index, ChangeWriterEvent::Tick),
            _ => {
                if let Some(event) = self.operators[index].pending_results.pop() {
                    self.handle(index, event);
                }
            }
        }
    }

    /// Proposes a new change based on the newest generation that the operator knows, or repeats the
    /// one whose outcome is unknown.
    fn propose(&mut self, index: usize) {
        let operator = &self.operators[index];
        if operator.writer.is_busy() {
            return;
        }
        let expected = operator.newest_generation;
        let next = || proposal(&format!("change-{}", self.changes), expected, DOCUMENT);
        let proposal = operator.proposal.clone().unwrap_or_else(next);
        self.changes += 1;
        self.operators[index].proposal = Some(proposal.clone());
        self.handle(index, ChangeWriterEvent::Proposed(proposal));
    }

    fn handle(&mut self, index: usize, event: ChangeWriterEvent) {
        let now = self.now;
        for action in self.operators[index].writer.handle(event, now) {
            let result = match action {
                ChangeWriterAction::Read => self.read(),
                ChangeWriterAction::Swap { expected, value } => self.swap(expected, value),
                ChangeWriterAction::Answer(change, outcome) => {
                    self.record_outcome(index, change, outcome);
                    continue;
                }
            };
            self.operators[index].pending_results.push(result);
        }
    }

    fn read(&mut self) -> ChangeWriterEvent {
        let behind = self.random.random_range(0..2);
        ChangeWriterEvent::Read(match self.random.random_range(0..10) {
            0 => Err(ServiceUnavailable),
            1..4 => Ok(self.service.read_stale(behind)),
            _ => Ok(self.service.read()),
        })
    }

    fn swap(&mut self, expected: Option<u64>, value: Vec<u8>) -> ChangeWriterEvent {
        ChangeWriterEvent::Swapped(match self.random.random_range(0..10) {
            0 => Err(SwapFailure::NotRun),
            1 => {
                self.late_swaps.push((expected, value));
                Err(SwapFailure::Unknown)
            }
            2..4 => {
                let _ = self.service.swap(expected, value);
                Err(SwapFailure::Unknown)
            }
            _ => self.service.swap(expected, value),
        })
    }

    fn record_outcome(&mut self, index: usize, change: ChangeId, outcome: ChangeOutcome) {
        let operator = &mut self.operators[index];
        let newest = match &outcome {
            ChangeOutcome::Accepted(record) => record.generation(),
            ChangeOutcome::AcceptedEarlier(summary) => summary.generation,
            ChangeOutcome::Conflict { newest, .. } => *newest,
            _ => Generation(operator.newest_generation),
        };
        operator.newest_generation = operator.newest_generation.max(newest.0);
        match outcome {
            ChangeOutcome::Accepted(_) | ChangeOutcome::AcceptedEarlier(_) => {
                self.reported_accepted.push(change)
            }
            ChangeOutcome::Unknown => {
                let proposal = operator.proposal.as_mut();
                proposal.expect("the operator has a proposal").repeated = true;
                return;
            }
            ChangeOutcome::Conflict { .. } | ChangeOutcome::Unavailable => {
                self.reported_refused.push(change)
            }
            other => panic!("{change}: {other:?}"),
        }
        self.operators[index].proposal = None;
    }

    /// Checks the reported outcomes against the written records. Returns the first violation.
    fn find_violation(&self) -> Option<String> {
        let decode =
            |bytes: &Vec<u8>| ConfigurationRecord::decode(bytes).expect("only records are written");
        let records: Vec<ConfigurationRecord> = self.service.values.iter().map(decode).collect();
        let generations = records.iter().map(|record| record.generation().0);
        if !generations.eq(1..=records.len() as u64) {
            return Some("generations do not increase by one".to_owned());
        }
        let count = |change: &ChangeId| {
            records.iter().filter(|record| record.change().change == *change).count()
        };
        let is_not_written_once = |change: &&ChangeId| count(change) != 1;
        if let Some(change) = self.reported_accepted.iter().find(is_not_written_once) {
            return Some(format!(
                "{change} was reported as accepted; its records: {}",
                count(change)
            ));
        }
        let refused = self.reported_refused.iter().find(|change| count(change) > 0);
        refused.map(|change| format!("{change} was reported as not accepted and is in force"))
    }
}

fn run_race(
    seed: u64,
    disabled: Option<Mechanism>,
    ignores_version: bool,
) -> (ChangeRace, Option<String>) {
    let mut race = ChangeRace::new(seed, disabled);
    race.service.ignores_version = ignores_version;
    (0..STEPS).for_each(|_| race.step());
    let violation = race.find_violation();
    (race, violation)
}

#[test]
fn reported_outcomes_match_the_written_changes() {
    let (mut accepted, mut refused) = (0, 0);
    for seed in 0..SEEDS {
        let (race, violation) = run_race(seed, None, false);
        assert_eq!(violation, None, "seed {seed}");
        accepted += race.reported_accepted.len();
        refused += race.reported_refused.len();
    }
    let least = 5 * SEEDS as usize;
    assert!(accepted > least && refused > least, "{accepted} accepted, {refused} refused");
}

#[test]
fn without_reading_back_a_change_in_force_is_reported_as_not_accepted() {
    let has_violation = |seed| run_race(seed, Some(Mechanism::ReadBack), false).1.is_some();
    assert!((0..SEEDS).any(has_violation), "no violation without reading back");
}

#[test]
fn without_compare_and_swap_a_change_is_lost() {
    let has_violation = |seed| run_race(seed, None, true).1.is_some();
    assert!((0..SEEDS).any(has_violation), "no violation without compare-and-swap");
}

#[test]
fn a_conflict_names_the_change_that_was_accepted_instead() {
    let mut service = FakeKeyValueService::default();
    let mut writer = ChangeWriter::new(ConfigurationSettings::default());
    writer.handle(ChangeWriterEvent::Proposed(proposal("mine", 0, DOCUMENT)), at(0));
    let read = service.read();
    let swap = writer.handle(ChangeWriterEvent::Read(Ok(read)), at(0));
    assert!(matches!(swap[..], [ChangeWriterAction::Swap { expected: None, .. }]), "{swap:?}");
    let theirs = service.accept("theirs", DOCUMENT);
    service.accept("later", DOCUMENT);
    writer.handle(ChangeWriterEvent::Swapped(Err(SwapFailure::Conflict)), at(1));
    let finished = writer.handle(ChangeWriterEvent::Read(Ok(service.read())), at(2));
    let conflicting_change = Some(theirs.change().clone());
    let outcome = ChangeOutcome::Conflict { newest: Generation(2), conflicting_change };
    assert_eq!(finished, [ChangeWriterAction::Answer(ChangeId("mine".to_owned()), outcome)]);
}

/// The outcome of `proposal` by a new change writer after one read of the service.
fn outcome_of(service: &FakeKeyValueService, proposal: ChangeProposal) -> ChangeOutcome {
    let mut writer = ChangeWriter::new(ConfigurationSettings::default());
    let mut actions = writer.handle(ChangeWriterEvent::Proposed(proposal), at(0));
    if actions == [ChangeWriterAction::Read] {
        actions = writer.handle(ChangeWriterEvent::Read(Ok(service.read())), at(0));
    }
    match actions.pop() {
        Some(ChangeWriterAction::Answer(_, outcome)) => outcome,
        other => panic!("expected an outcome, found {other:?}"),
    }
}

#[test]
fn a_repeated_request_finds_the_first_and_an_identity_cannot_be_reused() {
    let mut service = FakeKeyValueService::default();
    let first = service.accept("first", DOCUMENT);
    assert_eq!(
        outcome_of(&service, proposal("first", 0, DOCUMENT)),
        ChangeOutcome::Accepted(first.clone())
    );
    let changed = format!("# other\n{DOCUMENT}");
    let reused = ChangeOutcome::IdentityReused(first.change().clone());
    assert_eq!(outcome_of(&service, proposal("first", 1, &changed)), reused);
    for number in 0..MAX_RECENT_CHANGES {
        service.accept(&format!("later-{number}"), DOCUMENT);
    }
    let earlier = ChangeOutcome::AcceptedEarlier(first.change().clone());
    assert_eq!(outcome_of(&service, proposal("first", 0, DOCUMENT)), earlier);
    let unlisted = outcome_of(&service, proposal("never", 0, DOCUMENT));
    assert!(
        matches!(unlisted, ChangeOutcome::Conflict { conflicting_change: Some(_), .. }),
        "{unlisted:?}"
    );
}

#[test]
fn names_and_documents_are_checked_before_the_service_is_read() {
    let service = FakeKeyValueService::default();
    let long = proposal(&"x".repeat(65), 0, DOCUMENT);
    for wrong in [long, proposal("", 0, DOCUMENT), proposal("a", 0, "models = 3")] {
        let outcome = outcome_of(&service, wrong);
        assert!(matches!(outcome, ChangeOutcome::Invalid(_)), "{outcome:?}");
    }
}

#[test]
fn after_the_service_lost_generations_the_next_one_follows_the_one_in_force() {
    let mut service = FakeKeyValueService::default();
    service.accept("one", DOCUMENT);
    let newest = service.accept("two", DOCUMENT);
    // The service was restored from an older copy; the daemons still have generation 2.
    service.values.truncate(1);
    let mut writer = ChangeWriter::new(ConfigurationSettings::default());
    writer.handle(ChangeWriterEvent::Activated(newest), at(0));
    writer.handle(ChangeWriterEvent::Proposed(proposal("three", 2, DOCUMENT)), at(0));
    let swap = writer.handle(ChangeWriterEvent::Read(Ok(service.read())), at(0));
    let [ChangeWriterAction::Swap { expected: Some(1), value }] = &swap[..] else {
        panic!("expected a swap of the older record, found {swap:?}");
    };
    assert_eq!(
        ConfigurationRecord::decode(value).map(|record| record.generation()),
        Ok(Generation(3))
    );
}

#[test]
fn an_undecided_change_ends_at_its_deadline_as_unavailable_or_unknown() {
    let after_deadline = at(60_000);
    let mut writer_without_service = ChangeWriter::new(ConfigurationSettings::default());
    writer_without_service.handle(ChangeWriterEvent::Proposed(proposal("a", 0, DOCUMENT)), at(0));
    writer_without_service.handle(ChangeWriterEvent::Read(Err(ServiceUnavailable)), at(1));
    let answer = writer_without_service.handle(ChangeWriterEvent::Tick, after_deadline);
    assert!(
        matches!(answer[..], [ChangeWriterAction::Answer(_, ChangeOutcome::Unavailable)]),
        "{answer:?}"
    );

    let mut writer_in_doubt = ChangeWriter::new(ConfigurationSettings::default());
    writer_in_doubt.handle(ChangeWriterEvent::Proposed(proposal("b", 0, DOCUMENT)), at(0));
    writer_in_doubt.handle(ChangeWriterEvent::Read(Ok(None)), at(1));
    writer_in_doubt.handle(ChangeWriterEvent::Swapped(Err(SwapFailure::Unknown)), at(2));
    let answer = writer_in_doubt.handle(ChangeWriterEvent::Tick, after_deadline);
    assert!(
        matches!(answer[..], [ChangeWriterAction::Answer(_, ChangeOutcome::Unknown)]),
        "{answer:?}"
    );
}
