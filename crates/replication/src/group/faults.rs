//! Switches that disable one safety mechanism each, so that tests can show that it is needed.

/// Safety mechanisms that are disabled in a replica. By default none is; settings files cannot
/// disable them.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// A quorum is one voter less than a majority.
    pub short_quorum: bool,
    /// Messages to another incarnation of the same daemon are accepted.
    pub accept_any_incarnation: bool,
    /// Appends are accepted without comparing the term of the entry before them.
    pub no_previous_check: bool,
    /// A leader without contact to a quorum remains the leader.
    pub no_check_quorum: bool,
    /// Votes are granted without comparing logs.
    pub no_log_comparison: bool,
    /// A retired replica forgets the last entry of its log.
    pub forget_retired_log: bool,
    /// Entries of earlier terms are committed by counting copies.
    pub commit_earlier_terms: bool,
    /// Acknowledgements of an earlier session with a peer count.
    pub accept_any_session: bool,
}
