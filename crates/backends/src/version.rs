//! The versions of servers' software, and which of them a service had recently.
//!
//! What servers of two versions write does not fit together, so a stream goes on only at the version that began
//! it. While a service has had one version only, every stream began there.

use std::collections::BTreeMap;
use std::sync::Arc;

use dahlia_types::{Duration, Timestamp};

use crate::stable_hash;

/// How long a service counts as having several versions after the last server of another version left. Longer than
/// callers come back to a stream, and as long as origins of streams are kept.
pub const RECENT_VERSIONS_TIME: Duration = Duration::from_secs(600);

/// The version of a server's software, as discovery describes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum SoftwareVersion {
    /// Servers of this deployment have no versions; all run the same software.
    #[default]
    Uniform,
    /// The server has a version that is not known here. It equals none.
    Unknown,
    /// The version's name.
    Named(Arc<str>),
}

/// A hash of a version, the same at all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionDigest(pub u64);

impl VersionDigest {
    const UNIFORM: Self = Self(0);
}

impl SoftwareVersion {
    /// Returns the version's hash; none if the version is unknown.
    pub fn digest(&self) -> Option<VersionDigest> {
        match self {
            Self::Uniform => Some(VersionDigest::UNIFORM),
            Self::Unknown => None,
            Self::Named(name) => Some(VersionDigest(stable_hash(name.bytes()).max(1))),
        }
    }

    /// Its name in logs.
    pub fn name(&self) -> &str {
        match self {
            Self::Uniform => "uniform",
            Self::Unknown => "unknown",
            Self::Named(name) => name,
        }
    }
}

/// The versions that the servers of a service have or recently had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionView {
    /// No server is known.
    Nothing,
    /// One version only.
    Only(VersionDigest),
    /// Several versions, or versions that are not known.
    Several,
}

/// Counts the servers of a service by version.
#[derive(Debug, Default)]
pub(crate) struct VersionHistory {
    listed: BTreeMap<SoftwareVersion, usize>,
    /// When the last server of each other version left.
    left: BTreeMap<SoftwareVersion, Timestamp>,
}

impl VersionHistory {
    pub(crate) fn add(&mut self, version: &SoftwareVersion) {
        *self.listed.entry(version.clone()).or_default() += 1;
        self.left.remove(version);
    }

    pub(crate) fn remove(&mut self, version: &SoftwareVersion, now: Timestamp) {
        if self.take(version) {
            self.left.retain(|_, left_at| now.since(*left_at) < RECENT_VERSIONS_TIME);
            self.left.insert(version.clone(), now);
        }
    }

    /// Replaces the version of a listed server. A version that becomes known was the server's before, too.
    pub(crate) fn replace(
        &mut self,
        before: &SoftwareVersion,
        version: &SoftwareVersion,
        now: Timestamp,
    ) {
        match before {
            SoftwareVersion::Unknown => drop(self.take(before)),
            _ if before != version => self.remove(before, now),
            _ => return,
        }
        self.add(version);
    }

    /// Counts one server less, and returns whether it was the last one.
    fn take(&mut self, version: &SoftwareVersion) -> bool {
        let Some(servers) = self.listed.get_mut(version) else { return false };
        *servers -= 1;
        let is_last = *servers == 0;
        if is_last {
            self.listed.remove(version);
        }
        is_last
    }

    pub(crate) fn view(&self, now: Timestamp) -> VersionView {
        let is_recent = |left_at: &Timestamp| now.since(*left_at) < RECENT_VERSIONS_TIME;
        let recent = self.left.iter().filter(|(_, left_at)| is_recent(left_at));
        let mut versions = self.listed.keys().chain(recent.map(|(version, _)| version));
        match (versions.next(), versions.next()) {
            (None, _) => VersionView::Nothing,
            (Some(only), None) => only.digest().map_or(VersionView::Several, VersionView::Only),
            (Some(_), Some(_)) => VersionView::Several,
        }
    }
}
