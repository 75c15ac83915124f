//! A change writer's events and actions, and the outcomes that operators get.

use std::sync::Arc;

use dahlia_types::Generation;

use crate::{ChangeId, ChangeSummary, ConfigurationRecord, Document, DocumentError};

/// A change that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeProposal {
    /// Its identity. A repeated request with the same identity finds the first.
    pub change: ChangeId,
    /// The generation on which it is based; 0 if there is none yet.
    pub expected: Generation,
    /// The operator's name.
    pub author: String,
    /// The whole new document as TOML.
    pub document: String,
    /// Whether an earlier request with this identity got no answer or an unknown outcome. Its swap
    /// may still be in flight, so an outage now does not prove that the change was not accepted.
    pub repeated: bool,
}

/// Longest change identity and author. Both stay in the list of changes.
const MAX_NAME_BYTES: usize = 64;

impl ChangeProposal {
    pub(super) fn check(&self) -> Result<(), DocumentError> {
        check_name("change", &self.change.0)?;
        check_name("author", &self.author)?;
        Document::parse(&self.document).map(|_| ())
    }
}

fn check_name(field: &str, name: &str) -> Result<(), DocumentError> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) {
        return Ok(());
    }
    Err(DocumentError::Invalid {
        field: field.to_owned(),
        value: format!("{} bytes long", name.len()),
        allowed: format!("1 to {MAX_NAME_BYTES} bytes"),
    })
}

/// A value of the configuration's key from the service, which may be stale.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedValue {
    /// The service's version of the value.
    pub version: u64,
    /// The value.
    pub bytes: Vec<u8>,
}

/// The service did not answer or refused temporarily. Nothing changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceUnavailable;

/// Why a swap did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapFailure {
    /// The key has another version than expected. Nothing changed.
    Conflict,
    /// The service did not run the request. Nothing changed.
    NotRun,
    /// The reply was lost. The swap may have taken effect or may still do so.
    Unknown,
}

/// An event that a change writer handles.
#[derive(Debug, Clone)]
pub enum ChangeWriterEvent {
    /// An operator requests a change.
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

/// An action for the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeWriterAction {
    /// Read the configuration's key.
    Read,
    /// Write the key's value if it still has the expected version.
    Swap {
        /// The version that was read; none if the key must not exist.
        expected: Option<u64>,
        /// The new value.
        value: Vec<u8>,
    },
    /// Answer the operator.
    Answer(ChangeId, ChangeOutcome),
}

/// The outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Accepted, by this request or an earlier one with the same identity, and still the newest.
    Accepted(Arc<ConfigurationRecord>),
    /// Accepted by an earlier request. Later changes have followed.
    AcceptedEarlier(ChangeSummary),
    /// Not accepted: the change is based on a generation that is not the newest.
    Conflict {
        /// The newest generation.
        newest: Generation,
        /// The change that was accepted instead, if it is still listed.
        conflicting_change: Option<ChangeSummary>,
    },
    /// Not accepted: the document is not valid.
    Invalid(DocumentError),
    /// Not accepted: the identity belongs to a change with another document.
    IdentityReused(ChangeSummary),
    /// Not accepted: another change is being decided on this daemon. Retry later.
    Busy,
    /// Not accepted: the service could not be reached in time.
    Unavailable,
    /// The change may have been accepted or may still be. A repeated request with the same identity
    /// finds out.
    Unknown,
}
