//! Mechanisms that tests can switch off, to show that they fail without them.

/// A mechanism on which a guarantee depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mechanism {
    /// Only a newer generation replaces the current one.
    GenerationCheck,
    /// A starting daemon asks its peers before it serves.
    AskPeers,
    /// A starting daemon that cannot read the service waits until a generation must have spread.
    SpreadWait,
    /// Daemons announce new generations to each other.
    Announcements,
    /// Daemons compare generations periodically.
    Comparison,
    /// A change whose reply was lost is looked up by its identity.
    ReadBack,
    /// A roll-out leaves each model its least number of serving engines.
    LeastServing,
    /// Loads are rate-limited by the weight store's rate.
    Pacing,
}

/// The mechanisms that are switched off. Always empty outside of test builds.
pub(crate) type Switches = dahlia_types::Switches<Mechanism>;
