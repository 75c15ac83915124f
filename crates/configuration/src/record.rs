//! The record of a configuration's generation, as it is stored in the key-value service and sent
//! between daemons.

use std::fmt;

use dahlia_types::{Generation, Timestamp};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use snafu::ResultExt;

use crate::error::DocumentSnafu;
use crate::{Document, MAX_DOCUMENT_BYTES, RecordError};

/// Layout of records that this build writes and reads.
const RECORD_LAYOUT: u16 = 1;

/// Most changes that a record lists besides its own. The outcome of a change whose reply was lost
/// can be found while the change is listed.
pub const MAX_RECENT_CHANGES: usize = 64;

/// Largest record that is accepted: a document, escaped as JSON, and the list of changes.
pub const MAX_RECORD_BYTES: usize = 2 * MAX_DOCUMENT_BYTES + (128 << 10);

/// Key of the newest record in the key-value service.
pub const CONFIGURATION_KEY: &str = "dahlialadder/configuration";

/// Identity that an operator gives a change, by which it is found again after a lost reply.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub String);

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A SHA-256 digest. Its text form has 64 hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let malformed = || format!("{text:?} is not 64 hex digits");
        let mut digest = [0; 32];
        if text.len() != 2 * digest.len() || !text.is_ascii() {
            return Err(malformed());
        }
        for (place, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * place..2 * place + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| malformed())?;
        }
        Ok(Self(digest))
    }
}

/// Identifies a record by its generation and content. Daemons announce and compare it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// The generation.
    pub generation: Generation,
    /// The digest of its record's bytes.
    pub digest: Digest,
}

/// A summary of an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSummary {
    /// The generation that it created.
    pub generation: Generation,
    /// Its identity.
    pub change: ChangeId,
    /// The operator who made it.
    pub author: String,
    /// When its record was made, by the clock of the daemon that wrote it.
    pub at: Timestamp,
    /// Digest of its document's text.
    pub document: Digest,
}

/// The stored form of a record.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoredRecord {
    layout: u16,
    change: ChangeSummary,
    recent: Vec<ChangeSummary>,
    document: String,
}

/// A checked record of one generation of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationRecord {
    change: ChangeSummary,
    recent: Vec<ChangeSummary>,
    text: String,
    document: Document,
    bytes: Vec<u8>,
    digest: Digest,
}

impl ConfigurationRecord {
    /// Creates the record that follows `base`, or the first one.
    ///
    /// # Errors
    /// [`RecordError::Document`] if `text` is not a valid document.
    pub(crate) fn after(
        base: Option<&ConfigurationRecord>,
        change: ChangeId,
        author: String,
        text: String,
        at: Timestamp,
    ) -> Result<Self, RecordError> {
        let generation = base.map_or(Generation(0), ConfigurationRecord::generation).next();
        let document = Digest::of(text.as_bytes());
        let earlier = base.into_iter().flat_map(ConfigurationRecord::changes);
        let stored = StoredRecord {
            layout: RECORD_LAYOUT,
            change: ChangeSummary { generation, change, author, at, document },
            recent: earlier.take(MAX_RECENT_CHANGES).cloned().collect(),
            document: text,
        };
        let bytes = serde_json::to_vec(&stored).expect("a record always has a JSON form");
        Self::checked(stored, bytes)
    }

    /// Decodes a record from the service or a peer.
    ///
    /// # Errors [`RecordError`] if the bytes are not a record of a known layout or its document is
    /// not valid.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::Oversized { bytes: bytes.len(), limit: MAX_RECORD_BYTES });
        }
        let stored: StoredRecord = serde_json::from_slice(bytes)
            .map_err(|error| RecordError::Undecodable { reason: error.to_string() })?;
        if stored.layout != RECORD_LAYOUT {
            return Err(RecordError::UnsupportedLayout {
                found: stored.layout,
                supported: RECORD_LAYOUT,
            });
        }
        Self::checked(stored, bytes.to_vec())
    }

    fn checked(stored: StoredRecord, bytes: Vec<u8>) -> Result<Self, RecordError> {
        let generation = stored.change.generation;
        let document = Document::parse(&stored.document).context(DocumentSnafu { generation })?;
        let digest = Digest::of(&bytes);
        let StoredRecord { change, recent, document: text, .. } = stored;
        Ok(Self { change, recent, text, document, bytes, digest })
    }

    /// The encoded record.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The generation.
    pub fn generation(&self) -> Generation {
        self.change.generation
    }

    /// The record's identifier.
    pub fn id(&self) -> RecordId {
        RecordId { generation: self.generation(), digest: self.digest }
    }

    /// The change that created it.
    pub fn change(&self) -> &ChangeSummary {
        &self.change
    }

    /// Its own change and the recent ones before it, newest first.
    pub fn changes(&self) -> impl Iterator<Item = &ChangeSummary> {
        std::iter::once(&self.change).chain(&self.recent)
    }

    /// The document's text, with the operators' comments.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The parsed document.
    pub fn document(&self) -> &Document {
        &self.document
    }
}
