//! Why a document or a record is not usable.

use dahlia_types::Generation;
use snafu::Snafu;

/// A document that operators may not apply.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum DocumentError {
    /// It is larger than daemons keep.
    #[snafu(display("the document has {bytes} bytes; at most {limit} are allowed"))]
    TooLarge {
        /// Bytes found.
        bytes: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// It is not TOML, or has an unknown field or a value of the wrong type.
    #[snafu(display("the document cannot be read: {reason}"))]
    Malformed {
        /// What the parser said, with line and column.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[snafu(display("field `{field}` is {value}; allowed: {allowed}"))]
    Invalid {
        /// Dotted path of the field.
        field: String,
        /// The value found.
        value: String,
        /// What is allowed.
        allowed: String,
    },
}

/// Bytes that are not a generation's record.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RecordError {
    /// They are not a record of a layout that this build reads.
    #[snafu(display("the record cannot be decoded: {reason}"))]
    Undecodable {
        /// What the decoder said.
        reason: String,
    },
    /// They are more than a record may have.
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
        /// The layout found.
        found: u16,
        /// The layout read here.
        supported: u16,
    },
    /// The record is whole, its document is not valid for this build.
    #[snafu(display("generation {generation}: {source}"))]
    Document {
        /// The generation.
        generation: Generation,
        /// What is wrong.
        source: DocumentError,
    },
}
