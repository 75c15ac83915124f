//! The set of gateways, by which each gateway computes its shares without coordination.

use crate::BackendId;
use crate::rendezvous::weight;

/// All gateways that this one knows, including itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Gateways {
    /// `None` while the other gateways are not known. This gateway has no share of anything then.
    own: Option<u64>,
    others: Vec<u64>,
}

impl Gateways {
    /// Creates the set as seen from the gateway `own`. A gateway keeps its number over restarts.
    pub fn new(own: u64, all: impl IntoIterator<Item = u64>) -> Self {
        let mut others: Vec<u64> = all.into_iter().filter(|gateway| *gateway != own).collect();
        others.sort_unstable();
        others.dedup();
        Self { own: Some(own), others }
    }

    /// Returns the number of known gateways.
    pub fn count(&self) -> usize {
        self.others.len() + usize::from(self.own.is_some())
    }

    /// Whether this gateway is among the first `count` in the ranking of gateways for a server. All
    /// gateways compute the same ranking.
    pub(crate) fn is_among_first(&self, count: usize, server: &BackendId) -> bool {
        let Some(own) = self.own else { return false };
        let rank = |gateway: u64| (weight(gateway, server), gateway);
        let own = rank(own);
        let before = self.others.iter().filter(|other| rank(**other) > own);
        before.take(count).count() < count
    }
}
