//! What can stand in a trace.

use dahlia_types::Duration;

use super::fault::Fault;

/// What runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Names of the zones; daemons and engines are spread over them in turn.
    pub zones: Vec<String>,
    /// Number of daemons, named 1 and up.
    pub daemons: u32,
    /// Number of replica groups.
    pub groups: u32,
    /// Voters of each group.
    pub replicas: u32,
    /// Number of engines, named `e1` and up.
    pub engines: u32,
    /// KV cache of each engine, in tokens.
    pub cache: u64,
    /// Most attempts in an engine's batch.
    pub batch: u32,
    /// One way between zones.
    pub zone_link: Duration,
    /// One way between callers and gateways.
    pub client_link: Duration,
    /// Chance that a message between daemons is lost.
    pub loss: f64,
    /// Chance that a message between daemons comes twice.
    pub duplicate: f64,
    /// Chance that a message between daemons is overtaken.
    pub reorder: f64,
    /// Longest that an attempt may run.
    pub attempt_limit: Duration,
}

impl Default for Deployment {
    fn default() -> Self {
        Self {
            zones: ["hall-a", "hall-b", "hall-c"].map(str::to_owned).to_vec(),
            daemons: 5,
            groups: 2,
            replicas: 3,
            engines: 3,
            cache: 20_000,
            batch: 8,
            zone_link: Duration::from_micros(1_500),
            client_link: Duration::from_millis(3),
            loss: 0.0,
            duplicate: 0.0,
            reorder: 0.0,
            attempt_limit: Duration::from_secs(15),
        }
    }
}

/// How a program ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndOfProgram {
    /// Its caller closes it after its last call.
    Close,
    /// Its caller goes away after its last call; it expires.
    Leave,
    /// Its caller goes away in the middle of its last call's answer; it expires.
    Abandon,
}

/// What a caller sends of the conversation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptForm {
    /// Only what is new.
    New,
    /// The whole conversation each time, as chat clients do.
    Whole,
}

/// A program and its caller's doings.
#[derive(Debug, Clone, PartialEq)]
pub struct ProgramScript {
    /// Its name in the trace.
    pub name: String,
    /// Its tenant.
    pub tenant: String,
    /// Its replica group.
    pub group: u32,
    /// Tokens, prompts and answers.
    pub budget: u64,
    /// It ends by itself after so long without a call.
    pub expiry: Duration,
    /// Calls of the main chain.
    pub turns: u32,
    /// Tokens of each call's message.
    pub prompt: u64,
    /// Tokens of each answer.
    pub answer: u64,
    /// Pause between an answer and the next call (a tool at work).
    pub pause: Duration,
    /// The first gateway; others are tried after it.
    pub gateway: u32,
    /// Each so-manieth call is at most once; 0 none.
    pub once: u32,
    /// Number of sub-agents, begun after the first turn, at work beside the main chain.
    pub agents: u32,
    /// Calls of each sub-agent.
    pub agent_turns: u32,
    /// The call of the main chain that the engine never ends by itself; 0 none.
    pub hang: u32,
    /// Calls that are sent without waiting for the one before.
    pub pipelined: bool,
    /// What is sent of the conversation.
    pub form: PromptForm,
    /// How it ends.
    pub end: EndOfProgram,
}

impl Default for ProgramScript {
    fn default() -> Self {
        Self {
            name: String::new(),
            tenant: "acme".to_owned(),
            group: 0,
            budget: 100_000,
            expiry: Duration::from_secs(8),
            turns: 4,
            prompt: 30,
            answer: 20,
            pause: Duration::from_millis(200),
            gateway: 1,
            once: 0,
            agents: 0,
            agent_turns: 2,
            hang: 0,
            pipelined: false,
            form: PromptForm::New,
            end: EndOfProgram::Close,
        }
    }
}

/// What callers and operators do.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// An operator creates a program and its caller begins.
    Program(ProgramScript),
    /// An operator raises a budget.
    Raise {
        /// The program.
        program: String,
        /// The new total in tokens.
        budget: u64,
    },
    /// An operator closes a program, whatever its caller is doing.
    Close {
        /// The program.
        program: String,
    },
    /// An operator brings in a change of the configuration.
    Change {
        /// Its name; two of one time race.
        name: String,
        /// The daemon that it is put to first.
        gateway: u32,
    },
    /// A late duplicate of a call that was sent before, at another gateway.
    Repeat {
        /// The program.
        program: String,
        /// The chain.
        chain: u32,
        /// The call's number in it.
        number: u32,
        /// The gateway.
        gateway: u32,
    },
}

/// Workload or fault.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// What callers and operators do.
    Work(Work),
    /// What goes wrong.
    Fault(Fault),
}

/// How a call ended, for stated outcomes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OutcomeKind {
    /// With its answer.
    Answered,
    /// Not run.
    NotRun,
    /// Unknown.
    Unknown,
}

impl OutcomeKind {
    /// All kinds, with their names in traces.
    pub const ALL: [(Self, &'static str); 3] =
        [(Self::Answered, "answered"), (Self::NotRun, "not-run"), (Self::Unknown, "unknown")];

    /// The name in traces.
    pub fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(kind, _)| *kind == self);
        found.map_or("", |(_, name)| name)
    }
}

/// A stated outcome: so many calls of a program end in one way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expectation {
    /// The program; empty for all.
    pub program: String,
    /// How the calls end.
    pub outcome: OutcomeKind,
    /// At least so many.
    pub least: u32,
    /// At most so many.
    pub most: u32,
}
