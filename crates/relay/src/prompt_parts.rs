//! The parts of a prompt, as callers list them: `id:tokens`, in order, separated by commas.

/// The parts of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SharedParts<'a> {
    /// The identifier of the last of them. The parts before it are the same wherever it stands.
    pub(crate) last: &'a str,
    /// Tokens of all of them.
    pub(crate) tokens: u64,
    /// Whether they are the larger part of the prompt.
    pub(crate) outweigh: bool,
}

impl<'a> SharedParts<'a> {
    /// All parts but the last, which belongs to the request or its session. A prompt of one part
    /// has that one.
    pub(crate) fn parse(parts: &'a str) -> Option<Self> {
        let named = parts.split(',').map(parse_part).filter(|(id, _)| !id.is_empty());
        let named: Vec<(&str, u64)> = named.collect();
        let (own, shared) = named.split_last()?;
        let last = shared.last().unwrap_or(own).0;
        let shared_tokens =
            shared.iter().fold(0, |sum: u64, (_, tokens)| sum.saturating_add(*tokens));
        Some(Self { last, tokens: shared_tokens, outweigh: shared_tokens > own.1 })
    }
}

/// A part without a number of tokens weighs nothing.
fn parse_part(part: &str) -> (&str, u64) {
    let (id, tokens) = part.split_once(':').unwrap_or((part, ""));
    (id.trim(), tokens.trim().parse().unwrap_or(0))
}
