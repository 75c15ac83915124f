//! The daemons that may be told where streams began, and asked.

use super::WitnessCandidate;

/// The daemons that serve streams, as membership knows them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginMembers {
    /// Those that may be told and asked, and this daemon.
    pub live: Vec<WitnessCandidate>,
    /// Their number with those that are taken for dead. These may also be cut off, and know other servers.
    pub known: usize,
    /// Daemons that are told and asked as well, because they outlive those that serve streams: by region, the own one first.
    pub keepers: Vec<Vec<WitnessCandidate>>,
}

impl OriginMembers {
    /// Whether this daemon is on the side of most of them, so that their lists are not all outdated. A daemon that knows
    /// nobody yet, itself included, is on no side.
    pub(super) fn are_mostly_live(&self) -> bool {
        self.live.len() * 2 > self.known
    }
}
