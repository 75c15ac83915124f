//! Names of the headers that a deployment uses. The relay knows their meaning only.

use http::HeaderName;

/// Names of headers by their meaning.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies a caller's try of a request; servers send it back.
    pub attempt: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// Server to caller: proves which server made the answer.
    pub signature: HeaderName,
    /// Relay to server: which life of the server is meant.
    pub expected_instance: HeaderName,
    /// Server to relay: the request did not run.
    pub not_run: HeaderName,
    /// The program that a request belongs to.
    pub program: HeaderName,
    /// The line of turns inside the program.
    pub session: HeaderName,
    /// Milliseconds until the program should be over.
    pub program_deadline: HeaderName,
    /// Tokens that all turns of the program may generate.
    pub budget: HeaderName,
    /// Tokens of the prompt, and the most to be generated, with a comma between.
    pub token_count: HeaderName,
    /// Tokens that the caller expects of the answer; often far off.
    pub length_hint: HeaderName,
    /// Parts of the prompt in order, as `id:tokens` with commas between.
    pub prompt_parts: HeaderName,
    /// The turn that this one goes on from.
    pub previous_turn: HeaderName,
    /// Relay to server: urgency from 0 (first) to 9.
    pub priority: HeaderName,
    /// The last event that the reader has.
    pub last_event: HeaderName,
    /// Relay to server: whose request it is.
    pub tenant: HeaderName,
    /// The scheme under which callers send their key in `Authorization`.
    pub key_scheme: &'static str,
    /// Names the object that a request concerns, among a caller's cookies.
    pub object_cookie: &'static str,
    /// Further headers that only the relay or those behind it may set: a caller's are dropped.
    pub internal: Vec<HeaderName>,
}

impl HeaderNames {
    /// The headers that a server trusts: whatever a caller sends under these names is dropped
    /// before anything reads it.
    pub(crate) fn reserved(&self) -> impl Iterator<Item = &HeaderName> {
        let own = [&self.deadline, &self.expected_instance, &self.priority, &self.tenant];
        own.into_iter().chain(&self.internal)
    }
}
