//! A ledger whose time is set by the test.

#![allow(dead_code, reason = "each test file uses a part")]

use dahlia_ledger::{
    CloseTurn, Ledger, LedgerCommand, LedgerLimits, LedgerReply, OpenTurn, OpenedTurn, ProgramName,
    TurnEnd, TurnId, TurnInput, TurnRefusal,
};
use dahlia_types::{Duration, Timestamp, Tokens};

/// Retention that turns ask for.
pub const RETENTION: Duration = Duration::from_secs(60);
/// Longer than a turn is kept beyond its retention.
pub const PAST_RETENTION: Duration = Duration::from_secs(100);
/// Owners propose an expiry at least this often.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// A ledger and the clock of its owner.
pub struct TestLedger {
    pub inner: Ledger,
    pub now: Timestamp,
}

impl TestLedger {
    pub fn new(limits: LedgerLimits) -> Self {
        Self { inner: Ledger::new(limits), now: Timestamp(1_000_000_000) }
    }

    pub fn apply(&mut self, command: LedgerCommand) -> LedgerReply {
        self.inner.apply(&command.with_timestamp(self.now))
    }

    pub fn open(&mut self, open: OpenTurn) -> Result<OpenedTurn, TurnRefusal> {
        match self.apply(LedgerCommand::Open(open)) {
            LedgerReply::Opened(opened) => Ok(opened),
            LedgerReply::Refused(refusal) => Err(refusal),
            other => panic!("not a reply to an open command: {other:?}"),
        }
    }

    pub fn close(&mut self, program: &str, turn: &str, end: TurnEnd) {
        let (program, turn) = (ProgramName::new(None, program), TurnId::new(None, turn));
        let close = CloseTurn { program, turn, end, at: self.now };
        assert_eq!(self.apply(LedgerCommand::Close(close)), LedgerReply::Closed);
    }

    /// Opens a kept turn and completes it.
    pub fn complete_turn(
        &mut self,
        program: &str,
        turn: &str,
        previous: Option<&str>,
        text: [&str; 2],
    ) {
        self.open(kept_turn(program, turn, previous, text[0])).expect("opened");
        self.close(program, turn, completed(1, text[1]));
    }

    /// Advances the clock, with the expiry commands that an owner proposes at intervals.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = end.min(self.now + EXPIRY_INTERVAL);
            self.apply(LedgerCommand::Expire { now: self.now });
        }
    }

    /// The tokens that a program has spent and reserved.
    pub fn used(&self, program: &str) -> Option<(u64, u64)> {
        let charge = self.inner.charge(&ProgramName::new(None, program))?;
        Some((charge.spent.0, charge.reserved.0))
    }
}

/// A command that opens a turn whose text is not kept.
pub fn unkept_turn(program: &str, turn: &str, budget: u64, max_generated: u64) -> OpenTurn {
    OpenTurn {
        program: ProgramName::new(None, program),
        turn: TurnId::new(None, turn),
        budget: Some(Tokens(budget)),
        max_generated: Tokens(max_generated),
        input: None,
        at: Timestamp::ZERO,
    }
}

/// A command that opens a turn whose text is kept, in a program with a large budget.
pub fn kept_turn(program: &str, turn: &str, previous: Option<&str>, new_input: &str) -> OpenTurn {
    let input = TurnInput {
        previous: previous.map(|previous| TurnId::new(None, previous)),
        new_input: new_input.into(),
        retention: RETENTION,
    };
    OpenTurn { input: Some(input), ..unkept_turn(program, turn, 1_000_000, 10) }
}

/// The end of a completed turn.
pub fn completed(generated: u64, output: &str) -> TurnEnd {
    let served_by = "server".to_owned();
    TurnEnd::Completed { generated: Tokens(generated), output: output.into(), served_by }
}

pub fn no_such_turn(turn: &str) -> TurnRefusal {
    TurnRefusal::NoSuchTurn { previous: TurnId::new(None, turn) }
}
