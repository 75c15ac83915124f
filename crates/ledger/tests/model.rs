//! Random commands, checked against a model that keeps every turn and recomputes every sum.

mod common;

use std::collections::BTreeMap;

use common::{RETENTION, TestLedger, completed, kept_turn};
use dahlia_ledger::{LedgerLimits, OpenTurn, OpenedTurn, TurnEnd, TurnRefusal};
use dahlia_types::{Duration, Timestamp, Tokens};
use proptest::prelude::*;

const PROGRAMS: usize = 3;
const TURNS: usize = 24;
const BUDGET: u64 = 60;
/// Longest step of the clock. Open turns expire after 300 s and runs are shorter, so that the model
/// does not need this rule.
const MAX_ADVANCE_S: u64 = 20;

#[derive(Debug, Clone)]
enum Step {
    Open {
        program: usize,
        turn: usize,
        previous: Option<usize>,
        max_generated: u64,
    },
    Close {
        turn: usize,
        end: End,
    },
    Advance(u64),
    /// The owner changes to one whose clock shows this many seconds.
    NewOwner(u64),
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Completed(u64),
    NotRun,
    Incomplete,
}

#[derive(Debug, Clone)]
struct ModelTurn {
    program: usize,
    max_generated: u64,
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
        let turns = self.turns.values().filter(|turn| turn.program == program);
        let charge = turns.map(|turn| match turn.end {
            Some(End::Completed(generated)) => generated,
            Some(End::NotRun) => 0,
            Some(End::Incomplete) | None => turn.max_generated,
        });
        charge.sum()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let turn = 0..TURNS;
    let end = prop_oneof![
        4 => (0..10_u64).prop_map(End::Completed),
        1 => Just(End::NotRun),
        1 => Just(End::Incomplete),
    ];
    let previous = proptest::option::weighted(0.7, turn.clone());
    prop_oneof![
        5 => (0..PROGRAMS, turn.clone(), previous, 10..20_u64).prop_map(
            |(program, turn, previous, max_generated)| Step::Open { program, turn, previous, max_generated }
        ),
        5 => (turn, end).prop_map(|(turn, end)| Step::Close { turn, end }),
        1 => (1..=MAX_ADVANCE_S).prop_map(Step::Advance),
        1 => (0..10_000_u64).prop_map(Step::NewOwner),
    ]
}

struct ModelRun {
    ledger: TestLedger,
    model: Model,
    owners: u64,
}

