//! A chain's history: turns that are kept in the replicated state or in chunks on store daemons.

use dahlia_types::{Bytes, ChainId, Message, Role, Tokens};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// Largest chunk that is decoded.
const MAX_CHUNK_BYTES: usize = 64 << 20;

/// A chunk on the store daemons: the encoded messages of one turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChunkReference {
    /// SHA-256 of the chunk's bytes, which also identifies the chunk.
    pub digest: [u8; 32],
    /// Length of the chunk.
    pub bytes: Bytes,
    /// Tokens that the turn adds to a prompt, as engines reported them; 0 if not known.
    pub tokens: Tokens,
}

impl ChunkReference {
    /// The reference of the chunk that holds `messages`.
    pub fn of(messages: &[Message], tokens: Tokens) -> Self {
        Self::of_chunk(&encode_chunk(messages), tokens)
    }

    /// Whether this is the reference of `chunk`.
    pub fn matches(&self, chunk: &[u8]) -> bool {
        let found = Self::of_chunk(chunk, self.tokens);
        found == *self
    }

    fn of_chunk(chunk: &[u8], tokens: Tokens) -> Self {
        let digest = Sha256::digest(chunk).into();
        Self { digest, bytes: Bytes(chunk.len() as u64), tokens }
    }
}

/// Why a chunk cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChunkError {
    /// The bytes do not match the reference.
    #[snafu(display("the chunk's bytes do not match its digest"))]
    WrongDigest,
    /// The bytes match the reference but are not encoded messages.
    #[snafu(display("the chunk cannot be decoded: {reason}"))]
    Malformed {
        /// The decoder's error.
        reason: String,
    },
}

/// A message as encoded in a chunk. This layout is fixed and independent of [`Message`].
type ChunkMessage = (u8, String);

/// Encodes a turn's messages as the bytes of a chunk.
pub fn encode_chunk(messages: &[Message]) -> Vec<u8> {
    let wire: Vec<(u8, &str)> = messages
        .iter()
        .map(|message| (role_code(message.role), message.content.as_str()))
        .collect();
    bincode::serde::encode_to_vec(wire, bincode::config::standard())
        .expect("numbers and texts always encode into memory")
}

/// Checks a chunk against its reference and decodes its messages.
///
/// # Errors
/// [`ChunkError`] if the bytes do not match the reference or are not encoded messages.
pub fn decode_chunk(reference: &ChunkReference, chunk: &[u8]) -> Result<Vec<Message>, ChunkError> {
    if !reference.matches(chunk) {
        return Err(ChunkError::WrongDigest);
    }
    let config = bincode::config::standard().with_limit::<MAX_CHUNK_BYTES>();
    let malformed = |reason: String| ChunkError::Malformed { reason };
    let (wire, _): (Vec<ChunkMessage>, usize) = bincode::serde::decode_from_slice(chunk, config)
        .map_err(|error| malformed(error.to_string()))?;
    wire.into_iter()
        .map(|(code, content)| match role_of(code) {
            Some(role) => Ok(Message { role, content }),
            None => Err(malformed(format!("unknown role {code}"))),
        })
        .collect()
}

fn role_code(role: Role) -> u8 {
    match role {
        Role::System => 0,
        Role::User => 1,
        Role::Assistant => 2,
        Role::Tool => 3,
    }
}

fn role_of(code: u8) -> Option<Role> {
    [Role::System, Role::User, Role::Assistant, Role::Tool].get(usize::from(code)).copied()
}

/// Where the messages of a turn are kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnText {
    /// In the replicated state.
    Inline(Vec<Message>),
    /// On the store daemons.
    Stored(ChunkReference),
}

/// The part of the history that one call added: its messages and, if it was answered, the answer as
/// the last message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Number of the call in its chain.
    pub call: u32,
    /// Whether the last message is the call's answer. It is not for a call of unknown outcome.
    pub answered: bool,
    /// The messages.
    pub text: TurnText,
}

impl Turn {
    /// Bytes of the messages' contents if they are inline, of the chunk if they are stored.
    pub fn bytes(&self) -> Bytes {
        match &self.text {
            TurnText::Inline(messages) => content_bytes(messages),
            TurnText::Stored(chunk) => chunk.bytes,
        }
    }
}

/// Bytes of the contents of `messages`.
pub(crate) fn content_bytes(messages: &[Message]) -> Bytes {
    Bytes(messages.iter().map(|message| message.content.len() as u64).sum())
}

/// One part of a chain's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryPart<'state> {
    /// Messages in the replicated state.
    Messages(&'state [Message]),
    /// Messages to fetch from a store daemon and decode with [`decode_chunk`].
    Chunk(&'state ChunkReference),
}

/// A history of which parts are on store daemons.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{} chunks of chain {}'s history are on store daemons", chunks.len(), chain.0))]
pub struct MissingChunks {
    /// The chain whose history was requested.
    pub chain: ChainId,
    /// The chunks to fetch, in the order of the history.
    pub chunks: Vec<ChunkReference>,
}
