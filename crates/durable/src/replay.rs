//! Rebuilds replicas from the changes in the segments.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_replication::group::{DurableChange, DurableReplica, GapError};
use dahlia_types::GroupId;
use snafu::{ResultExt, Snafu};

/// The location and size of the newest image of a group. An image is the whole durable state of a
/// replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ImageLocation {
    pub(crate) segment: u64,
    /// Its approximate size in bytes.
    pub(crate) bytes: u64,
}

impl ImageLocation {
    pub(crate) fn of(image: &DurableReplica, segment: u64) -> Self {
        let entries: usize = image.entries.iter().map(|entry| entry.payload_bytes()).sum();
        Self { segment, bytes: (image.base.data.len() + entries) as u64 }
    }
}

/// Why replicas cannot be rebuilt from the changes.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReplayError {
    /// An update does not follow from the change before it.
    #[snafu(display("{source}"))]
    Gap {
        /// The cause.
        source: GapError,
    },
    /// A group has updates without an image before them.
    #[snafu(display("{group} has updates without an image before them"))]
    MissingImage {
        /// The group.
        group: GroupId,
    },
}

/// The replicas rebuilt from the changes read so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    replicas: BTreeMap<GroupId, DurableReplica>,
    images: BTreeMap<GroupId, ImageLocation>,
    /// Groups with updates whose image is in a removed segment. A segment is removed only if a
    /// later image replaces its updates, so that image must still follow.
    awaiting_image: BTreeSet<GroupId>,
}

impl Replay {
    /// Applies the next change, which was read from `segment`.
    pub(crate) fn apply(&mut self, change: DurableChange, segment: u64) -> Result<(), ReplayError> {
        match change {
            DurableChange::Image(image) => {
                self.awaiting_image.remove(&image.group);
                self.images.insert(image.group, ImageLocation::of(&image, segment));
                self.replicas.insert(image.group, *image);
            }
            DurableChange::Update { group, update } => match self.replicas.get_mut(&group) {
                Some(replica) => replica.apply(update).context(GapSnafu)?,
                None => {
                    self.awaiting_image.insert(group);
                }
            },
        }
        Ok(())
    }

    /// Returns all replicas and the locations of their images.
    ///
    /// # Errors
    /// [`ReplayError::MissingImage`] if no image followed the updates of a group.
    pub(crate) fn finish(
        self,
    ) -> Result<(Vec<DurableReplica>, BTreeMap<GroupId, ImageLocation>), ReplayError> {
        if let Some(group) = self.awaiting_image.first() {
            return MissingImageSnafu { group: *group }.fail();
        }
        Ok((self.replicas.into_values().collect(), self.images))
    }
}
