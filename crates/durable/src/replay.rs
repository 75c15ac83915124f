//! From the changes in the segments to replicas.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_replication::group::{DurableChange, DurableReplica, GapError};
use dahlia_types::GroupId;
use snafu::{ResultExt, Snafu};

/// Where the newest image of a group stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ImagePlace {
    pub(crate) segment: u64,
    /// About how many bytes it takes.
    pub(crate) bytes: u64,
}

impl ImagePlace {
    pub(crate) fn of(image: &DurableReplica, segment: u64) -> Self {
        let entries: usize = image.entries.iter().map(|entry| entry.payload_bytes()).sum();
        Self { segment, bytes: (image.base.data.len() + entries) as u64 }
    }
}

/// Why changes do not make replicas.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReplayError {
    /// A change does not follow from the one before it.
    #[snafu(display("{source}"))]
    Gap {
        /// Cause.
        source: GapError,
    },
    /// A group has changes and no image that they follow from.
    #[snafu(display("{group} has changes without a beginning"))]
    MissingImage {
        /// The group.
        group: GroupId,
    },
}

/// Replicas as far as the changes were read.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    replicas: BTreeMap<GroupId, DurableReplica>,
    images: BTreeMap<GroupId, ImagePlace>,
    /// Groups whose beginning was not read yet: it stood in a segment that was removed because
    /// a later image makes it superfluous.
    headless: BTreeSet<GroupId>,
}

impl Replay {
    /// Takes the next change in.
    pub(crate) fn take(&mut self, change: DurableChange, segment: u64) -> Result<(), ReplayError> {
        match change {
            DurableChange::Image(image) => {
                self.headless.remove(&image.group);
                self.images.insert(image.group, ImagePlace::of(&image, segment));
                self.replicas.insert(image.group, *image);
            }
            DurableChange::Update { group, update } => match self.replicas.get_mut(&group) {
                Some(replica) => replica.apply(update).context(GapSnafu)?,
                None => {
                    self.headless.insert(group);
                }
            },
        }
        Ok(())
    }

    /// All replicas, and where their images stand.
    pub(crate) fn finish(
        self,
    ) -> Result<(Vec<DurableReplica>, BTreeMap<GroupId, ImagePlace>), ReplayError> {
        if let Some(group) = self.headless.first() {
            return MissingImageSnafu { group: *group }.fail();
        }
        Ok((self.replicas.into_values().collect(), self.images))
    }
}
