//! What callers send: calls with their messages, and readings of answers from a place on.

use std::hash::{DefaultHasher, Hash, Hasher};

use dahlia_api::CallRequest;
use dahlia_node::StartPosition;
use dahlia_types::{CallId, ChainId, IdempotencyKey, Message, Role, TenantId, Tokens};

use super::World;
use super::caller::Doing;
use super::gateway::GatewayRequest;
use super::observe::{CallerOutcome, Observation};
use crate::trace::PromptForm;

/// Characters of a token, as the engines count.
const TOKEN_CHARACTERS: u64 = 4;

impl World {
    pub(crate) fn call_of(&self, index: usize, number: u32) -> CallId {
        let caller = &self.callers[index];
        let chain = match caller.doing {
            Doing::Chain { chain, .. } => chain,
            Doing::Repeat { call } => call.chain.0,
            Doing::Operate { .. } | Doing::Configure(_) => 0,
        };
        CallId { program: caller.program, chain: ChainId(chain), number }
    }

    pub(crate) fn is_once(&self, index: usize, number: u32) -> bool {
        let once = self.callers[index].script.once;
        once > 0 && number.is_multiple_of(once)
    }

    /// The text of a call: it names program, chain and number, so that no other call has it.
    pub(crate) fn new_message(&self, index: usize, number: u32) -> Message {
        let script = &self.callers[index].script;
        let call = self.call_of(index, number);
        let directive = if script.hang == number && call.chain.0 == 0 {
            "[[hang]]".to_owned()
        } else {
            format!("[[tokens={}]]", script.answer)
        };
        let mut content = format!("{} of {}: {directive} ", call, script.name);
        let wanted = (script.prompt * TOKEN_CHARACTERS) as usize;
        while content.len() < wanted {
            content.push_str("inverter ");
        }
        Message { role: Role::User, content }
    }

    /// Everything that a caller sends with a call.
    fn messages(&self, index: usize, number: u32) -> Vec<Message> {
        let call = self.call_of(index, number);
        let script = &self.callers[index].script;
        // Without the earlier answers there is no whole conversation to send.
        if script.form == PromptForm::New || script.pipelined || call.chain.0 != 0 {
            return vec![self.new_message(index, number)];
        }
        let mut messages = Vec::new();
        for earlier in 1..number {
            let own = self.new_message(index, earlier);
            match self.outcome_of(CallId { number: earlier, ..call }) {
                Some(CallerOutcome::Answered(text)) => {
                    messages.push(own);
                    messages.push(Message { role: Role::Assistant, content: text });
                }
                Some(CallerOutcome::Unknown) => messages.push(own),
                Some(CallerOutcome::NotRun(_)) | None => {}
            }
        }
        messages.push(self.new_message(index, number));
        messages
    }

    /// What callers were told of a call first.
    pub(crate) fn outcome_of(&self, call: CallId) -> Option<CallerOutcome> {
        self.seen.seen.iter().find_map(|seen| match &seen.what {
            Observation::Told { call: told, outcome, .. } if *told == call => Some(outcome.clone()),
            _ => None,
        })
    }

    pub(crate) fn request_of(&self, index: usize, number: u32) -> GatewayRequest {
        let caller = &self.callers[index];
        if let Doing::Operate { request, .. } = &caller.doing {
            return GatewayRequest::Operate(request.clone());
        }
        if let Doing::Configure(change) = &caller.doing {
            return GatewayRequest::Configure(self.proposal_of(change));
        }
        let tenant = TenantId::new(caller.script.tenant.clone());
        let call = self.call_of(index, number);
        let run = &caller.runs[&number];
        if run.begun && !run.text.is_empty() {
            let start = StartPosition { attempt: run.attempt, offset: run.text.len() as u64 };
            return GatewayRequest::Read { tenant, call, start };
        }
        let once = self.is_once(index, number);
        let key = once.then(|| IdempotencyKey::new(format!("key-{}-{number}", call.chain.0)));
        let messages = self.messages(index, number);
        let mut hasher = DefaultHasher::new();
        (call.chain.0, number).hash(&mut hasher);
        messages.iter().for_each(|message| message.content.hash(&mut hasher));
        let request = CallRequest {
            program: call.program,
            chain: call.chain,
            parent: ChainId(0),
            number: Some(number),
            key,
            messages,
            max_generated: Tokens(caller.script.answer.max(1)),
            digest: hasher.finish(),
        };
        GatewayRequest::Chat { tenant, call: request, repeatable: !once }
    }
}
