//! Adding calls to their chains, and recognising retries.

use dahlia_types::{CallId, CallKind, ChainId, Tokens};

use crate::chain::push_compact;
use crate::history::content_bytes;
use crate::key::KeyHash;
use crate::refusal::{DigestMismatchSnafu, LimitReachedSnafu, NoSuchChainSnafu, OutOfOrderSnafu};
use crate::state::{check_limit, check_open};
use crate::{
    BeginCall, BeginOutcome, BranchPoint, Call, CallState, Chain, CommandEffect, CommandRefusal,
    EndedCall, GroupState, Mechanism, OpenCall, Program, ProgramLimits, RecordedOutcome,
};

/// The chain that a program starts with.
const MAIN_CHAIN: ChainId = ChainId(0);

impl GroupState {
    pub(crate) fn begin_call(
        &mut self,
        command: &BeginCall,
    ) -> Result<CommandEffect, CommandRefusal> {
        let limits = self.limits;
        let digest_check = self.switches.is_on(Mechanism::DigestCheck);
        let program = self.program_mut(command.program)?;
        // Retries are recognised before anything else. They are answered even if the program is
        // closed or at its limits, because nothing new runs for them.
        if let Some(repeated) = find_repeated_call(program, command, digest_check)? {
            bind_key(program, command, repeated);
            if !may_begin_again(program, repeated) {
                return Ok(CommandEffect::Begun(join_or_replay(program, repeated)));
            }
            check_limits(program, &limits, command)?;
            program.record_activity(command.at);
            return Ok(CommandEffect::Begun(begin_again(program, repeated, command)));
        }
        check_open(program)?;
        check_limits(program, &limits, command)?;
        let branch = branch_point(program, &limits, command)?;
        let begun = append_call(program, command, branch)?;
        program.record_activity(command.at);
        Ok(CommandEffect::Begun(begun))
    }
}

/// Finds the call that `command` repeats, first by its key and then by its number.
fn find_repeated_call(
    program: &Program,
    command: &BeginCall,
    digest_check: bool,
) -> Result<Option<CallId>, CommandRefusal> {
    let by_key = command.key.as_ref().and_then(|key| program.call_by_key(key));
    let stated = command.number.map(|number| program.call_id(command.chain, number));
    let by_number = stated.filter(|call| program.call(*call).is_some());
    let Some(call) = by_key.or(by_number) else {
        return Ok(None);
    };
    let found = program.call(call).expect("keys name calls of the program");
    let same_position = call.chain == command.chain && stated.is_none_or(|stated| stated == call);
    let same_key = match (found.key, &command.key) {
        (Some(recorded), Some(stated)) => recorded == KeyHash::of(stated),
        _ => true,
    };
    let same_digest = found.digest == command.digest;
    if digest_check && !(same_position && same_key && same_digest) {
        return DigestMismatchSnafu { call }.fail();
    }
    Ok(Some(call))
}

/// Records the key of a retry if the call was begun without one, so that a further retry with only
/// the key finds the call.
fn bind_key(program: &mut Program, command: &BeginCall, call: CallId) {
    let Some(found) = program.call_mut(call) else {
        return;
    };
    if found.key.is_none() {
        found.key = command.key.as_ref().map(KeyHash::of);
    }
}

/// Whether a call that did not run may be begun again by the same request. It may not if the chain
/// has a later call, because it would run out of order.
fn may_begin_again(program: &Program, call: CallId) -> bool {
    let ended = program.call(call).and_then(Call::ended);
    let not_run = matches!(ended, Some(EndedCall::NotRun { .. }));
    let is_last =
        program.chain(call.chain).is_some_and(|chain| chain.next_number() == call.number + 1);
    not_run && is_last && program.is_open()
}

