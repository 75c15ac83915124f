//! What was seen from outside: by callers, operators and engines. Nothing of it is a daemon's
//! own word about itself.

use std::collections::BTreeMap;

use dahlia_api::ErrorKind;
use dahlia_types::{AttemptId, CallId, DaemonId, Duration, Message, ProgramId, Timestamp, Usage};

/// A call, as its caller names it.
pub type CallName = CallId;

/// How a call ended, as its caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The whole answer, put together by the caller.
    Answered(String),
    /// It did not run.
    NotRun(String),
    /// It may have run.
    Unknown,
}

/// One thing that was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// An operator created a program.
    Created {
        /// The program.
        program: ProgramId,
        /// Its tenant.
        tenant: String,
        /// Its budget in tokens.
        budget: u64,
    },
    /// An operator asked for a larger budget.
    Raised {
        /// The program.
        program: ProgramId,
        /// The new total in tokens.
        budget: u64,
    },
    /// A caller or an operator was told that a program is closed.
    Closed {
        /// The program.
        program: ProgramId,
    },
    /// A caller sent a call for the first time.
    Sent {
        /// The call.
        call: CallName,
        /// What is new in it.
        messages: Vec<Message>,
        /// Whether it may run at most once.
        once: bool,
    },
    /// A caller asked for a call, for the first time or again.
    Asked {
        /// The call.
        call: CallName,
        /// Who.
        caller: usize,
    },
    /// A caller was told how a call ended.
    Told {
        /// The call.
        call: CallName,
        /// Who.
        caller: usize,
        /// The outcome.
        outcome: CallerOutcome,
        /// The gateway that told.
        gateway: DaemonId,
    },
    /// A caller's request was refused.
    Refused {
        /// The call.
        call: CallName,
        /// Who.
        caller: usize,
        /// Why.
        kind: ErrorKind,
    },
    /// A caller was told that the text it had was of an attempt that another one replaced.
    Replaced {
        /// The call.
        call: CallName,
    },
    /// A caller got text that does not follow what it had.
    OutOfPlace {
        /// The call.
        call: CallName,
        /// Bytes that it had.
        had: u64,
        /// Where the piece began.
        offset: u64,
    },
    /// An engine received a request to run an attempt.
    Received {
        /// The engine.
        engine: u32,
        /// The attempt.
        attempt: AttemptId,
        /// For how long the engine had said that it leaves.
        leaving_for: Option<Duration>,
    },
    /// An engine took an attempt into its queue.
    Accepted {
        /// The engine.
        engine: u32,
        /// Which life of it.
        life: u32,
        /// The attempt.
        attempt: AttemptId,
        /// Whose program it was said to be.
        tenant: String,
        /// The whole prompt.
        messages: Vec<Message>,
    },
    /// An engine began to run an attempt.
    Started {
        /// The engine.
        engine: u32,
        /// Which life of it.
        life: u32,
        /// The attempt.
        attempt: AttemptId,
    },
    /// An engine ended an attempt that it had begun, or died with it.
    Ended {
        /// The engine.
        engine: u32,
        /// The attempt.
        attempt: AttemptId,
        /// What it had used.
        usage: Usage,
        /// Its whole text, when it ended by itself.
        text: Option<String>,
    },
    /// An operator was told that its change of the configuration is accepted.
    ChangeAccepted {
        /// The change.
        change: String,
        /// The generation that it made.
        generation: u64,
    },
    /// A generation came into force on a daemon.
    InForce {
        /// The daemon.
        daemon: DaemonId,
        /// The generation.
        generation: u64,
    },
    /// A daemon's process started.
    DaemonStarted {
        /// The daemon.
        daemon: DaemonId,
    },
    /// A daemon was killed.
    Killed {
        /// The daemon.
        daemon: DaemonId,
        /// Groups whose programs it served.
        owned: Vec<u32>,
    },
    /// A daemon ended as planned.
    Stopped {
        /// The daemon.
        daemon: DaemonId,
        /// Callers' requests that it cut.
        cut: u32,
        /// How long the stop took.
        took: Duration,
    },
    /// A caller or operator never came to its end.
    Unfinished {
        /// Who, and what it waits for.
        what: String,
    },
}

/// An observation with its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// When.
    pub at: Timestamp,
    /// What.
    pub what: Observation,
}

/// Everything that was seen in one run.
#[derive(Debug, Clone)]
pub struct Observations {
    /// In order of time.
    pub seen: Vec<Seen>,
    /// When the run began.
    pub start: Timestamp,
    /// When it ended.
    pub end: Timestamp,
    /// When each program was last found to hold memory of an engine.
    pub last_held: BTreeMap<ProgramId, Timestamp>,
    /// Programs that hold memory of an engine now, with the engine.
    pub held_now: Vec<(ProgramId, u32)>,
    /// Names of programs in the trace.
    pub names: BTreeMap<ProgramId, String>,
}

impl Observations {
    pub(crate) fn new(start: Timestamp) -> Self {
        Self {
            seen: Vec::new(),
            start,
            end: start,
            last_held: BTreeMap::new(),
            held_now: Vec::new(),
            names: BTreeMap::new(),
        }
    }

    pub(crate) fn note(&mut self, at: Timestamp, what: Observation) {
        self.seen.push(Seen { at, what });
    }

    /// Whether no engine holds anything for any program.
    pub(crate) fn nothing_held(&self) -> bool {
        self.held_now.is_empty()
    }
}
