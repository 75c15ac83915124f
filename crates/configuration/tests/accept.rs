//! Acceptance of changes while replies are lost, requests arrive late, reads are stale and
//! operators race.

mod common;

use common::{DOCUMENT, Service, at, proposal};
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
    /// Results under way to the change writer.
    inbox: Vec<ChangeWriterEvent>,
    proposal: Option<ChangeProposal>,
    newest: u64,
}

struct Race {
    random: ChaCha8Rng,
    now: Timestamp,
    service: Service,
    /// Swaps whose sender was told that the reply is lost and that have not arrived yet.
    late: Vec<(Option<u64>, Vec<u8>)>,
    operators: Vec<Operator>,
    told_accepted: Vec<ChangeId>,
    told_refused: Vec<ChangeId>,
    changes: u32,
}

impl Race {
    fn new(seed: u64, off: Option<Mechanism>) -> Self {
        let operator = |_| {
            let mut writer = ChangeWriter::new(ConfigurationSettings::default());
            if let Some(mechanism) = off {
                writer.disable(mechanism);
            }
            Operator { writer, inbox: Vec::new(), proposal: None, newest: 0 }
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: at(1),
            service: Service::default(),
            late: Vec::new(),
            operators: (0..OPERATORS).map(operator).collect(),
            told_accepted: Vec::new(),
            told_refused: Vec::new(),
            changes: 0,
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.random.random_range(0..400));
        let index = self.random.random_range(0..OPERATORS);
        match self.random.random_range(0..10) {
            0 if !self.late.is_empty() => {
                let (expected, value) = self.late.remove(0);
                let _ = self.service.swap(expected, value);
            }
            0..3 => self.propose(index),
            3 => self.handle(index, ChangeWriterEvent::Tick),
            _ => {
                if let Some(event) = self.operators[index].inbox.pop() {
                    self.handle(index, event);
                }
            }
        }
    }

    /// A new change from the newest generation that the operator knows, or a repeat of one whose
    /// outcome it was not told.
    fn propose(&mut self, index: usize) {
        let operator = &self.operators[index];
        if operator.writer.is_busy() {
            return;
        }
        let expected = operator.newest;
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
                ChangeWriterAction::Answer(change, verdict) => {
                    self.told(index, change, verdict);
                    continue;
                }
            };
            self.operators[index].inbox.push(result);
        }
    }

    fn read(&mut self) -> ChangeWriterEvent {
        let behind = self.random.random_range(0..2);
        ChangeWriterEvent::Read(match self.random.random_range(0..10) {
            0 => Err(ServiceUnavailable),
            1..4 => Ok(self.service.read_older(behind)),
            _ => Ok(self.service.read()),
        })
    }

    fn swap(&mut self, expected: Option<u64>, value: Vec<u8>) -> ChangeWriterEvent {
        ChangeWriterEvent::Swapped(match self.random.random_range(0..10) {
            0 => Err(SwapFailure::NotRun),
            1 => {
                self.late.push((expected, value));
                Err(SwapFailure::Unknown)
            }
            2..4 => {
                let _ = self.service.swap(expected, value);
                Err(SwapFailure::Unknown)
            }
            _ => self.service.swap(expected, value),
        })
    }

    fn told(&mut self, index: usize, change: ChangeId, verdict: ChangeOutcome) {
        let operator = &mut self.operators[index];
        let newest = match &verdict {
            ChangeOutcome::Accepted(record) => record.generation(),
            ChangeOutcome::AcceptedEarlier(summary) => summary.generation,
            ChangeOutcome::Conflict { newest, .. } => *newest,
            _ => Generation(operator.newest),
        };
        operator.newest = operator.newest.max(newest.0);
        match verdict {
            ChangeOutcome::Accepted(_) | ChangeOutcome::AcceptedEarlier(_) => {
                self.told_accepted.push(change)
            }
            ChangeOutcome::Unknown => {
                let proposal = operator.proposal.as_mut();
                proposal.expect("it was proposed").repeated = true;
                return;
            }
            ChangeOutcome::Conflict { .. } | ChangeOutcome::Unavailable => {
                self.told_refused.push(change)
            }
            other => panic!("{change}: {other:?}"),
        }
        self.operators[index].proposal = None;
    }

    /// What is wrong with what operators were told; none when all of it is true.
    fn fault(&self) -> Option<String> {
        let decode =
            |bytes: &Vec<u8>| ConfigurationRecord::decode(bytes).expect("only records are written");
        let records: Vec<ConfigurationRecord> = self.service.values.iter().map(decode).collect();
        let generations = records.iter().map(|record| record.generation().0);
        if !generations.eq(1..=records.len() as u64) {
            return Some("generations do not rise by one".to_owned());
        }
        let count = |change: &ChangeId| {
            records.iter().filter(|record| record.change().change == *change).count()
        };
        let wrong = |told: &&ChangeId| count(told) != 1;
        if let Some(change) = self.told_accepted.iter().find(wrong) {
            return Some(format!("{change} was told as accepted and is there {}", count(change)));
        }
        let refused = self.told_refused.iter().find(|change| count(change) > 0);
        refused.map(|change| format!("{change} was told as not accepted and is in force"))
    }
}

