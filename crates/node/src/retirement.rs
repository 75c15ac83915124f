//! Emptying this daemon for good: its replicas are replaced elsewhere while it serves on.

use dahlia_types::Timestamp;

use crate::group::Group;
use crate::node::Node;

impl Node {
    /// Says to all that no replica belongs here any more. Leaders then replace those that are
    /// here, and the groups that this node leads are handed over first.
    pub(crate) fn retire_daemon(&mut self, now: Timestamp) {
        self.settings.holds_groups = false;
        self.membership.set_holds_groups(false);
        self.next_upkeep = self.next_upkeep.min(now);
    }

    /// Whether this daemon holds no groups, and neither a replica here nor a description counts
    /// it as a member: its disk is needed no more. False until the groups are laid out: a layout
    /// under way may name this daemon.
    pub(crate) fn is_retired(&self) -> bool {
        !self.settings.holds_groups
            && self.is_laid_out()
            && !self.groups.values().any(|group| self.counts_here(group))
            && !self.is_described_as_member()
    }

    /// A removed replica is kept here empty, and knows no members.
    fn counts_here(&self, group: &Group) -> bool {
        group.replica.members().contains(self.settings.own)
    }

    /// The groups' leaders publish committed members only. An earlier life of this daemon counts
    /// too: it is removed by the same upkeep.
    fn is_described_as_member(&self) -> bool {
        let own = self.settings.own.daemon;
        let mut members = self.directory.iter().flat_map(|description| &description.members);
        members.any(|member| member.daemon == own)
    }
}
