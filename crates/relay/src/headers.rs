//! Names of the headers that a deployment uses. The relay knows only their meaning.

use http::HeaderName;

/// Header names by their meaning.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies a caller's attempt of a request; servers send it back.
    pub attempt: HeaderName,
    /// Milliseconds that the sender waits for the answer.
    pub deadline: HeaderName,
    /// Server to caller: proves which server made the answer.
    pub signature: HeaderName,
    /// Relay to server: the server instance that the request is meant for.
    pub expected_instance: HeaderName,
    /// Server to relay: the instance that answers a health check.
    pub instance: HeaderName,
    /// Server to relay: the request did not run.
    pub not_run: HeaderName,
    /// The program that a request belongs to.
    pub program: HeaderName,
    /// The session, a sequence of turns inside the program.
    pub session: HeaderName,
    /// Milliseconds until the program should end.
    pub program_deadline: HeaderName,
    /// Tokens that all turns of the program together may generate.
    pub budget: HeaderName,
    /// Tokens of the prompt and the most tokens to generate, separated by a comma.
    pub token_count: HeaderName,
    /// Tokens that the caller expects in the answer; often inaccurate.
    pub length_hint: HeaderName,
    /// Parts of the prompt in order, as `id:tokens` separated by commas.
    pub prompt_parts: HeaderName,
    /// The turn that this one continues.
    pub previous_turn: HeaderName,
    /// Relay to server: priority from 0 (first) to 9.
    pub priority: HeaderName,
    /// The last event that the reader has received.
    pub last_event: HeaderName,
    /// The attempt that brought the first event of a stream which the caller takes up.
    pub resumes: HeaderName,
    /// Relay to server: the tenant of the request.
    pub tenant: HeaderName,
    /// The authentication scheme with which callers send their key in `Authorization`.
    pub key_scheme: &'static str,
    /// The cookie that names the object that a request concerns.
    pub object_cookie: &'static str,
    /// Further headers that only the relay or the servers may set. They are removed from callers'
    /// requests.
    pub internal: Vec<HeaderName>,
}

impl HeaderNames {
    /// The headers that servers trust. They are removed from a caller's request before anything
    /// reads them.
    pub(crate) fn reserved(&self) -> impl Iterator<Item = &HeaderName> {
        let own = [&self.deadline, &self.expected_instance, &self.priority, &self.tenant];
        own.into_iter().chain(&self.internal)
    }
}