fn run(seed: u64, off: Option<Mechanism>, blind: bool) -> (Race, Option<String>) {
    let mut race = Race::new(seed, off);
    race.service.ignores_version = blind;
    (0..STEPS).for_each(|_| race.step());
    let fault = race.fault();
    (race, fault)
}

#[test]
fn operators_are_told_what_came_of_their_changes() {
    let (mut accepted, mut refused) = (0, 0);
    for seed in 0..SEEDS {
        let (race, fault) = run(seed, None, false);
        assert_eq!(fault, None, "seed {seed}");
        accepted += race.told_accepted.len();
        refused += race.told_refused.len();
    }
    let least = 5 * SEEDS as usize;
    assert!(accepted > least && refused > least, "{accepted} accepted, {refused} refused");
}

#[test]
fn without_reading_back_a_change_in_force_is_told_as_not_accepted() {
    let is_faulty = |seed| run(seed, Some(Mechanism::ReadBack), false).1.is_some();
    assert!((0..SEEDS).any(is_faulty), "no fault without reading back");
}

#[test]
fn without_the_services_comparison_a_change_is_lost() {
    let is_faulty = |seed| run(seed, None, true).1.is_some();
    assert!((0..SEEDS).any(is_faulty), "no fault without compare-and-swap");
}

#[test]
fn the_loser_of_a_race_is_told_to_which_change_it_lost() {
    let mut service = Service::default();
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
    let verdict = ChangeOutcome::Conflict { newest: Generation(2), conflicting_change };
    assert_eq!(finished, [ChangeWriterAction::Answer(ChangeId("mine".to_owned()), verdict)]);
}

/// What a fresh change writer tells about `proposal` from one read of the service.
fn verdict_of(service: &Service, proposal: ChangeProposal) -> ChangeOutcome {
    let mut writer = ChangeWriter::new(ConfigurationSettings::default());
    let mut actions = writer.handle(ChangeWriterEvent::Proposed(proposal), at(0));
    if actions == [ChangeWriterAction::Read] {
        actions = writer.handle(ChangeWriterEvent::Read(Ok(service.read())), at(0));
    }
    match actions.pop() {
        Some(ChangeWriterAction::Answer(_, verdict)) => verdict,
        other => panic!("expected a verdict, found {other:?}"),
    }
}

#[test]
fn a_repeat_finds_the_first_and_an_identity_is_not_used_twice() {
    let mut service = Service::default();
    let first = service.accept("first", DOCUMENT);
    assert_eq!(
        verdict_of(&service, proposal("first", 0, DOCUMENT)),
        ChangeOutcome::Accepted(first.clone())
    );
    let changed = format!("# other\n{DOCUMENT}");
    let reused = ChangeOutcome::IdentityReused(first.change().clone());
    assert_eq!(verdict_of(&service, proposal("first", 1, &changed)), reused);
    for number in 0..MAX_RECENT_CHANGES {
        service.accept(&format!("later-{number}"), DOCUMENT);
    }
    let earlier = ChangeOutcome::AcceptedEarlier(first.change().clone());
    assert_eq!(verdict_of(&service, proposal("first", 0, DOCUMENT)), earlier);
    let unlisted = verdict_of(&service, proposal("never", 0, DOCUMENT));
    assert!(
        matches!(unlisted, ChangeOutcome::Conflict { conflicting_change: Some(_), .. }),
        "{unlisted:?}"
    );
}

#[test]
fn names_and_documents_are_checked_before_anything_is_read() {
    let service = Service::default();
    let long = proposal(&"x".repeat(65), 0, DOCUMENT);
    for wrong in [long, proposal("", 0, DOCUMENT), proposal("a", 0, "models = 3")] {
        let verdict = verdict_of(&service, wrong);
        assert!(matches!(verdict, ChangeOutcome::Invalid(_)), "{verdict:?}");
    }
}

#[test]
fn a_service_that_forgot_generations_cannot_bring_them_back() {
    let mut service = Service::default();
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
fn a_change_that_cannot_be_decided_in_time_is_told_as_what_it_is() {
    let late = at(60_000);
    let mut unreached = ChangeWriter::new(ConfigurationSettings::default());
    unreached.handle(ChangeWriterEvent::Proposed(proposal("a", 0, DOCUMENT)), at(0));
    unreached.handle(ChangeWriterEvent::Read(Err(ServiceUnavailable)), at(1));
    let told = unreached.handle(ChangeWriterEvent::Tick, late);
    assert!(
        matches!(told[..], [ChangeWriterAction::Answer(_, ChangeOutcome::Unavailable)]),
        "{told:?}"
    );

    let mut in_doubt = ChangeWriter::new(ConfigurationSettings::default());
    in_doubt.handle(ChangeWriterEvent::Proposed(proposal("b", 0, DOCUMENT)), at(0));
    in_doubt.handle(ChangeWriterEvent::Read(Ok(None)), at(1));
    in_doubt.handle(ChangeWriterEvent::Swapped(Err(SwapFailure::Unknown)), at(2));
    let told = in_doubt.handle(ChangeWriterEvent::Tick, late);
    assert!(
        matches!(told[..], [ChangeWriterAction::Answer(_, ChangeOutcome::Unknown)]),
        "{told:?}"
    );
}
