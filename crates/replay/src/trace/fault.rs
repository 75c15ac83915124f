//! What goes wrong in a trace.

use dahlia_types::Duration;

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
