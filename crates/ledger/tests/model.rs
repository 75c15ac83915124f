//! Random commands against a model that keeps every turn and adds everything up each time.

mod common;

use std::collections::BTreeMap;

use common::{Bench, RETENTION, kept, whole};
use dahlia_ledger::{LedgerLimits, OpenTurn, OpenedTurn, TurnEnd, TurnRefusal};
use dahlia_types::{Duration, Timestamp, Tokens};
use proptest::prelude::*;

const PROGRAMS: usize = 3;
const TURNS: usize = 24;
const BUDGET: u64 = 60;
/// A turn is given up after 300 s; runs are shorter, so that the model needs no such rule.
const LONGEST_PASS: u64 = 20;

#[derive(Debug, Clone)]
enum Step {
    Open {
        program: usize,
        turn: usize,
        previous: Option<usize>,
        most: u64,
    },
    Close {
        turn: usize,
        end: End,
    },
    Pass(u64),
    /// The owner changes to one whose clock is off by so many seconds.
    NewOwner(u64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Whole(u64),
    NotRun,
    Broken,
}

#[derive(Debug, Clone)]
struct ModelTurn {
    program: usize,
    most: u64,
    history: String,
    text: String,
    end: Option<End>,
    ended_at: u64,
}

#[derive(Default)]
struct Model {
    turns: BTreeMap<usize, ModelTurn>,
    closed_unopened: Vec<usize>,
    seconds: u64,
}

impl Model {
    fn charge(&self, program: usize) -> u64 {
        let of_program = self.turns.values().filter(|turn| turn.program == program);
        let charge = of_program.map(|turn| match turn.end {
            Some(End::Whole(generated)) => generated,
            Some(End::NotRun) => 0,
            Some(End::Broken) | None => turn.most,
        });
        charge.sum()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let turn = 0..TURNS;
    let end = prop_oneof![
        4 => (0..10_u64).prop_map(End::Whole),
        1 => Just(End::NotRun),
        1 => Just(End::Broken),
    ];
    let previous = proptest::option::weighted(0.7, turn.clone());
    prop_oneof![
        5 => (0..PROGRAMS, turn.clone(), previous, 10..20_u64).prop_map(
            |(program, turn, previous, most)| Step::Open { program, turn, previous, most }
        ),
        5 => (turn, end).prop_map(|(turn, end)| Step::Close { turn, end }),
        1 => (1..=LONGEST_PASS).prop_map(Step::Pass),
        1 => (0..10_000_u64).prop_map(Step::NewOwner),
    ]
}

struct Run {
    bench: Bench,
    model: Model,
    owners: u64,
}

impl Run {
    fn take(&mut self, step: Step) {
        match step {
            Step::Open { program, turn, previous, most } => {
                self.open(program, turn, previous, most);
            }
            Step::Close { turn, end } => self.close(turn, end),
            Step::Pass(seconds) => {
                self.bench.pass(Duration::from_secs(seconds));
                self.model.seconds += seconds;
            }
            Step::NewOwner(clock) => {
                self.owners += 1;
                self.bench.now = Timestamp(1) + Duration::from_secs(clock);
            }
        }
    }

