//! Errors of documents and records.

use dahlia_types::Generation;
use snafu::Snafu;

/// Why a document is not valid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DocumentError {
    /// The document is too large.
    #[snafu(display("the document has {bytes} bytes; at most {limit} are allowed"))]
    TooLarge {
        /// Bytes found.
        bytes: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// The document is not TOML, or has an unknown field or a value of the wrong type.
    #[snafu(display("the document cannot be read: {reason}"))]
    Malformed {
        /// The parser's message, with line and column.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[snafu(display("field `{field}` is {value}; allowed: {allowed}"))]
    Invalid {
        /// Dotted path of the field.
        field: String,
        /// The value that was found.
        value: String,
        /// What is allowed.
        allowed: String,
    },
}

/// Why bytes are not a usable record.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordError {
    /// The bytes are not a record of the supported layout.
    #[snafu(display("the record cannot be decoded: {reason}"))]
    Undecodable {
        /// The decoder's message.
        reason: String,
    },
    /// The record is too large.
    #[snafu(display("the record has {bytes} bytes; at most {limit} are allowed"))]
    Oversized {
        /// Bytes found.
        bytes: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// A later build wrote the record.
    #[snafu(display("the record has layout {found}; this build reads {supported}"))]
    UnsupportedLayout {
        /// The layout of the record.
        found: u16,
        /// The layout that this build reads.
        supported: u16,
    },
    /// The record could be decoded, but its document is not valid for this build.
    #[snafu(display("generation {generation}: {source}"))]
    Document {
        /// The generation.
        generation: Generation,
        /// Why it is not valid.
        source: DocumentError,
    },
}
