//! Mechanisms that a run can do without, to show that the checker notices their absence.

use serde::Serialize;

/// One mechanism that a promise rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Switch {
    /// Only the first open call of a chain is handed to placement and attempted.
    OrderGate,
    /// A commit takes a majority of the group.
    QuorumAcknowledgement,
    /// Votes are given only to candidates with the whole log.
    LogComparison,
    /// Budget is set aside at the intent.
    Reservation,
    /// The duty to release is recorded with the intent.
    Obligation,
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
    /// Only a newer generation replaces the configuration in force.
    GenerationCheck,
    /// A starting daemon asks its peers for the generation.
    AskPeers,
    /// A starting daemon waits until a generation can have spread.
    SpreadWait,
}

impl Switch {
    /// All of them.
    pub const ALL: [Self; 20] = [
        Self::OrderGate,
        Self::QuorumAcknowledgement,
        Self::LogComparison,
        Self::Reservation,
        Self::Obligation,
        Self::StreamMatch,
        Self::AttemptComparison,
        Self::NotRunRule,
        Self::IntentBeforeSend,
        Self::Enquiry,
        Self::FenceBeforeEnquiry,
        Self::CancelBeforeNotRun,
        Self::EpochCheck,
        Self::EngineIncarnation,
        Self::AtMostOnce,
        Self::LeavingReports,
        Self::DrainWait,
        Self::GenerationCheck,
        Self::AskPeers,
        Self::SpreadWait,
    ];
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
