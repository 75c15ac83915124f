//! A chain: its calls in the order in which they were issued, and the turns that they added.

use dahlia_types::{ChainId, Message, Tokens};
use serde::{Deserialize, Serialize};

use crate::{Call, Turn, TurnText};

/// Where a chain's history branches off from another's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BranchPoint {
    /// The parent chain.
    pub chain: ChainId,
    /// Number of the parent's own turns, from its first, that precede this chain's history.
    pub turns: u32,
}

/// One chain of a program.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Chain {
    pub(crate) branch: Option<BranchPoint>,
    pub(crate) calls: Vec<Call>,
    /// The position of the first call that may be open: all calls before it have ended.
    pub(crate) head: u32,
    pub(crate) turns: Vec<Turn>,
    pub(crate) tokens: Tokens,
}

impl Chain {
    pub(crate) fn new(branch: Option<BranchPoint>, tokens: Tokens) -> Self {
        Self { branch, tokens, ..Self::default() }
    }

    /// Where the chain branches off; none for the main chain and for chains that start with an
    /// empty history.
    pub fn branch(&self) -> Option<BranchPoint> {
        self.branch
    }

    /// The chain's own turns, without its parent's.
    pub fn turns(&self) -> &[Turn] {
        &self.turns
    }

    /// Tokens of the chain's entire history as engines reported it; 0 before the first report.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }

    /// The calls with their numbers, in order.
    pub fn calls(&self) -> impl Iterator<Item = (u32, &Call)> {
        (1..).zip(&self.calls)
    }

    /// The calls that have not ended, with their numbers, in order.
    pub fn open_calls(&self) -> impl Iterator<Item = (u32, &Call)> {
        let rest = (self.head + 1..).zip(&self.calls[self.head as usize..]);
        rest.filter(|(_, call)| call.is_open())
    }

    /// The call with this number.
    pub fn call(&self, number: u32) -> Option<&Call> {
        self.calls.get(index_of(number)?)
    }

    /// The number that the next new call gets.
    pub fn next_number(&self) -> u32 {
        self.calls.len() as u32 + 1
    }

    /// The only call that may have an attempt: the first that has not ended.
    pub fn first_open(&self) -> Option<u32> {
        let is_open = self.calls.get(self.head as usize)?.is_open();
        is_open.then_some(self.head + 1)
    }

    pub(crate) fn call_mut(&mut self, number: u32) -> Option<&mut Call> {
        self.calls.get_mut(index_of(number)?)
    }

    /// Moves the head past calls that have ended.
    pub(crate) fn advance_head(&mut self) {
        while self.calls.get(self.head as usize).is_some_and(|call| !call.is_open()) {
            self.head += 1;
        }
    }

    /// Appends a turn and returns its position.
    pub(crate) fn push_turn(&mut self, call: u32, answered: bool, messages: Vec<Message>) -> u32 {
        let text = TurnText::Inline(messages);
        push_compact(&mut self.turns, Turn { call, answered, text });
        self.turns.len() as u32 - 1
    }
}

/// Appends an item and grows the vector by a few items only. Doubling would leave up to half of
/// each replica's memory unused over many programs.
pub(crate) fn push_compact<T>(items: &mut Vec<T>, item: T) {
    const SPARE: usize = 4;
    if items.len() == items.capacity() {
        items.reserve_exact(SPARE);
    }
    items.push(item);
}

fn index_of(number: u32) -> Option<usize> {
    number.checked_sub(1).map(|position| position as usize)
}
