//! Local copies of documents whose source is elsewhere, for a start at which no other daemon has
//! them.
//!
//! Each document has two files that are written alternately, so that a power loss during a write
//! leaves the other copy intact. A file has this format:
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

/// The format version that this build writes and reads.
const FORMAT: u32 = 1;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = 20;
const PREFIX: &str = "document-";

/// A copy of a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentCopy {
    /// The number that identifies the document.
    pub number: u32,
    /// The version of the document, which increases with every change.
    pub version: u64,
    /// The contents of the document.
    pub bytes: Vec<u8>,
}

/// Why a file is not a valid copy of a document. The file is left alone until a new copy overwrites
/// it.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CopyError {
    /// The last write was torn by a power loss, or bytes were changed afterwards.
    #[snafu(display("{name}: the checksum does not match"))]
    Torn {
        /// The file.
        name: String,
    },
    /// A build with another format wrote the file.
    #[snafu(display("{name} has format {format}, this build reads {FORMAT}"))]
    UnsupportedFormat {
        /// The file.
        name: String,
        /// The version of its format.
        format: u32,
    },
    /// The file holds another document than its name says.
    #[snafu(display("{name} holds document {number}"))]
    WrongDocument {
        /// The file.
        name: String,
        /// The number of the document that it holds.
        number: u32,
    },
}

/// One of the two files of a document.
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

/// The file and version of the newest intact copy of a document.
#[derive(Debug, Clone, Copy)]
struct CopyLocation {
    side: Side,
    version: u64,
}

/// Copies of documents in one folder. All calls block on the disk.
pub struct DocumentCopies {
    disk: Box<dyn Disk>,
    locations: BTreeMap<u32, CopyLocation>,
    /// Whether the copies that were found are durable.
    are_durable: bool,
}

/// The copies that were read when the folder was opened.
pub struct OpenedCopies {
    /// The folder of copies, which further ones can be saved in.
    pub copies: DocumentCopies,
    /// The newest intact copy of each document.
    pub newest: Vec<DocumentCopy>,
    /// Why other files are not valid copies.
    pub invalid: Vec<CopyError>,
}

impl DocumentCopies {
    /// Reads all copies in a folder, and makes the newest ones durable.
    ///
    /// # Errors
    /// [`LogError`] if the folder or a file in it cannot be read or synced.
    pub fn open(disk: Box<dyn Disk>) -> Result<OpenedCopies, LogError> {
        let mut opened = Self::read(disk)?;
        opened.copies.make_durable()?;
        Ok(opened)
    }

    /// Reads all copies in a folder. Until [`Self::make_durable`], a power loss may take the newest ones and
    /// leave those before them.
    ///
    /// # Errors
    /// [`LogError`] if the folder or a file in it cannot be read.
    pub fn read(disk: Box<dyn Disk>) -> Result<OpenedCopies, LogError> {
        let names =
            disk.list().map_err(|source| LogError::io(DiskOperation::List, "documents", source))?;
        let mut newest: BTreeMap<u32, (Side, DocumentCopy)> = BTreeMap::new();
        let mut invalid = Vec::new();
        for name in names {
            let Some((number, side)) = parse_file_name(&name) else { continue };
            let bytes = disk
                .read(&name)
                .map_err(|source| LogError::io(DiskOperation::Read, &name, source))?;
            match decode(&name, number, &bytes) {
                Ok(copy) => {
                    let current = newest.get(&number).map(|(_, current)| current.version);
                    if current.is_none_or(|current| current < copy.version) {
                        newest.insert(number, (side, copy));
                    }
                }
                Err(error) => invalid.push(error),
            }
        }
        let location =
            |side: Side, copy: &DocumentCopy| CopyLocation { side, version: copy.version };
        let locations =
            newest.iter().map(|(number, (side, copy))| (*number, location(*side, copy))).collect();
        let found = newest.into_values().map(|(_, copy)| copy).collect();
        let copies = Self { disk, locations, are_durable: false };
        Ok(OpenedCopies { copies, newest: found, invalid })
    }

    /// Makes the copies that were found durable. A process that ended between a write and its sync, or after
    /// a failed sync, leaves a copy that a power loss can still erase, and the next save overwrites the copy
    /// before it. The bytes are written again, because a sync does not cover what an earlier one dropped
    /// when it failed.
    ///
    /// # Errors
    /// [`LogError`] if a file cannot be read, written or synced. The next save tries again.
    pub fn make_durable(&mut self) -> Result<(), LogError> {
        if self.are_durable {
            return Ok(());
        }
        for (number, location) in &self.locations {
            let name = file_name(*number, location.side);
            let bytes = self.disk.read(&name);
            let bytes = bytes.map_err(|source| LogError::io(DiskOperation::Read, &name, source))?;
            let synced = self.disk.rewrite(&name, &bytes).and_then(|()| self.disk.sync(&name));
            synced.map_err(|source| LogError::io(DiskOperation::Sync, &name, source))?;
        }
        let named = self.disk.sync_folder();
        named.map_err(|source| LogError::io(DiskOperation::Sync, "the folder", source))?;
        self.are_durable = true;
        Ok(())
    }

    /// Saves a copy, unless the current copy is at least as new. The current copy stays until the
    /// new one is durable.
    ///
    /// # Errors
    /// [`LogError`] if the disk failed or is full; the current copy is then still there.
    pub fn save(&mut self, document: &DocumentCopy) -> Result<(), LogError> {
        let current = self.locations.get(&document.number).copied();
        if current.is_some_and(|current| current.version >= document.version) {
            return Ok(());
        }
        self.make_durable()?;
        let side = current.map_or(Side::A, |current| current.side.other());
        let name = file_name(document.number, side);
        let written = self.write(&name, &encode(document));
        written.map_err(|source| LogError::io(DiskOperation::Write, &name, source))?;
        self.locations.insert(document.number, CopyLocation { side, version: document.version });
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

fn parse_file_name(name: &str) -> Option<(u32, Side)> {
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
    let read_u32 = |at: usize| {
        u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    if read_u32(0) != crc32c::crc32c(&bytes[CHECKSUM_BYTES..]) {
        return Err(CopyError::Torn { name: name() });
    }
    let format = read_u32(4);
    if format != FORMAT {
        return Err(CopyError::UnsupportedFormat { name: name(), format });
    }
    if read_u32(8) != number {
        return Err(CopyError::WrongDocument { name: name(), number: read_u32(8) });
    }
    let version = u64::from(read_u32(12)) | u64::from(read_u32(16)) << u32::BITS;
    Ok(DocumentCopy { number, version, bytes: bytes[HEADER_BYTES..].to_vec() })
}
