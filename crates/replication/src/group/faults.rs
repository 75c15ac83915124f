//! Switches that remove one safety mechanism each, so that tests can show that it is needed.

/// Mechanisms removed from a replica. All present by default; settings files cannot name them.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// A quorum is one voter less than a majority.
    pub short_quorum: bool,
    /// Messages to another incarnation of the same daemon are taken as its own.
    pub accept_any_incarnation: bool,
    /// Appends are accepted without comparing the term of the entry before them.
    pub no_previous_check: bool,
    /// A leader without contact to a quorum stays leader.
    pub no_check_quorum: bool,
    /// Votes are given without comparing logs.
    pub no_log_comparison: bool,
    /// A replica that is emptied forgets how far its log went.
    pub forget_retired_log: bool,
    /// Entries of earlier terms are committed by counting copies.
    pub commit_earlier_terms: bool,
    /// Acknowledgements of an earlier session with a peer are counted.
    pub accept_any_session: bool,
}
