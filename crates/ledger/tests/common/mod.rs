//! A ledger with a hand on its time, for tests.

#![allow(dead_code, reason = "each test file uses a part")]

use dahlia_ledger::{
    CloseTurn, Ledger, LedgerCommand, LedgerLimits, LedgerReply, OpenTurn, OpenedTurn, ProgramName,
    TurnEnd, TurnId, TurnInput, TurnRefusal,
};
use dahlia_types::{Duration, Timestamp, Tokens};

/// What turns ask to be kept for.
pub const RETENTION: Duration = Duration::from_secs(60);
/// Longer than a turn is kept beyond what it asked for.
pub const WELL_OVER: Duration = Duration::from_secs(100);
/// Owners stamp a ledger at least this often.
const STAMP_INTERVAL: Duration = Duration::from_secs(5);

/// A ledger and its owner's clock.
pub struct Bench {
    pub ledger: Ledger,
    pub now: Timestamp,
}

impl Bench {
    pub fn new(limits: LedgerLimits) -> Self {
        Self { ledger: Ledger::new(limits), now: Timestamp(1_000_000_000) }
    }

    pub fn apply(&mut self, command: LedgerCommand) -> LedgerReply {
        self.ledger.apply(&command.with_timestamp(self.now))
    }

    pub fn open(&mut self, open: OpenTurn) -> Result<OpenedTurn, TurnRefusal> {
        match self.apply(LedgerCommand::Open(open)) {
            LedgerReply::Opened(opened) => Ok(opened),
            LedgerReply::Refused(refusal) => Err(refusal),
            other => panic!("not an answer to an opening: {other:?}"),
        }
    }

    pub fn close(&mut self, program: &str, turn: &str, end: TurnEnd) {
        let (program, turn) = (ProgramName::new(None, program), TurnId::new(None, turn));
        let close = CloseTurn { program, turn, end, at: self.now };
        assert_eq!(self.apply(LedgerCommand::Close(close)), LedgerReply::Closed);
    }

    /// Opens a kept turn and ends it whole.
    pub fn turn(&mut self, program: &str, turn: &str, previous: Option<&str>, text: [&str; 2]) {
        self.open(kept(program, turn, previous, text[0])).expect("opened");
        self.close(program, turn, whole(1, text[1]));
    }

    /// Lets time pass as an owner does, who has the ledger expire now and then.
    pub fn pass(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = end.min(self.now + STAMP_INTERVAL);
            self.apply(LedgerCommand::Expire { now: self.now });
        }
    }

    /// Tokens spent and reserved.
    pub fn used(&self, program: &str) -> Option<(u64, u64)> {
        let charge = self.ledger.charge(&ProgramName::new(None, program))?;
        Some((charge.spent.0, charge.reserved.0))
    }
}

/// A turn that nothing is kept of.
pub fn plain(program: &str, turn: &str, budget: u64, most: u64) -> OpenTurn {
    OpenTurn {
        program: ProgramName::new(None, program),
        turn: TurnId::new(None, turn),
        budget: Some(Tokens(budget)),
        max_generated: Tokens(most),
        input: None,
        at: Timestamp::ZERO,
    }
}

/// A turn whose text is kept, of a program that has budget enough.
pub fn kept(program: &str, turn: &str, previous: Option<&str>, new_input: &str) -> OpenTurn {
    let input = TurnInput {
        previous: previous.map(|previous| TurnId::new(None, previous)),
        new_input: new_input.into(),
        retention: RETENTION,
    };
    OpenTurn { input: Some(input), ..plain(program, turn, 1_000_000, 10) }
}

pub fn whole(generated: u64, output: &str) -> TurnEnd {
    let served_by = "server".to_owned();
    TurnEnd::Completed { generated: Tokens(generated), output: output.into(), served_by }
}

pub fn no_such_turn(turn: &str) -> TurnRefusal {
    TurnRefusal::NoSuchTurn { previous: TurnId::new(None, turn) }
}
