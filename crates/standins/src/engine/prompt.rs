//! How text is counted, hashed and steered: the stand-in's tokeniser and directives.

use dahlia_engine_model::Segment;
use dahlia_types::{Message, Role, Tokens};
use sha2::{Digest, Sha256};

/// Characters of one token.
const TOKEN_CHARACTERS: u64 = 4;
/// Tokens that frame each message.
const FRAME_TOKENS: u64 = 4;

const TOKENS_DIRECTIVE: &str = "[[tokens=";
const HANG_DIRECTIVE: &str = "[[hang]]";
const DIRECTIVE_END: &str = "]]";

/// Tokens of one message: a quarter of its characters, rounded up, and four for its frame.
pub fn count_message(message: &Message) -> Tokens {
    let characters = message.content.chars().count() as u64;
    Tokens(characters.div_ceil(TOKEN_CHARACTERS) + FRAME_TOKENS)
}

/// Tokens of a prompt.
pub fn count_prompt(messages: &[Message]) -> Tokens {
    let counts = messages.iter().map(count_message);
    counts.fold(Tokens::ZERO, Tokens::saturating_add)
}

/// Characters of an answer of so many tokens, all ASCII.
///
/// Inverse of [`count_message`] from the fifth token on, so that an answer costs the same when
/// it comes back in the next prompt. The first four tokens have one character each and the
/// fifth has none.
pub fn answer_length(generated: Tokens) -> u64 {
    let framed = generated.0.saturating_sub(FRAME_TOKENS) * TOKEN_CHARACTERS;
    framed.max(generated.0.min(TOKEN_CHARACTERS))
}

/// Names a message in the prefix cache.
pub(super) fn segment(message: &Message) -> Segment {
    Segment { hash: hash_message(message.role, &message.content), tokens: count_message(message) }
}

/// Hash of a message's role and text.
pub(super) fn hash_message(role: Role, content: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update([role as u8]);
    hasher.update(content.as_bytes());
    first_word(&hasher.finalize())
}

/// The first eight bytes of a digest as a number.
pub(super) fn first_word(digest: &[u8]) -> u64 {
    digest.iter().take(8).fold(0, |word, byte| (word << 8) | u64::from(*byte))
}

/// What the last user message asks of the stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Directives {
    /// Tokens to generate: `[[tokens=120]]`.
    pub(super) tokens: Option<Tokens>,
    /// Start, say a little and then nothing: `[[hang]]`.
    pub(super) hang: bool,
}

/// Finds the directives of the last user message.
pub(super) fn directives(messages: &[Message]) -> Directives {
    let last = messages.iter().rev().find(|message| message.role == Role::User);
    let Some(message) = last else { return Directives::default() };
    let text = &message.content;
    Directives { tokens: asked_tokens(text), hang: text.contains(HANG_DIRECTIVE) }
}

fn asked_tokens(text: &str) -> Option<Tokens> {
    let (_, rest) = text.split_once(TOKENS_DIRECTIVE)?;
    let (number, _) = rest.split_once(DIRECTIVE_END)?;
    number.trim().parse().ok().map(Tokens)
}
