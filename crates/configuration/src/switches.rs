//! Mechanisms that a test can switch off, to show that its checker notices their absence.

/// One mechanism that a promise rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mechanism {
    /// Only a newer generation replaces the one in force.
    GenerationCheck,
    /// A starting daemon asks its peers before it serves.
    AskPeers,
    /// A starting daemon without the service waits until a generation can have spread.
    SpreadWait,
    /// Daemons tell each other of new generations.
    Announcements,
    /// Daemons compare generations now and then.
    Comparison,
    /// A change whose reply was lost is looked for by its identity.
    ReadBack,
    /// A roll-out leaves a model its least number of serving engines.
    LeastServing,
    /// Loads are paced by the weight store's rate.
    Pacing,
}

/// The mechanisms switched off. Always empty outside of test builds.
pub(crate) type Switches = dahlia_types::Switches<Mechanism>;
