//! What can stand in a trace.

use dahlia_types::Duration;

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

/// A process that a fault hits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// A daemon, by number.
    Daemon(u32),
    /// An engine, by number.
    Engine(u32),
    /// The daemon that owns a group at that moment.
    OwnerOf(u32),
}

/// A durable step of a daemon at which it can be killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashPoint {
    /// An intent is durable; nothing has left for the engine.
    BeforeSend,
    /// The attempt has left for the engine.
    AfterSend,
    /// The engine's answer is here; its outcome is not proposed.
    BeforeOutcome,
    /// The outcome is durable; no caller has been told.
    BeforeAnswer,
    /// A call has its place; its caller has not been told.
    BeforeBegun,
    /// A release is about to be asked of an engine.
    BeforeRelease,
    /// An engine confirmed a release; that is not proposed.
    BeforeReleaseRecorded,
    /// A new owner is about to ask after an earlier owner's attempt.
    BeforeEnquiry,
}

impl CrashPoint {
    /// All points, with their names in traces.
    pub const ALL: [(Self, &'static str); 8] = [
        (Self::BeforeSend, "before-send"),
        (Self::AfterSend, "after-send"),
        (Self::BeforeOutcome, "before-outcome"),
        (Self::BeforeAnswer, "before-answer"),
        (Self::BeforeBegun, "before-begun"),
        (Self::BeforeRelease, "before-release"),
        (Self::BeforeReleaseRecorded, "before-release-recorded"),
        (Self::BeforeEnquiry, "before-enquiry"),
    ];

    /// The name in traces.
    pub fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(point, _)| *point == self);
        found.map_or("", |(_, name)| name)
    }
}

/// A fault. Lengths of zero mean for good.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// SIGKILL; the process starts again, with nothing in memory, after the time.
    Kill {
        /// Who.
        subject: Subject,
        /// How long it is down.
        length: Duration,
    },
    /// SIGSTOP, and waking after the time with everything that came meanwhile.
    Freeze {
        /// Who.
        subject: Subject,
        /// How long.
        length: Duration,
    },
    /// SIGKILL of the daemon that next comes to a durable step.
    Crash {
        /// The step.
        point: CrashPoint,
        /// How often it is passed before.
        skip: u32,
        /// How long the daemon is down.
        length: Duration,
    },
    /// SIGSTOP of the daemon that next comes to a durable step, and waking after the time.
    Pause {
        /// The step.
        point: CrashPoint,
        /// How often it is passed before.
        skip: u32,
        /// How long the daemon stands still.
        length: Duration,
    },
    /// Nothing gets from one zone to another, in this direction.
    Cut {
        /// From this zone.
        from: String,
        /// To this zone.
        to: String,
        /// How long.
        length: Duration,
    },
    /// A zone is cut off from all others, in both directions.
    Isolate {
        /// The zone.
        zone: String,
        /// How long.
        length: Duration,
    },
    /// Everything from and to a zone takes longer.
    Slow {
        /// The zone.
        zone: String,
        /// How much longer.
        by: Duration,
        /// How long.
        length: Duration,
    },
    /// The key-value service does not answer.
    Outage {
        /// How long.
        length: Duration,
    },
    /// The key-value service's replies to changes are lost after the changes took effect.
    LostReply {
        /// How many.
        count: u32,
    },
    /// The key-value service answers from an older state.
    Stale {
        /// How long.
        length: Duration,
    },
    /// An engine says that it leaves. It goes on to accept work, so that any that it gets is seen.
    Leave {
        /// The engine's number.
        engine: u32,
        /// How long; afterwards it serves again.
        length: Duration,
    },
    /// An engine's load reports come late.
    Lag {
        /// The engine's number.
        engine: u32,
        /// How late.
        by: Duration,
        /// How long.
        length: Duration,
    },
    /// An engine's answers come late.
    Late {
        /// The engine's number.
        engine: u32,
        /// How late.
        by: Duration,
        /// How long.
        length: Duration,
    },
    /// An engine's streams carry each other's text.
    Crossed {
        /// The engine's number.
        engine: u32,
        /// How long.
        length: Duration,
    },
    /// Requests to an engine take effect and their replies are lost.
    LoseReplies {
        /// The engine's number.
        engine: u32,
        /// How many.
        count: u32,
    },
    /// A daemon stops as planned.
    Stop {
        /// The daemon's number.
        daemon: u32,
        /// How long it is away after it has ended.
        length: Duration,
    },
}

impl Fault {
    /// The keyword in traces.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Kill { .. } => "kill",
            Self::Freeze { .. } => "freeze",
            Self::Crash { .. } => "crash",
            Self::Pause { .. } => "pause",
            Self::Cut { .. } => "cut",
            Self::Isolate { .. } => "isolate",
            Self::Slow { .. } => "slow",
            Self::Outage { .. } => "outage",
            Self::LostReply { .. } => "lost-reply",
            Self::Stale { .. } => "stale",
            Self::Leave { .. } => "leave",
            Self::Lag { .. } => "lag",
            Self::Late { .. } => "late",
            Self::Crossed { .. } => "crossed",
            Self::LoseReplies { .. } => "lose-replies",
            Self::Stop { .. } => "stop",
        }
    }

    /// How long it lasts, as far as the trace says.
    pub fn length(&self) -> Duration {
        match self {
            Self::Kill { length, .. }
            | Self::Freeze { length, .. }
            | Self::Crash { length, .. }
            | Self::Pause { length, .. }
            | Self::Cut { length, .. }
            | Self::Isolate { length, .. }
            | Self::Slow { length, .. }
            | Self::Outage { length }
            | Self::Stale { length }
            | Self::Leave { length, .. }
            | Self::Lag { length, .. }
            | Self::Late { length, .. }
            | Self::Crossed { length, .. }
            | Self::Stop { length, .. } => *length,
            Self::LostReply { .. } | Self::LoseReplies { .. } => Duration::ZERO,
        }
    }
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
