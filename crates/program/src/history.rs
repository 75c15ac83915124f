//! A chain's history: turns that are held here or moved to store daemons as chunks.

use dahlia_types::{Bytes, ChainId, Message, Role, Tokens};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

/// Largest chunk that is read.
const MOST_CHUNK_BYTES: usize = 64 << 20;

/// A chunk on the store daemons: the encoded messages of one turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChunkReference {
    /// SHA-256 of the chunk's bytes; also the chunk's name.
    pub digest: [u8; 32],
    /// Length of the chunk.
    pub bytes: Bytes,
    /// Tokens that the turn adds to a prompt, as far as engines have told; 0 when not known.
    pub tokens: Tokens,
}

impl ChunkReference {
    /// The reference of the chunk that holds `messages`.
    pub fn of(messages: &[Message], tokens: Tokens) -> Self {
        Self::of_chunk(&encode_chunk(messages), tokens)
    }

    /// Whether `chunk` is what this reference names.
    pub fn matches(&self, chunk: &[u8]) -> bool {
        let found = Self::of_chunk(chunk, self.tokens);
        found == *self
    }

    fn of_chunk(chunk: &[u8], tokens: Tokens) -> Self {
        let digest = Sha256::digest(chunk).into();
        Self { digest, bytes: Bytes(chunk.len() as u64), tokens }
    }
}

/// A chunk that does not hold a turn's messages.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChunkError {
    /// The bytes are not those that the reference names.
    #[snafu(display("the chunk's bytes do not match its digest"))]
    WrongDigest,
    /// The bytes match and are not encoded messages.
    #[snafu(display("the chunk cannot be decoded: {reason}"))]
    Malformed {
        /// What the decoder said.
        reason: String,
    },
}

/// A message on the wire of a chunk: a fixed layout, kept apart from [`Message`].
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
/// [`ChunkError`] when the bytes are not the named ones or hold no messages.
pub fn decode_chunk(reference: &ChunkReference, chunk: &[u8]) -> Result<Vec<Message>, ChunkError> {
    if !reference.matches(chunk) {
        return Err(ChunkError::WrongDigest);
    }
    let config = bincode::config::standard().with_limit::<MOST_CHUNK_BYTES>();
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

/// Where the messages of a turn are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TurnText {
    /// In the replicated state.
    Inline(Vec<Message>),
    /// On the store daemons.
    Stored(ChunkReference),
}

/// One call's part of the history: its messages and, when it was answered, the answer as the
/// last message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// Number of the call in its chain.
    pub call: u32,
    /// Whether the last message is the call's answer. Not so for a call of unknown outcome.
    pub answered: bool,
    /// The messages.
    pub text: TurnText,
}

impl Turn {
    /// Bytes of the messages' contents when held here, of the chunk when stored.
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

/// One piece of a composed history, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryPart<'state> {
    /// Messages held here.
    Messages(&'state [Message]),
    /// Messages to fetch from a store daemon and decode with [`decode_chunk`].
    Chunk(&'state ChunkReference),
}

/// A history that cannot be composed from this replica's memory alone.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{} chunks of chain {}'s history are on store daemons", chunks.len(), chain.0))]
pub struct MissingChunks {
    /// The chain whose history was asked for.
    pub chain: ChainId,
    /// What has to be fetched, in the order of the history.
    pub chunks: Vec<ChunkReference>,
}
