//! The software versions at which a request may run. What servers of two versions write does not fit together, so a
//! stream whose caller has an event is bound to the version that made its first one.

use dahlia_backends::{SoftwareVersion, VersionDigest};

/// The software versions at which a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VersionBound {
    /// Its caller has no event yet.
    Any,
    /// Its first event came from a server of this version.
    At(VersionDigest),
    /// Its first event came from a server whose version is not known, which equals none.
    Unknown,
}

impl VersionBound {
    /// The bound of a stream whose first event came from a server of this version.
    pub(crate) fn of(version: &SoftwareVersion) -> Self {
        version.digest().map_or(Self::Unknown, Self::At)
    }

    /// The version that a server must have; none if any will do.
    pub(crate) fn required(self) -> Option<VersionDigest> {
        match self {
            Self::At(version) => Some(version),
            Self::Any | Self::Unknown => None,
        }
    }
}
