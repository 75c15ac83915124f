//! Restarts a node with the groups found on disk.

use dahlia_program::{GroupState, SnapshotError};
use dahlia_replication::group::{DurableReplica, Replica};
use dahlia_replication::maintenance::Maintenance;
use dahlia_types::{GroupId, Timestamp};
use snafu::{ResultExt, Snafu};

use crate::NodeSettings;
use crate::group::Group;
use crate::node::Node;

/// An error in the state on disk from which a node cannot recover.
#[derive(Debug, Snafu)]
#[snafu(display("the recorded state of {group} cannot be read: {source}"))]
pub struct RecoverError {
    group: GroupId,
    source: SnapshotError,
}

impl Node {
    /// Creates a node with the groups that a previous process of this daemon recorded under the same
    /// replica identifier (`settings.own`).
    ///
    /// # Errors
    /// [`RecoverError`] if the state of a group is damaged or has another layout.
    pub fn recover(
        settings: NodeSettings,
        replicas: Vec<DurableReplica>,
        now: Timestamp,
    ) -> Result<Self, RecoverError> {
        let mut node = Self::new(settings, now);
        for durable in replicas {
            node.recover_group(durable, now)?;
        }
        Ok(node)
    }

    fn recover_group(
        &mut self,
        durable: DurableReplica,
        now: Timestamp,
    ) -> Result<(), RecoverError> {
        let id = durable.group;
        let base = durable.base.clone();
        let state = if base.data.is_empty() {
            self.settings.empty_state(id)
        } else {
            let state = GroupState::restore(&base.data).context(RecoverSnafu { group: id })?;
            self.settings.with_faults(state)
        };
        let (settings, seed) = (self.settings.group.clone(), self.settings.seed);
        let replica = Replica::recover(self.settings.own, durable, settings, seed, now);
        let maintenance = Maintenance::new(self.settings.maintenance.clone());
        let mut group = Group::new(replica, state, maintenance);
        group.members_index = base.index;
        self.groups.insert(id, group);
        Ok(())
    }
}