impl ModelRun {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Open { program, turn, previous, max_generated } => {
                self.open(program, turn, previous, max_generated);
            }
            Step::Close { turn, end } => self.close(turn, end),
            Step::Advance(seconds) => {
                self.ledger.advance(Duration::from_secs(seconds));
                self.model.seconds += seconds;
            }
            Step::NewOwner(clock) => {
                self.owners += 1;
                self.ledger.now = Timestamp(1) + Duration::from_secs(clock);
            }
        }
    }

    fn open(&mut self, program: usize, turn: usize, previous: Option<usize>, max_generated: u64) {
        let parent = previous.map(|previous| format!("t{previous}"));
        let (name, id) = (format!("p{program}"), format!("t{turn}"));
        let command = kept_turn(&name, &id, parent.as_deref(), &format!("<{turn}"));
        let (budget, max_tokens) = (Some(Tokens(BUDGET)), Tokens(max_generated));
        let reply = self.ledger.open(OpenTurn { budget, max_generated: max_tokens, ..command });
        let charge = self.model.charge(program);
        let is_known = self.model.turns.contains_key(&turn);
        match reply {
            Ok(opened) if is_known => self.check_retry(turn, &opened),
            Ok(opened) => {
                assert!(
                    charge + max_generated <= BUDGET,
                    "charged {charge} and opened {max_generated}"
                );
                self.record_opened(program, turn, previous, max_generated, &opened);
            }
            Err(TurnRefusal::BudgetSpent { used, .. }) => {
                assert_eq!(used.0, charge);
                assert!(charge + max_generated > BUDGET);
            }
            Err(TurnRefusal::NoSuchTurn { .. }) => {
                let parent = previous.and_then(|previous| self.model.turns.get(&previous));
                let completed_parent =
                    parent.filter(|turn| matches!(turn.end, Some(End::Completed(_))));
                // Each change of owner may use up a bounded part of the retention margin.
                let elapsed = completed_parent.map(|turn| self.model.seconds - turn.ended_at);
                let kept = RETENTION.as_micros() / 1_000_000;
                assert!(elapsed.is_none_or(|elapsed| elapsed + 10 * self.owners >= kept));
            }
            Err(TurnRefusal::NotEnded { .. }) => {
                let parent = previous.and_then(|previous| self.model.turns.get(&previous));
                assert!(parent.is_some_and(|turn| turn.end.is_none()));
            }
            Err(TurnRefusal::AlreadyEnded) => {
                let known = self.model.turns.get(&turn);
                let foreign = known.is_some_and(|model_turn| model_turn.program != program);
                let ended = known.is_some_and(|model_turn| model_turn.end.is_some());
                assert!(foreign || ended || self.model.closed_unopened.contains(&turn));
            }
            Err(limit) => panic!("no limit is near: {limit:?}"),
        }
    }

    fn check_retry(&self, turn: usize, opened: &OpenedTurn) {
        let model_turn = &self.model.turns[&turn];
        assert_eq!(model_turn.end, None, "an ended turn was opened again");
        assert_eq!(opened.history, model_turn.history.as_bytes());
    }

    fn record_opened(
        &mut self,
        program: usize,
        turn: usize,
        previous: Option<usize>,
        max_generated: u64,
        opened: &OpenedTurn,
    ) {
        let parent = previous.map(|previous| &self.model.turns[&previous]);
        let history = parent.map(|parent| format!("{}{}", parent.history, parent.text));
        let history = history.unwrap_or_default();
        assert_eq!(opened.history, history.as_bytes());
        let text = format!("<{turn}");
        let model_turn =
            ModelTurn { program, max_generated, history, text, end: None, ended_at: 0 };
        self.model.turns.insert(turn, model_turn);
    }

    fn close(&mut self, turn: usize, end: End) {
        let program = self.model.turns.get(&turn).map_or(0, |model_turn| model_turn.program);
        let output = format!("{turn}>");
        let turn_end = match end {
            End::Completed(generated) => completed(generated, &output),
            End::NotRun => TurnEnd::NotRun,
            End::Incomplete => TurnEnd::Incomplete,
        };
        self.ledger.close(&format!("p{program}"), &format!("t{turn}"), turn_end);
        let seconds = self.model.seconds;
        match self.model.turns.get_mut(&turn) {
            None => self.model.closed_unopened.push(turn),
            Some(model_turn) if model_turn.end.is_none() => {
                model_turn.end = Some(end);
                model_turn.ended_at = seconds;
                model_turn.text.push_str(&output);
            }
            Some(_) => {}
        }
    }

    fn check(&self) {
        for program in 0..PROGRAMS {
            let charge = self.model.charge(program);
            assert!(charge <= BUDGET);
            let used = self.ledger.used(&format!("p{program}"));
            assert_eq!(used.map_or(0, |(spent, reserved)| spent + reserved), charge);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn a_ledger_agrees_with_the_model(steps in proptest::collection::vec(step(), 1..150)) {
        let (ledger, model) = (TestLedger::new(LedgerLimits::default()), Model::default());
        let mut run = ModelRun { ledger, model, owners: 0 };
        for step in steps {
            // A turn's name may be used again once the ledger has removed the turn. The model
            // keeps turns for ever, so runs end before that.
            if run.model.seconds + run.owners * 10 + MAX_ADVANCE_S >= 60 {
                break;
            }
            run.apply(step);
            run.check();
        }
    }
}