fn begin_again(program: &mut Program, call: CallId, command: &BeginCall) -> BeginOutcome {
    let added = content_bytes(&command.messages);
    program.history_bytes = program.history_bytes.saturating_add(added);
    if let Some(found) = program.call_mut(call) {
        found.reopen(command.messages.clone());
    }
    let chain = program.chains.get_mut(&call.chain).expect("the call was found in its chain");
    chain.head = chain.head.min(call.number - 1);
    chain.advance_head();
    if chain.first_open() == Some(call.number) {
        BeginOutcome::Ready(call)
    } else {
        BeginOutcome::Waiting(call)
    }
}

fn join_or_replay(program: &Program, call: CallId) -> BeginOutcome {
    match program.outcome(call) {
        None => BeginOutcome::Joined(call),
        Some(RecordedOutcome::Inline(outcome)) => BeginOutcome::Replayed(call, outcome),
        Some(RecordedOutcome::Stored(answer)) => BeginOutcome::ReplayedFromStore(call, answer),
    }
}

fn check_limits(
    program: &Program,
    limits: &ProgramLimits,
    command: &BeginCall,
) -> Result<(), CommandRefusal> {
    let id = program.id;
    let calls = program.chains.values().map(|chain| chain.calls.len()).sum();
    let turns: usize = program.chains.values().map(|chain| chain.turns.len()).sum();
    let open_calls = program.open_calls().count();
    check_limit(id, "calls", calls, limits.calls)?;
    check_limit(id, "open calls", open_calls, limits.open_calls)?;
    check_limit(id, "turns", turns + open_calls, limits.turns)?;
    let bytes = program.history_bytes.saturating_add(content_bytes(&command.messages));
    if bytes > limits.history_bytes {
        let limit = limits.history_bytes.0;
        return LimitReachedSnafu { program: id, what: "history bytes", limit }.fail();
    }
    Ok(())
}

/// Where the chain that the call starts branches off. None for a chain that exists, for the main
/// chain, and for a sub-agent that starts with an empty history.
fn branch_point(
    program: &Program,
    limits: &ProgramLimits,
    command: &BeginCall,
) -> Result<Option<BranchPoint>, CommandRefusal> {
    if program.chains.contains_key(&command.chain) {
        return Ok(None);
    }
    check_limit(program.id, "chains", program.chains.len(), limits.chains)?;
    let Some(parent) = command.parent.filter(|_| command.chain != MAIN_CHAIN) else {
        return Ok(None);
    };
    let missing = || NoSuchChainSnafu { program: program.id, chain: parent.0 }.build();
    let found = program.chains.get(&parent).ok_or_else(missing)?;
    Ok(Some(BranchPoint { chain: parent, turns: found.turns.len() as u32 }))
}

fn append_call(
    program: &mut Program,
    command: &BeginCall,
    branch: Option<BranchPoint>,
) -> Result<BeginOutcome, CommandRefusal> {
    let expected = program.chains.get(&command.chain).map_or(1, Chain::next_number);
    let number = command.number.unwrap_or(expected);
    let id = program.call_id(command.chain, number);
    if number != expected {
        return OutOfOrderSnafu { call: id, expected }.fail();
    }
    let inherited = branch.map_or(Tokens::ZERO, |branch| program.chains[&branch.chain].tokens);
    let chain =
        program.chains.entry(command.chain).or_insert_with(|| Chain::new(branch, inherited));
    push_compact(&mut chain.calls, new_call(command));
    let is_first = chain.first_open() == Some(number);
    let added = content_bytes(&command.messages);
    program.history_bytes = program.history_bytes.saturating_add(added);
    Ok(if is_first { BeginOutcome::Ready(id) } else { BeginOutcome::Waiting(id) })
}

fn new_call(command: &BeginCall) -> Call {
    let is_generate = command.kind == CallKind::Generate;
    let open = OpenCall { messages: command.messages.clone(), attempt: None };
    Call {
        key: command.key.as_ref().map(KeyHash::of),
        digest: command.digest,
        non_generate_kind: (!is_generate).then(|| Box::new(command.kind.clone())),
        repeatability: command.repeatability,
        max_generated: command.max_generated,
        attempts: 0,
        ran_without_answer: false,
        state: CallState::Open(Box::new(open)),
    }
}
