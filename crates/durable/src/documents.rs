//! Copies of documents that lie elsewhere as a rule, for a start while nobody else has them.
//!
//! Each document has two files that are written in turn, so that a loss of power while one is
//! written leaves the other. A file is one frame:
//!
//! | bytes | field, numbers little-endian |
//! |---|---|
//! | 4 | CRC-32C (RFC 3720, appendix B.4) over everything after it |
//! | 4 | version of this format |
//! | 4 | number of the document |
//! | 8 | version of the document |
//! | n | the document |

use std::collections::BTreeMap;
use std::io;

use snafu::Snafu;

use crate::Disk;
use crate::error::{DiskOperation, LogError};

/// The format that this build writes and reads.
const FORMAT: u32 = 1;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = 20;
const PREFIX: &str = "document-";

/// A document of which a copy is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentCopy {
    /// Which document.
    pub number: u32,
    /// Rises with every change.
    pub version: u64,
    /// The document.
    pub bytes: Vec<u8>,
}

/// Why a file is no copy of a document. It is left alone and written over in its turn.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CopyError {
    /// The last write was cut off by a loss of power, or bytes were changed since.
    #[snafu(display("{name}: the checksum does not fit"))]
    Torn {
        /// The file.
        name: String,
    },
    /// Another build wrote it.
    #[snafu(display("{name} has format {format}, this build reads {FORMAT}"))]
    UnsupportedFormat {
        /// The file.
        name: String,
        /// Its format.
        format: u32,
    },
    /// It holds another document than its name says.
    #[snafu(display("{name} holds document {number}"))]
    WrongDocument {
        /// The file.
        name: String,
        /// What it holds.
        number: u32,
    },
}

/// Which of a document's two files.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    A,
    B,
}

impl Side {
    fn other(self) -> Self {
        match self {
            Self::A => Self::B,
            Self::B => Self::A,
        }
    }
}

/// The newest intact copy of a document.
#[derive(Debug, Clone, Copy)]
struct Place {
    side: Side,
    version: u64,
}

/// Copies of documents in one folder. All calls block on the disk.
pub struct DocumentCopies {
    disk: Box<dyn Disk>,
    places: BTreeMap<u32, Place>,
}

/// Copies as they were found.
pub struct OpenedCopies {
    /// Where further ones are kept.
    pub copies: DocumentCopies,
    /// The newest intact copy of each document.
    pub newest: Vec<DocumentCopy>,
    /// Files that are no copies.
    pub invalid: Vec<CopyError>,
}

impl DocumentCopies {
    /// Reads all copies in a folder.
    ///
    /// # Errors
    /// The folder or a file in it cannot be read.
    pub fn open(disk: Box<dyn Disk>) -> Result<OpenedCopies, LogError> {
        let names =
            disk.list().map_err(|source| LogError::io(DiskOperation::List, "documents", source))?;
        let mut newest: BTreeMap<u32, (Side, DocumentCopy)> = BTreeMap::new();
        let mut invalid = Vec::new();
        for name in names {
            let Some((number, side)) = parse(&name) else { continue };
            let bytes = disk
                .read(&name)
                .map_err(|source| LogError::io(DiskOperation::Read, &name, source))?;
            match decode(&name, number, &bytes) {
                Ok(copy) => {
                    let held = newest.get(&number).map(|(_, held)| held.version);
                    if held.is_none_or(|held| held < copy.version) {
                        newest.insert(number, (side, copy));
                    }
                }
                Err(error) => invalid.push(error),
            }
        }
        let place = |side: Side, copy: &DocumentCopy| Place { side, version: copy.version };
        let places =
            newest.iter().map(|(number, (side, copy))| (*number, place(*side, copy))).collect();
        let found = newest.into_values().map(|(_, copy)| copy).collect();
        Ok(OpenedCopies { copies: Self { disk, places }, newest: found, invalid })
    }

    /// Keeps a copy, unless the one that is kept is as new. The copy before it stays until this
    /// one is durable.
    ///
    /// # Errors
    /// The disk failed or is full; the copy before is still there.
    pub fn save(&mut self, document: &DocumentCopy) -> Result<(), LogError> {
        let held = self.places.get(&document.number).copied();
        if held.is_some_and(|held| held.version >= document.version) {
            return Ok(());
        }
        let side = held.map_or(Side::A, |held| held.side.other());
        let name = file_name(document.number, side);
        let written = self.write(&name, &encode(document));
        written.map_err(|source| LogError::io(DiskOperation::Write, &name, source))?;
        self.places.insert(document.number, Place { side, version: document.version });
        Ok(())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.disk.create(name)?;
        self.disk.append(name, bytes)?;
        self.disk.sync(name)?;
        self.disk.sync_folder()
    }
}

fn file_name(number: u32, side: Side) -> String {
    let side = if side == Side::A { "a" } else { "b" };
    format!("{PREFIX}{number}.{side}")
}

fn parse(name: &str) -> Option<(u32, Side)> {
    let (number, side) = name.strip_prefix(PREFIX)?.split_once('.')?;
    let side = match side {
        "a" => Side::A,
        "b" => Side::B,
        _ => return None,
    };
    Some((number.parse().ok()?, side))
}

fn encode(document: &DocumentCopy) -> Vec<u8> {
    let mut bytes = vec![0; CHECKSUM_BYTES];
    bytes.extend_from_slice(&FORMAT.to_le_bytes());
    bytes.extend_from_slice(&document.number.to_le_bytes());
    bytes.extend_from_slice(&document.version.to_le_bytes());
    bytes.extend_from_slice(&document.bytes);
    let checksum = crc32c::crc32c(&bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

fn decode(name: &str, number: u32, bytes: &[u8]) -> Result<DocumentCopy, CopyError> {
    let name = || name.to_owned();
    let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else {
        return Err(CopyError::Torn { name: name() });
    };
    let word = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    if word(0) != crc32c::crc32c(&bytes[CHECKSUM_BYTES..]) {
        return Err(CopyError::Torn { name: name() });
    }
    let format = word(4);
    if format != FORMAT {
        return Err(CopyError::UnsupportedFormat { name: name(), format });
    }
    if word(8) != number {
        return Err(CopyError::WrongDocument { name: name(), number: word(8) });
    }
    let version = u64::from(word(12)) | u64::from(word(16)) << u32::BITS;
    Ok(DocumentCopy { number, version, bytes: bytes[HEADER_BYTES..].to_vec() })
}
