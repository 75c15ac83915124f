//! What the engine remembers of each attempt: its answer, how far it is, who follows it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use dahlia_adapters::engine::{AttemptState, StopReason};
use dahlia_types::{AttemptId, CallId, ChainId, ProgramId, Tokens, Usage};
use tokio::sync::watch;

use super::answer::AnswerText;

/// Records that are kept before those of ended programs are dropped.
const KEPT_RECORDS: usize = 200_000;

/// How far an attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    Queued,
    Running { cached: Tokens, generated: Tokens },
    Ended { usage: Usage, stop: StopReason },
    NeverStarted,
}

impl Progress {
    pub(super) fn is_final(self) -> bool {
        matches!(self, Self::Ended { .. } | Self::NeverStarted)
    }

    /// The same as the wire tells it.
    pub(super) fn state(self) -> AttemptState {
        match self {
            Self::Queued => AttemptState::Queued,
            Self::Running { generated, .. } => AttemptState::Running { generated },
            Self::Ended { usage, stop } => AttemptState::Finished { usage, stop },
            Self::NeverStarted => AttemptState::NeverStarted,
        }
    }
}

/// One attempt.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) answer: Arc<AnswerText>,
    /// Why it will end if nobody cuts it.
    pub(super) natural_stop: StopReason,
    /// It goes silent after this many tokens and never ends by itself.
    pub(super) stalls_after: Option<Tokens>,
    progress: watch::Sender<Progress>,
}

impl Record {
    pub(super) fn new(
        answer: Arc<AnswerText>,
        natural_stop: StopReason,
        stalls: Option<Tokens>,
    ) -> Self {
        let progress = watch::Sender::new(Progress::Queued);
        Self { answer, natural_stop, stalls_after: stalls, progress }
    }

    /// The record of an attempt that was cancelled before it arrived.
    fn tombstone(attempt: AttemptId) -> Self {
        let answer = Arc::new(AnswerText::new(attempt.call, &[]));
        let record = Self::new(answer, StopReason::Cancelled, None);
        record.set(Progress::NeverStarted);
        record
    }

    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Moves on. A final progress stays.
    pub(super) fn set(&self, progress: Progress) {
        self.progress.send_if_modified(|present| {
            let moves = !present.is_final() && *present != progress;
            if moves {
                *present = progress;
            }
            moves
        });
    }
}

/// All records of one life.
#[derive(Debug, Default)]
pub(super) struct Records {
    records: BTreeMap<AttemptId, Record>,
    ended_programs: VecDeque<ProgramId>,
    forgotten: BTreeSet<ProgramId>,
}

impl Records {
    pub(super) fn get(&self, attempt: AttemptId) -> Option<&Record> {
        self.records.get(&attempt)
    }

    pub(super) fn insert(&mut self, attempt: AttemptId, record: Record) {
        self.records.insert(attempt, record);
        self.drop_oldest();
    }

    /// Notes that an attempt never starts, whether it is known or not.
    pub(super) fn never_starts(&mut self, attempt: AttemptId) {
        let record = self.records.entry(attempt).or_insert_with(|| Record::tombstone(attempt));
        record.set(Progress::NeverStarted);
    }

    /// Where an attempt stands.
    pub(super) fn state(&self, attempt: AttemptId) -> AttemptState {
        match self.records.get(&attempt) {
            Some(record) => record.progress().state(),
            None if self.forgotten.contains(&attempt.call.program) => AttemptState::Forgotten,
            None => AttemptState::Unseen,
        }
    }

    /// The attempts of a program that have not ended.
    pub(super) fn live_of(&self, program: ProgramId) -> Vec<AttemptId> {
        let records = self.of(program).filter(|(_, record)| !record.progress().is_final());
        records.map(|(attempt, _)| *attempt).collect()
    }

    /// Some attempt other than this one that runs.
    pub(super) fn another_running(&self, attempt: AttemptId) -> Option<(AttemptId, &Record)> {
        let mut others = self.records.iter().filter(|(other, record)| {
            **other != attempt && matches!(record.progress(), Progress::Running { .. })
        });
        others.next().map(|(other, record)| (*other, record))
    }

    /// Notes that a program has ended: no attempt of it is ever taken again.
    pub(super) fn program_ended(&mut self, program: ProgramId) {
        self.ended_programs.push_back(program);
    }

    fn of(&self, program: ProgramId) -> impl Iterator<Item = (&AttemptId, &Record)> {
        let first = CallId { program, chain: ChainId(0), number: 0 };
        let from = self.records.range(AttemptId { call: first, attempt: 0 }..);
        from.take_while(move |(attempt, _)| attempt.call.program == program)
    }

    /// Only records of ended programs are dropped: an attempt of another program that is asked
    /// for later must not be taken for one that never arrived.
    fn drop_oldest(&mut self) {
        while self.records.len() > KEPT_RECORDS
            && let Some(program) = self.ended_programs.pop_front()
        {
            let attempts: Vec<AttemptId> = self.of(program).map(|(id, _)| *id).collect();
            for attempt in attempts {
                self.records.remove(&attempt);
            }
            self.forgotten.insert(program);
        }
    }
}
