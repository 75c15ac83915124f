//! Turns and token budgets of programs that are named by their callers.
//!
//! Callers of a routed service name a program, its chains of turns and its budget in each request;
//! the program is not created beforehand. For each such program the ledger holds how many tokens
//! its turns may still generate, and the text of the turns that a later turn may continue. It is
//! part of a replica group's state: every replica applies a command in the same way, without I/O
//! and without reading a clock.
//!
//! | module | contents |
//! |---|---|
//! | `message` | commands to a ledger and its replies |
//! | `ledger` | the state and the application of commands to it |
//! | `open`, `close` | reserving a turn's tokens and settling them |
//! | `expiry` | removing turns and programs whose retention is over |
//! | `transfer` | chains that a program of another group continues |
//! | `turn` | the record of one turn |
//! | `clock` | time from the timestamps of owners whose clocks disagree |
//! | `limits` | limits of what a ledger holds |
//! | `name` | names of programs and turns, scoped by tenant |
//! | `group` | the replica group that holds a program |
//! | `register` | which group holds the budget of a program with turns in several groups |
//! | `text` | encoding of texts |

mod clock;
mod close;
mod expiry;
mod group;
mod ledger;
mod limits;
mod message;
mod name;
mod open;
mod register;
mod text;
mod transfer;
mod turn;

pub use group::{group_in_region, group_of, group_of_tenant};
pub use ledger::{Ledger, LedgerSize, ProgramCharge};
pub use limits::LedgerLimits;
pub use message::{
    ChargedChain, CloseTurn, ImportCharged, ImportTurn, KeptChain, LedgerCommand, LedgerReply,
    OpenTurn, OpenedTurn, TurnEnd, TurnInput, TurnRefusal,
};
pub use name::{ProgramName, TurnId};
pub use register::{
    REGISTER_RETENTION, RENEW_REGISTER_BELOW, read_holder, record_holder, recorded_holder,
    renew_register,
};
