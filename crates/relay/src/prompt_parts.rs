//! The parts of a prompt, as callers list them.

/// The identifier of the last part that other requests may share: the last but one, since the last
/// belongs to the request or its session. The parts before it are the same wherever it stands. A
/// prompt of one part has that one.
pub(crate) fn last_shared_part(parts: &str) -> Option<&str> {
    let mut from_last = parts.rsplit(',').map(identifier).filter(|part| !part.is_empty());
    let own = from_last.next();
    from_last.next().or(own)
}

/// The identifier in `id:tokens`.
fn identifier(part: &str) -> &str {
    part.split(':').next().unwrap_or_default().trim()
}
