//! What an accepter reacts to, what its driver is to do, and what operators are told.

use std::sync::Arc;

use dahlia_types::Generation;

use crate::{ChangeId, ChangeSummary, ConfigurationRecord, Document, DocumentError};

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeProposal {
    /// Its identity; a repeat with it finds the first.
    pub change: ChangeId,
    /// The generation that it was made from; 0 when there is none yet.
    pub expected: Generation,
    /// Who asks.
    pub author: String,
    /// The whole new document, TOML.
    pub document: String,
    /// An earlier request of this identity had no answer, or the answer that its outcome is
    /// unknown. Its swap may still be on its way, so that an outage now proves nothing.
    pub repeated: bool,
}

/// Longest change identity and author, in bytes. Both stay in the list of changes.
const MOST_NAME_BYTES: usize = 64;

impl ChangeProposal {
    pub(super) fn check(&self) -> Result<(), DocumentError> {
        check_name("change", &self.change.0)?;
        check_name("author", &self.author)?;
        Document::parse(&self.document).map(|_| ())
    }
}

fn check_name(field: &str, name: &str) -> Result<(), DocumentError> {
    if (1..=MOST_NAME_BYTES).contains(&name.len()) {
        return Ok(());
    }
    Err(DocumentError::Invalid {
        field: field.to_owned(),
        value: format!("{} bytes long", name.len()),
        allowed: format!("1 to {MOST_NAME_BYTES} bytes"),
    })
}

/// The configuration's key as the service gave it, perhaps an older state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedValue {
    /// The service's version of the key's state.
    pub version: u64,
    /// The value.
    pub bytes: Vec<u8>,
}

/// The service did not answer, or refused for now. Nothing changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceUnavailable;

/// Why a swap gave no new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapFailure {
    /// The key is in another state than expected. Nothing changed.
    Conflict,
    /// The service did not take the request. Nothing changed.
    NotRun,
    /// The reply was lost: the change may have taken effect, or may yet.
    Unknown,
}

/// What an accepter reacts to.
#[derive(Debug, Clone)]
pub enum ChangeWriterEvent {
    /// An operator asks for a change.
    Proposed(ChangeProposal),
    /// A generation came into force on this daemon.
    Activated(Arc<ConfigurationRecord>),
    /// The result of [`ChangeWriterAction::Read`].
    Read(Result<Option<VersionedValue>, ServiceUnavailable>),
    /// The result of [`ChangeWriterAction::Swap`].
    Swapped(Result<(), SwapFailure>),
    /// Time has passed.
    Tick,
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeWriterAction {
    /// Read the configuration's key.
    Read,
    /// Swap the key's value if its version is still this one; none when it must not exist.
    Swap {
        /// The version that was read.
        expected: Option<u64>,
        /// The new value.
        value: Vec<u8>,
    },
    /// Answer the operator.
    Answer(ChangeId, ChangeOutcome),
}

/// What an operator is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Accepted, by this request or an earlier one of the same identity; it is the newest.
    Accepted(Arc<ConfigurationRecord>),
    /// Accepted earlier; a later change has followed.
    AcceptedEarlier(ChangeSummary),
    /// Not accepted: made from a generation that is not the newest.
    Conflict {
        /// The newest generation.
        newest: Generation,
        /// The change that came instead, when it is still listed.
        conflicting_change: Option<ChangeSummary>,
    },
    /// Not accepted: the document is not valid.
    Invalid(DocumentError),
    /// Not accepted: the identity belongs to a change with another document.
    IdentityReused(ChangeSummary),
    /// Not accepted: another change is being decided on this daemon. Ask again.
    Busy,
    /// Not accepted: the service could not be reached in time.
    Unavailable,
    /// It may have been accepted, or may yet be. Repeat it with the same identity to find out.
    Unknown,
}
