//! The state of running programs.

use std::collections::VecDeque;

use dahlia_engine_model::Segment;
use dahlia_types::{CallId, ChainId, Duration, GroupId, ProgramId, Timestamp};

use crate::workload::{ChainScript, ProgramScript, Turn};

/// A chain of a running program.
#[derive(Debug)]
pub(super) struct ChainRun {
    pub parent: Option<usize>,
    /// The remaining turns. The first one is the current call.
    pub turns: VecDeque<Turn>,
    pub history: Vec<Segment>,
    /// The number of the current call, starting at 1.
    pub number: u32,
    /// The number of the current call's next attempt.
    pub attempt: u32,
    /// When the current call was first issued, and when it last reached its owner.
    pub issued: Timestamp,
    pub ready: Timestamp,
    pub caller_retries: u32,
    /// The current call's time to its first token, or none before that token arrives.
    pub first_token: Option<Duration>,
    /// Whether the current call is still unanswered.
    pub under_way: bool,
    /// The number of sub-agents that have not ended.
    pub children: usize,
    /// The total tool pauses of this chain and of the chains that it waited for.
    pub paused: Duration,
    pub depth: u32,
}

impl ChainRun {
    fn new(script: ChainScript, parent: Option<usize>, inherited: &[Segment], depth: u32) -> Self {
        let mut history = if script.inherits { inherited.to_vec() } else { Vec::new() };
        if !script.inherits {
            history.extend(script.prefix);
        }
        Self {
            parent,
            turns: script.turns.into(),
            history,
            number: 0,
            attempt: 1,
            issued: Timestamp::ZERO,
            ready: Timestamp::ZERO,
            caller_retries: 0,
            first_token: None,
            under_way: false,
            children: 0,
            paused: Duration::ZERO,
            depth,
        }
    }
}

/// The state of a running program.
#[derive(Debug)]
pub(super) struct ProgramRun {
    pub id: ProgramId,
    /// The scheduler that owns it.
    pub owner: usize,
    pub script: ProgramScript,
    pub chains: Vec<ChainRun>,
    pub last_answer: Timestamp,
    pub ended: bool,
}

impl ProgramRun {
    pub(super) fn new(number: usize, owner: usize, script: ProgramScript) -> Self {
        let id = ProgramId { group: GroupId(owner as u32), number: number as u64 };
        let last_answer = script.arrives;
        Self { id, owner, script, chains: Vec::new(), last_answer, ended: false }
    }

    /// Opens the main chain.
    pub(super) fn add_main_chain(&mut self) -> usize {
        let main = self.script.main.clone();
        self.chains.push(ChainRun::new(main, None, &[], 0));
        0
    }

    /// Opens a sub-agent's chain.
    pub(super) fn add_sub_agent(&mut self, parent: usize, script: ChainScript) -> usize {
        let from = &self.chains[parent];
        let depth = from.depth + 1;
        let mut child = ChainRun::new(script, Some(parent), &from.history, depth);
        child.paused = from.paused;
        self.chains.push(child);
        self.chains[parent].children += 1;
        self.chains.len() - 1
    }

    /// Counts unanswered calls that are issued or will be issued after a pause.
    pub(super) fn calls_under_way(&self) -> u64 {
        self.chains.iter().filter(|chain| chain.under_way).count() as u64
    }

    pub(super) fn call(&self, chain: usize) -> CallId {
        let number = self.chains[chain].number;
        CallId { program: self.id, chain: ChainId(chain as u32), number }
    }
}
