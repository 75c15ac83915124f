//! Mechanisms that a run can do without, to show that the checker notices their absence.

use serde::Serialize;

/// One mechanism that a promise rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// Only the first open call of a chain is attempted.
    OrderGate,
    /// A key or number used again must come with the same content.
    DigestCheck,
    /// A commit takes a majority of the group.
    QuorumAcknowledgement,
    /// Votes are given only to candidates with the whole log.
    LogComparison,
    /// A daemon without memory is another replica.
    ReplicaIncarnation,
    /// Budget is set aside at the intent.
    Reservation,
    /// The duty to release is recorded with the intent.
    Obligation,
    /// A confirmed release ends only what it covers.
    ReleaseCover,
    /// Streams are matched by attempt.
    StreamMatch,
    /// Text of different attempts is not joined.
    AttemptComparison,
    /// A call that may have run is not recorded as not run.
    NotRunRule,
    /// An intent is durable before bytes leave.
    IntentBeforeSend,
    /// A new owner asks after interrupted attempts.
    Enquiry,
    /// The owner's epoch goes to the engine before an enquiry.
    FenceBeforeEnquiry,
    /// An attempt that an engine does not know is cancelled there before it counts as not run.
    CancelBeforeNotRun,
    /// Engines refuse older epochs.
    EpochCheck,
    /// Engines refuse attempts that are meant for another life of them.
    EngineIncarnation,
    /// A call at most once is not attempted again after it may have run.
    AtMostOnce,
    /// Engines that say that they leave get no new work.
    LeavingReports,
    /// A planned stop waits for what is in progress.
    DrainWait,
    /// A planned stop hands its groups over.
    HandOver,
    /// A cancel that was not answered is sent again.
    CancelRetry,
    /// Only a newer generation replaces the configuration in force.
    GenerationCheck,
    /// A starting daemon asks its peers for the generation.
    AskPeers,
    /// A starting daemon waits until a generation can have spread.
    SpreadWait,
    /// Daemons tell each other of new generations.
    Announcements,
    /// A change whose reply was lost is looked for by its identity.
    ReadBack,
}

/// The mechanisms that a run does without.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Switches {
    off: Vec<Switch>,
}

impl Switches {
    /// Every mechanism is in place.
    pub fn all_on() -> Self {
        Self::default()
    }

    /// Takes mechanisms out of a run. Only test builds can.
    #[cfg(feature = "test-switches")]
    pub fn without(off: &[Switch]) -> Self {
        Self { off: off.to_vec() }
    }

    /// Whether a mechanism is in place.
    pub fn is_on(&self, switch: Switch) -> bool {
        !self.off.contains(&switch)
    }
}
