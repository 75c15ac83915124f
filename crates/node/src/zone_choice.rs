//! Choice of the daemons of a zone that do a job for the others there, one for each fifty. All daemons that
//! know the same members choose the same ones, without exchanging messages.

use std::net::SocketAddr;

use dahlia_types::DaemonId;

/// Daemons of a zone per chosen daemon. What a chosen daemon sends grows with them, and its link does not.
pub(crate) const DAEMONS_PER_CHOSEN: usize = 50;

/// A daemon that may be chosen, and where it listens.
pub(crate) type Candidate = (DaemonId, SocketAddr);

/// The job of the chosen daemons. Each role has its own order of daemons, so that one daemon seldom has all
/// roles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ZoneRole {
    /// Reads an outside source.
    SourceReader,
    /// Adds up loads.
    LoadAggregator,
}

impl ZoneRole {
    fn salt(self) -> u32 {
        match self {
            Self::SourceReader => 0,
            Self::LoadAggregator => 0x6c6f_6164,
        }
    }

    /// Rank of a daemon in a pseudo-random order that all daemons agree on.
    fn rank(self, daemon: DaemonId) -> u64 {
        const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
        u64::from(daemon.0 ^ self.salt()).wrapping_mul(ODD)
    }
}

/// Chooses as many daemons of a zone as its size needs, without those that are passed over.
pub(crate) fn choose(
    zone: &[Candidate],
    role: ZoneRole,
    is_passed_over: impl Fn(DaemonId) -> bool,
) -> Vec<Candidate> {
    let mut chosen: Vec<Candidate> =
        zone.iter().filter(|(daemon, _)| !is_passed_over(*daemon)).copied().collect();
    chosen.sort_by_key(|(daemon, _)| role.rank(*daemon));
    chosen.truncate(zone.len().div_ceil(DAEMONS_PER_CHOSEN));
    chosen
}

/// Chooses one of the chosen daemons for the daemon `own`. None if `own` is one of them, or if there are none.
pub(crate) fn choose_for(own: DaemonId, chosen: &[Candidate], role: ZoneRole) -> Option<Candidate> {
    if chosen.iter().any(|(daemon, _)| *daemon == own) {
        return None;
    }
    // The high bits of the product are better mixed than the low ones.
    let index = (role.rank(own) >> 32) as usize;
    chosen.get(index.checked_rem(chosen.len())?).copied()
}
