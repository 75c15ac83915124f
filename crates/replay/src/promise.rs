//! The promises of the brief ("What must always hold"), in its order, and one of liveness.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// The calls of a chain run in the order in which the program issued them.
    Order,
    /// A program's history is never lost or mixed with another's.
    History,
    /// Engines never use more tokens for a program than its budget.
    Budget,
    /// Once a program is gone, engines hold nothing for it.
    Release,
    /// Each caller gets the whole answer to its own call, the same one at every gateway.
    WholeAnswer,
    /// A call whose caller was told "not run" was never started.
    NotRun,
    /// A call at most once is started at most once.
    AtMostOnce,
    /// An engine that leaves gets no new work after a few seconds.
    LeavingEngine,
    /// A planned stop cuts no request.
    PlannedStop,
    /// An accepted configuration is in force everywhere in time and never reverts.
    Configuration,
    /// Not in the brief's list: once faults have healed, every call ends.
    Progress,
}

impl Promise {
    /// All of them.
    pub const ALL: [Self; 11] = [
        Self::Order,
        Self::History,
        Self::Budget,
        Self::Release,
        Self::WholeAnswer,
        Self::NotRun,
        Self::AtMostOnce,
        Self::LeavingEngine,
        Self::PlannedStop,
        Self::Configuration,
        Self::Progress,
    ];

    /// The name in traces and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Order => "order",
            Self::History => "history",
            Self::Budget => "budget",
            Self::Release => "release",
            Self::WholeAnswer => "whole-answer",
            Self::NotRun => "not-run",
            Self::AtMostOnce => "at-most-once",
            Self::LeavingEngine => "leaving-engine",
            Self::PlannedStop => "planned-stop",
            Self::Configuration => "configuration",
            Self::Progress => "progress",
        }
    }
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for Promise {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|promise| promise.name() == text);
        found.ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|promise| promise.name()).collect();
            format!("one of {}", names.join(", "))
        })
    }
}
