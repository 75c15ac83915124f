//! Retires this daemon: its replicas are replaced elsewhere while it continues to serve.

use dahlia_types::Timestamp;

use crate::group::Group;
use crate::node::Node;

impl Node {
    /// Announces that this daemon must no longer hold replicas. Leaders then replace its replicas, and
    /// leadership of the groups that it leads is transferred first.
    pub(crate) fn retire_daemon(&mut self, now: Timestamp) {
        self.settings.holds_groups = false;
        self.membership.set_holds_groups(false);
        self.next_upkeep = self.next_upkeep.min(now);
    }

    /// Whether this daemon must hold no groups, and no local replica or group description lists it as a
    /// member. Its disk is then no longer needed. False until the groups are laid out, because a
    /// pending layout may name this daemon.
    pub(crate) fn is_retired(&self) -> bool {
        !self.settings.holds_groups
            && self.is_laid_out()
            && !self.groups.values().any(|group| self.lists_this_daemon(group))
            && !self.is_described_as_member()
    }

    /// Whether a local replica lists this daemon as a member. A removed replica is kept empty and has no
    /// members.
    fn lists_this_daemon(&self, group: &Group) -> bool {
        group.replica.members().contains(self.settings.own)
    }

    /// Whether a group description lists this daemon as a member. Leaders publish committed members
    /// only. Previous incarnations count too, because the same upkeep removes them.
    fn is_described_as_member(&self) -> bool {
        let own = self.settings.own.daemon;
        let mut members = self.directory.iter().flat_map(|description| &description.members);
        members.any(|member| member.daemon == own)
    }
}
