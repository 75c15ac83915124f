//! The parts of a prompt, as callers list them: `id:tokens` in order, separated by commas.

/// The parts of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SharedPromptParts<'a> {
    /// The identifier of the last shared part. Equal identifiers imply that all parts before it are
    /// equal too.
    pub(crate) last: &'a str,
    /// Tokens of all shared parts.
    pub(crate) tokens: u64,
    /// Whether the shared parts have more tokens than the last part of the prompt.
    pub(crate) are_majority: bool,
}

impl<'a> SharedPromptParts<'a> {
    /// Parses the list. All parts but the last are shared; the last one belongs to the request or
    /// its session. If the prompt has a single part, `last` is that part, and no tokens are shared.
    pub(crate) fn parse(parts: &'a str) -> Option<Self> {
        let parts_with_ids = parts.split(',').map(parse_part).filter(|(id, _)| !id.is_empty());
        let parts_with_ids: Vec<(&str, u64)> = parts_with_ids.collect();
        let (last_part, shared) = parts_with_ids.split_last()?;
        let last = shared.last().unwrap_or(last_part).0;
        let shared_tokens =
            shared.iter().fold(0, |sum: u64, (_, tokens)| sum.saturating_add(*tokens));
        Some(Self { last, tokens: shared_tokens, are_majority: shared_tokens > last_part.1 })
    }
}

/// Parses one part. A part without a number of tokens has 0.
fn parse_part(part: &str) -> (&str, u64) {
    let (id, tokens) = part.split_once(':').unwrap_or((part, ""));
    (id.trim(), tokens.trim().parse().unwrap_or(0))
}
