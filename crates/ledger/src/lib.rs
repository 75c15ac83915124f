//! Turns and token budgets of programs whose callers bring their own program names.
//!
//! Callers of a routed service name a program, its lines of turns and its budget in each request;
//! nobody creates the program beforehand. The ledger holds, for each such program, what its turns
//! may still generate and the text of the turns that a later turn may go on from. It is part of a
//! replica group's state: a command is applied on every replica alike, without I/O and without a
//! clock of its own.
//!
//! | module | job |
//! |---|---|
//! | `message` | what is asked of a ledger, and its answers |
//! | `ledger` | the state and the application of commands to it |
//! | `open`, `close` | a turn's reservation and its settlement |
//! | `expiry` | forgetting what is no longer kept |
//! | `transfer` | chains that a program of another group goes on from |
//! | `turn` | what is held of one turn |
//! | `clock` | time from the stamps of owners whose clocks disagree |
//! | `limits` | what a ledger may hold at most |
//! | `name` | names of programs and turns, with their tenant |
//! | `group` | which replica group holds a program |
//! | `text` | texts in their encoded form |

mod clock;
mod close;
mod expiry;
mod group;
mod ledger;
mod limits;
mod message;
mod name;
mod open;
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
