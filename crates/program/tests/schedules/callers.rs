//! Simulated callers: new calls, retries, and other content under a key that is in use.

use dahlia_program::{BeginCall, Command, CommandEffect};
use dahlia_types::{CallId, CallKind, ChainId, IdempotencyKey, Repeatability, Role, Tokens};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::checker::CheckResult;
use crate::common::message;
use crate::world::{CHAINS, World};

/// Number of latest requests from which retries are mostly chosen.
const RECENT_REQUESTS: usize = 4;

impl World {
    fn begin(&mut self, request: BeginCall) -> CheckResult {
        match self.apply(Command::BeginCall(request.clone())) {
            Some(CommandEffect::Begun(begun)) => self.checker.begun(&request, &begun),
            _ => Ok(()),
        }
    }

    pub(crate) fn begin_new(&mut self) -> CheckResult {
        let serial = self.requests.len();
        let chain = ChainId(self.random.random_range(0..CHAINS));
        let keyed = self.random.random_bool(0.7);
        let request = BeginCall {
            program: self.any_program(),
            chain,
            parent: self.random.random_bool(0.7).then_some(ChainId(0)),
            number: None,
            key: keyed.then(|| IdempotencyKey::new(format!("key-{serial}"))),
            digest: serial as u64,
            kind: match self.random.random_bool(0.2) {
                true => CallKind::Tool("registry".to_owned()),
                false => CallKind::Generate,
            },
            repeatability: match self.random.random_bool(0.4) {
                true => Repeatability::AtMostOnce,
                false => Repeatability::Repeatable,
            },
            messages: vec![message(Role::User, format!("request {serial}"))],
            max_generated: Tokens(self.random.random_range(0..30)),
            at: self.now,
        };
        self.requests.push(request.clone());
        self.begin(request)
    }

    /// Repeats the request of a call, with the call's number.
    pub(crate) fn retry_by_number(&mut self, call: CallId) -> CheckResult {
        let mut request = self.checker.request(call).clone();
        request.number = Some(call.number);
        self.begin(request)
    }

    /// Repeats a request, sometimes with other content under the same key.
    pub(crate) fn retry_request(&mut self) -> CheckResult {
        // Callers mostly repeat their latest requests; such a call may be begun again.
        let recent = self.requests.len().saturating_sub(RECENT_REQUESTS);
        let first = if self.random.random_bool(0.7) { recent } else { 0 };
        let Some(mut request) = self.requests[first..].choose(&mut self.random).cloned() else {
            return Ok(());
        };
        if request.key.is_none() {
            return Ok(());
        }
        if self.random.random_bool(0.3) {
            request.digest += 1_000_000;
            request.messages[0].content.push_str(" (changed)");
        }
        self.begin(request)
    }
}
