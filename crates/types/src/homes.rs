//! The home region of each replica group.
//!
//! It follows from the group's number and not from where its replicas currently are: a group that
//! lost machines can return to its home, and daemons that do not know of each other agree on where
//! a region's programs are kept.

use std::collections::BTreeSet;

use crate::{GroupId, Region};

/// The regions of a system, to which its groups are assigned round-robin. They must be the same on
/// every daemon of the system.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupHomes {
    regions: Vec<Region>,
}

impl GroupHomes {
    /// Assigns groups to these regions. Their order and repetitions do not matter.
    pub fn new(regions: impl IntoIterator<Item = Region>) -> Self {
        let sorted: BTreeSet<Region> = regions.into_iter().collect();
        Self { regions: sorted.into_iter().collect() }
    }

    /// Whether groups have homes: there are two regions or more.
    pub fn has_homes(&self) -> bool {
        self.regions.len() >= 2
    }

    /// The home region of a group; none if there are fewer than two regions.
    pub fn home_of(&self, group: GroupId) -> Option<&Region> {
        if !self.has_homes() {
            return None;
        }
        self.regions.get(group.0 as usize % self.regions.len())
    }

    /// Those of the first `groups` groups, numbered from 0, whose home is `region`. Empty if there
    /// are fewer than two regions, if the region is not known, and if there are too few groups for
    /// the region to have one.
    pub fn groups_at(&self, region: &Region, groups: u32) -> Vec<GroupId> {
        let all = (0..groups).map(GroupId);
        all.filter(|group| self.home_of(*group) == Some(region)).collect()
    }
}
