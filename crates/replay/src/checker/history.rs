//! An engine's prompt is exactly the program's history as its callers know it.

use dahlia_api::ErrorKind;
use dahlia_types::{CallId, ChainId, Message, Role};

use super::Found;
use super::view::View;
use crate::Promise;
use crate::world::CallerOutcome;

const MAIN_CHAIN: ChainId = ChainId(0);
const SHOWN_CHARACTERS: usize = 80;

pub(super) fn check(view: &View<'_>, found: &mut Found) {
    for (call, seen) in &view.calls {
        for accepted in &seen.accepted {
            let program = view.programs.get(&call.program);
            if program.is_some_and(|program| program.tenant != accepted.tenant) {
                let what = format!("{} ran as tenant {}", accepted.attempt, accepted.tenant);
                found.broken(Promise::History, what);
            }
            if let Some(difference) = difference(view, *call, accepted.messages) {
                let what = format!("the prompt of {} {difference}", accepted.attempt);
                found.broken(Promise::History, what);
            }
        }
        check_refusals(*call, &seen.refused, found);
    }
}

/// Refusals that a caller gets only when the system forgot what it had acknowledged.
fn check_refusals(call: CallId, refused: &[ErrorKind], found: &mut Found) {
    for kind in refused {
        let forgot =
            matches!(kind, ErrorKind::OutOfOrder | ErrorKind::NotFound | ErrorKind::KeyReused);
        if forgot {
            let what = format!("{call} was refused as {}: what was before it is lost", kind.name());
            found.broken(Promise::History, what);
        }
    }
}

/// How a prompt differs from what it has to be; none when it is right, or cannot be known.
fn difference(view: &View<'_>, call: CallId, prompt: &[Message]) -> Option<String> {
    let own = turns(view, call, call.number)?;
    let mut expected: Vec<Message> = own.into_iter().flatten().collect();
    expected.extend(view.calls.get(&call)?.sent?.1.iter().cloned());
    if call.chain == MAIN_CHAIN {
        return compare(prompt, &expected);
    }
    // A sub-agent begins with its parent's history at that moment: some number of its turns, at
    // least those that the caller knew when it began the sub-agent.
    let parent = turns(view, CallId { chain: MAIN_CHAIN, ..call }, u32::MAX)?;
    let least = known_before(view, call);
    let mut last = None;
    for count in least..=parent.len() {
        let mut whole: Vec<Message> = parent[..count].iter().flatten().cloned().collect();
        whole.extend(expected.iter().cloned());
        last = compare(prompt, &whole);
        last.as_ref()?;
    }
    last
}

/// Turns of the main chain that the caller knew when it first sent the sub-agent's first call.
fn known_before(view: &View<'_>, call: CallId) -> usize {
    let first = CallId { number: 1, ..call };
    let Some((sent, _, _)) = view.calls.get(&first).and_then(|seen| seen.sent) else {
        return 0;
    };
    let known = view.chain(call.program, MAIN_CHAIN).filter(|(_, seen)| {
        let first = seen.told.first();
        first.is_some_and(|(at, outcome, _)| {
            *at <= sent && !matches!(outcome, CallerOutcome::NotRun(_))
        })
    });
    known.count()
}

/// The turns of a chain before a call; none when the outcome of some of them was told to nobody.
fn turns(view: &View<'_>, call: CallId, before: u32) -> Option<Vec<Vec<Message>>> {
    let mut turns = Vec::new();
    for (_, seen) in view.chain(call.program, call.chain).filter(|(id, _)| id.number < before) {
        let Some((_, messages, _)) = seen.sent else { continue };
        match seen.outcome() {
            None => return None,
            Some(CallerOutcome::NotRun(_)) => {}
            Some(CallerOutcome::Unknown) => turns.push(messages.to_vec()),
            Some(CallerOutcome::Answered(text)) => {
                let mut turn = messages.to_vec();
                turn.push(Message { role: Role::Assistant, content: text.clone() });
                turns.push(turn);
            }
        }
    }
    Some(turns)
}

fn compare(prompt: &[Message], expected: &[Message]) -> Option<String> {
    if prompt == expected {
        return None;
    }
    let place = prompt.iter().zip(expected).take_while(|(one, other)| one == other).count();
    let show = |messages: &[Message]| match messages.get(place) {
        None => "nothing".to_owned(),
        Some(message) => {
            let text: String = message.content.chars().take(SHOWN_CHARACTERS).collect();
            format!("{text:?}")
        }
    };
    let (found, wanted) = (show(prompt), show(expected));
    Some(format!("has {found} instead of {wanted} as message {}", place + 1))
}