    fn open(&mut self, program: usize, turn: usize, previous: Option<usize>, most: u64) {
        let parent = previous.map(|previous| format!("t{previous}"));
        let (name, id) = (format!("p{program}"), format!("t{turn}"));
        let asked = kept(&name, &id, parent.as_deref(), &format!("<{turn}"));
        let (budget, max_generated) = (Some(Tokens(BUDGET)), Tokens(most));
        let answer = self.bench.open(OpenTurn { budget, max_generated, ..asked });
        let charge = self.model.charge(program);
        let is_known = self.model.turns.contains_key(&turn);
        match answer {
            Ok(opened) if is_known => self.check_repeat(turn, &opened),
            Ok(opened) => {
                assert!(charge + most <= BUDGET, "charged {charge} and opened {most}");
                self.opened(program, turn, previous, most, &opened);
            }
            Err(TurnRefusal::BudgetSpent { used, .. }) => {
                assert_eq!(used.0, charge);
                assert!(charge + most > BUDGET);
            }
            Err(TurnRefusal::NoSuchTurn { .. }) => {
                let parent = previous.and_then(|previous| self.model.turns.get(&previous));
                let is_whole = parent.filter(|turn| matches!(turn.end, Some(End::Whole(_))));
                // A new owner's clock may take a bounded part of the margin.
                let passed = is_whole.map(|turn| self.model.seconds - turn.ended_at);
                let kept = RETENTION.as_micros() / 1_000_000;
                assert!(passed.is_none_or(|passed| passed + 10 * self.owners >= kept));
            }
            Err(TurnRefusal::NotEnded { .. }) => {
                let parent = previous.and_then(|previous| self.model.turns.get(&previous));
                assert!(parent.is_some_and(|turn| turn.end.is_none()));
            }
            Err(TurnRefusal::AlreadyEnded) => {
                let turn_ended = self.model.turns.get(&turn);
                let foreign = turn_ended.is_some_and(|held| held.program != program);
                let ended = turn_ended.is_some_and(|held| held.end.is_some());
                assert!(foreign || ended || self.model.closed_unopened.contains(&turn));
            }
            Err(limit) => panic!("no limit is near: {limit:?}"),
        }
    }

    fn check_repeat(&self, turn: usize, opened: &OpenedTurn) {
        let held = &self.model.turns[&turn];
        assert_eq!(held.end, None, "an ended turn was opened again");
        assert_eq!(opened.history, held.history.as_bytes());
    }

    fn opened(
        &mut self,
        program: usize,
        turn: usize,
        previous: Option<usize>,
        most: u64,
        opened: &OpenedTurn,
    ) {
        let before = previous.map(|previous| &self.model.turns[&previous]);
        let history = before.map(|parent| format!("{}{}", parent.history, parent.text));
        let history = history.unwrap_or_default();
        assert_eq!(opened.history, history.as_bytes());
        let text = format!("<{turn}");
        let held = ModelTurn { program, most, history, text, end: None, ended_at: 0 };
        self.model.turns.insert(turn, held);
    }

    fn close(&mut self, turn: usize, end: End) {
        let program = self.model.turns.get(&turn).map_or(0, |held| held.program);
        let output = format!("{turn}>");
        let told = match end {
            End::Whole(generated) => whole(generated, &output),
            End::NotRun => TurnEnd::NotRun,
            End::Broken => TurnEnd::Incomplete,
        };
        self.bench.close(&format!("p{program}"), &format!("t{turn}"), told);
        let seconds = self.model.seconds;
        match self.model.turns.get_mut(&turn) {
            None => self.model.closed_unopened.push(turn),
            Some(held) if held.end.is_none() => {
                held.end = Some(end);
                held.ended_at = seconds;
                held.text.push_str(&output);
            }
            Some(_) => {}
        }
    }

    fn check(&self) {
        for program in 0..PROGRAMS {
            let charge = self.model.charge(program);
            assert!(charge <= BUDGET);
            let used = self.bench.used(&format!("p{program}"));
            assert_eq!(used.map_or(0, |(spent, reserved)| spent + reserved), charge);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn a_ledger_agrees_with_its_model(steps in proptest::collection::vec(step(), 1..150)) {
        let (bench, model) = (Bench::new(LedgerLimits::default()), Model::default());
        let mut run = Run { bench, model, owners: 0 };
        for step in steps {
            // Names of turns may be used again once the ledger has forgotten them; the model
            // keeps them, so runs end before.
            if run.model.seconds + run.owners * 10 + LONGEST_PASS >= 60 {
                break;
            }
            run.take(step);
            run.check();
        }
    }
}
