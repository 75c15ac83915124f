//! Registers of the group that holds a program's budget.
//!
//! A register is a kept turn under a name that callers cannot form. Its text is the holder, and the
//! first text that is recorded stands. So a register needs no command of its own, and every build
//! can read logs that contain one.

use dahlia_types::{Duration, GroupId, Timestamp, Tokens};

use crate::{
    CloseTurn, ImportTurn, KeptChain, LedgerCommand, OpenTurn, ProgramName, TurnEnd, TurnId,
    TurnInput,
};

/// How long a register is kept after it was recorded or renewed.
pub const REGISTER_RETENTION: Duration = Duration::from_secs(1_200);
/// A register with less time left than this must be renewed when a turn is opened. It must outlive
/// the program's charge, which a ledger keeps for at most 900 s after a turn was opened.
pub const RENEW_REGISTER_BELOW: Duration = Duration::from_secs(930);

/// Records that `holder` holds the program's budget, unless another group is recorded already.
pub fn record_holder(program: &ProgramName, holder: GroupId) -> LedgerCommand {
    LedgerCommand::Import(ImportTurn {
        program: program.clone(),
        turn: TurnId::register_of(program),
        chain: KeptChain {
            text: holder.0.to_string().into_bytes(),
            served_by: String::new(),
            retention: REGISTER_RETENTION,
        },
        at: Timestamp::ZERO,
    })
}

/// Reads the register of a program. The reply is a chain, for [`recorded_holder`].
pub fn read_holder(program: &ProgramName) -> LedgerCommand {
    LedgerCommand::Read { turn: TurnId::register_of(program), at: Timestamp::ZERO }
}

/// The holder that a register names; none if the chain is not a register.
pub fn recorded_holder(register: &KeptChain) -> Option<GroupId> {
    let text = std::str::from_utf8(&register.text).ok()?;
    text.parse().ok().map(GroupId)
}

/// Keeps a register for another [`REGISTER_RETENTION`]: a kept turn that continues it. The two
/// commands must be applied in this order. `nonce` must differ between renewals.
pub fn renew_register(program: &ProgramName, nonce: u64) -> [LedgerCommand; 2] {
    let turn = TurnId::renewal(nonce);
    let input = TurnInput {
        previous: Some(TurnId::register_of(program)),
        new_input: Vec::new(),
        retention: REGISTER_RETENTION,
    };
    let open = OpenTurn {
        program: program.clone(),
        turn: turn.clone(),
        budget: None,
        max_generated: Tokens(0),
        input: Some(input),
        at: Timestamp::ZERO,
    };
    let end =
        TurnEnd::Completed { generated: Tokens(0), output: Vec::new(), served_by: String::new() };
    let close = CloseTurn { program: program.clone(), turn, end, at: Timestamp::ZERO };
    [LedgerCommand::Open(open), LedgerCommand::Close(close)]
}
