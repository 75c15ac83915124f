//! Records what callers and engines observed, and checks the promises against it.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_program::{
    AttemptOutcome, BeginCall, BeginOutcome, CallOutcome, CommandEffect, EngineIncarnation,
    GroupState, HistoryPart, Program, RecordedOutcome, decode_chunk,
};
use dahlia_types::{AttemptId, CallId, ChainId, Message, ProgramId, Repeatability};

/// A promise that a schedule can break.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    Order,
    Budget,
    AtMostOnce,
    OneOutcome,
    NotRun,
    MatchingAnswer,
    History,
    Release,
}

pub type CheckResult = Result<(), (Promise, String)>;

/// A call as its caller knows it.
struct KnownCall {
    request: BeginCall,
    outcome: Option<CallOutcome>,
}

/// How many calls ended in each way.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    pub answered: u64,
    pub unknown: u64,
    pub not_run: u64,
    pub begun_again: u64,
}

impl OutcomeCounts {
    pub fn add(&mut self, checker: &Checker) {
        self.begun_again += u64::from(checker.calls_begun_again);
        for known in checker.calls.values() {
            match known.outcome {
                None => {}
                Some(CallOutcome::Answered { .. }) => self.answered += 1,
                Some(CallOutcome::Unknown) => self.unknown += 1,
                Some(CallOutcome::NotRun { .. }) => self.not_run += 1,
            }
        }
    }
}

/// Everything that was observed outside the state.
#[derive(Default)]
pub struct Checker {
    calls: BTreeMap<CallId, KnownCall>,
    /// The history that a chain inherited: the parent's at the chain's first call.
    inherited: BTreeMap<(ProgramId, ChainId), Vec<Message>>,
    open: BTreeMap<CallId, AttemptId>,
    /// Calls that were begun again after they did not run.
    calls_begun_again: u32,
    /// Number of attempts of each call that engines started.
    pub starts: BTreeMap<CallId, u32>,
    /// Tokens that engines actually used.
    pub used: BTreeMap<ProgramId, u64>,
    /// The programs for which engines currently hold memory.
    pub held_programs: BTreeSet<(ProgramId, EngineIncarnation)>,
    /// Chunks on the store daemons.
    pub chunks: BTreeMap<[u8; 32], Vec<u8>>,
}

impl Checker {
    /// The request that began a call.
    pub fn request(&self, call: CallId) -> &BeginCall {
        &self.calls[&call].request
    }

    /// Checks the result of a begun call.
    pub fn begun(&mut self, request: &BeginCall, begun: &BeginOutcome) -> CheckResult {
        match begun {
            BeginOutcome::Ready(call) | BeginOutcome::Waiting(call) => {
                self.new_call(request, *call)
            }
            BeginOutcome::Joined(call) | BeginOutcome::ReplayedFromStore(call, _) => {
                self.check_same_request(request, *call)
            }
            BeginOutcome::Replayed(call, outcome) => {
                self.check_same_request(request, *call)?;
                let known = self.calls[call].outcome.as_ref();
                require(known == Some(outcome), Promise::OneOutcome, || {
                    format!("{call} ended as {known:?} and was replayed as {outcome:?}")
                })
            }
        }
    }

    fn new_call(&mut self, request: &BeginCall, call: CallId) -> CheckResult {
        let before = self.calls.get(&call).and_then(|known| known.outcome.as_ref());
        if matches!(before, Some(CallOutcome::NotRun { .. })) {
            return self.begun_again(request, call);
        }
        if call.number == 1 {
            let parent = request.parent.filter(|_| call.chain != ChainId(0));
            let before = parent.map(|parent| self.history(call.program, parent));
            self.inherited.insert((call.program, call.chain), before.unwrap_or_default());
        }
        let known = KnownCall { request: request.clone(), outcome: None };
        let replaced = self.calls.insert(call, known).is_some();
        require(!replaced, Promise::Order, || format!("{call} was given to two requests"))
    }

    /// A call that did not run may be begun again by the same request while it is the last of its
    /// chain.
    fn begun_again(&mut self, request: &BeginCall, call: CallId) -> CheckResult {
        self.check_same_request(request, call)?;
        let later = self.chain(call.program, call.chain).filter(|(id, _)| **id > call).count();
        require(later == 0, Promise::Order, || {
            format!("{call} was begun again behind {later} later calls")
        })?;
        self.calls_begun_again += 1;
        self.calls.get_mut(&call).expect("it was begun before").outcome = None;
        Ok(())
    }

    fn check_same_request(&self, request: &BeginCall, call: CallId) -> CheckResult {
        let known = &self.calls[&call].request;
        let same = known.messages == request.messages && known.chain == request.chain;
        require(same, Promise::MatchingAnswer, || format!("{request:?} was taken for {call}"))
    }

    /// Checks an accepted intent.
    pub fn intent(&mut self, attempt: AttemptId) -> CheckResult {
        let call = attempt.call;
        self.open.insert(call, attempt);
        let chain = self.chain(call.program, call.chain);
        let waiting = chain.filter(|(id, known)| **id < call && known.outcome.is_none()).count();
        require(waiting == 0, Promise::Order, || format!("{call} overtook {waiting} calls"))
    }

    /// Checks an accepted outcome of an attempt.
    pub fn outcome(
        &mut self,
        attempt: AttemptId,
        outcome: &AttemptOutcome,
        applied: &CommandEffect,
    ) -> CheckResult {
        if matches!(applied, CommandEffect::Settled(_)) {
            return Ok(());
        }
        let open = self.open.remove(&attempt.call);
        let ran = matches!(outcome, AttemptOutcome::Ran { .. });
        require(!ran || open == Some(attempt), Promise::MatchingAnswer, || {
            format!("{attempt} answered while {open:?} was open")
        })
    }

    /// Checks the entire state.
    pub fn check(&mut self, state: &GroupState) -> CheckResult {
        for program in state.programs() {
            self.check_outcomes(program)?;
            self.check_budget(program)?;
            self.check_history(program)?;
        }
        self.check_starts()?;
        for (program, holder) in &self.held_programs {
            let has_obligation = state
                .program(*program)
                .is_some_and(|program| program.obligations().any(|(owing, _)| owing == holder));
            require(has_obligation, Promise::Release, || {
                format!("{program} is held by {holder:?}")
            })?;
        }
        Ok(())
    }

    fn check_outcomes(&mut self, program: &Program) -> CheckResult {
        for (id, _) in program.calls() {
            let found = program.outcome(id).map(|outcome| self.complete_outcome(outcome));
            let known = &mut self.calls.get_mut(&id).expect("begun by a caller").outcome;
            let first = known.is_none();
            let same = first || *known == found;
            require(same, Promise::OneOutcome, || {
                format!("{id} ended as {known:?} and is now {found:?}")
            })?;
            if first {
                *known = found;
            }
        }
        Ok(())
    }

    /// The outcome with its text, which is fetched from the store daemons if it was moved there.
    fn complete_outcome(&self, outcome: RecordedOutcome) -> CallOutcome {
        match outcome {
            RecordedOutcome::Inline(outcome) => outcome,
            RecordedOutcome::Stored(stored) => {
                let chunk = &self.chunks[&stored.chunk.digest];
                let messages =
                    decode_chunk(&stored.chunk, chunk).expect("the stored chunk is complete");
                let answer = messages.last().expect("a turn has messages").clone();
                CallOutcome::Answered { answer, usage: stored.usage }
            }
        }
    }

    fn check_budget(&self, program: &Program) -> CheckResult {
        let budget = program.budget();
        let bound = budget.spent.saturating_add(budget.reserved);
        require(bound <= budget.total, Promise::Budget, || format!("{budget:?}"))?;
        let used = self.used.get(&program.id()).copied().unwrap_or(0);
        require(used <= bound.0, Promise::Budget, || format!("engines used {used}: {budget:?}"))
    }

    fn check_history(&self, program: &Program) -> CheckResult {
        for (chain, _) in program.chains() {
            let mut found = Vec::new();
            for part in program.history_parts(chain) {
                match part {
                    HistoryPart::Messages(messages) => found.extend_from_slice(messages),
                    HistoryPart::Chunk(chunk) => {
                        let bytes = &self.chunks[&chunk.digest];
                        found.extend(
                            decode_chunk(chunk, bytes).expect("the stored chunk is complete"),
                        );
                    }
                }
            }
            let expected = self.history(program.id(), chain);
            require(found == expected, Promise::History, || {
                format!("chain {chain:?}: {found:?} instead of {expected:?}")
            })?;
        }
        Ok(())
    }

    fn check_starts(&self) -> CheckResult {
        for (call, starts) in &self.starts {
            let known = &self.calls[call];
            let at_most_once = known.request.repeatability == Repeatability::AtMostOnce;
            require(!at_most_once || *starts <= 1, Promise::AtMostOnce, || {
                format!("{call} was started {starts} times")
            })?;
            let not_run = matches!(known.outcome, Some(CallOutcome::NotRun { .. }));
            require(!not_run, Promise::NotRun, || format!("{call} was started {starts} times"))?;
        }
        Ok(())
    }

    fn chain(
        &self,
        program: ProgramId,
        chain: ChainId,
    ) -> impl Iterator<Item = (&CallId, &KnownCall)> {
        let first = CallId { program, chain, number: 0 };
        let last = CallId { program, chain, number: u32::MAX };
        self.calls.range(first..=last)
    }

    /// A chain's history according to the outcomes that callers received.
    fn history(&self, program: ProgramId, chain: ChainId) -> Vec<Message> {
        let mut history = self.inherited.get(&(program, chain)).cloned().unwrap_or_default();
        for (_, known) in self.chain(program, chain) {
            match &known.outcome {
                None | Some(CallOutcome::NotRun { .. }) => {}
                Some(CallOutcome::Unknown) => history.extend(known.request.messages.clone()),
                Some(CallOutcome::Answered { answer, .. }) => {
                    history.extend(known.request.messages.clone());
                    history.push(answer.clone());
                }
            }
        }
        history
    }
}

fn require(holds: bool, promise: Promise, describe: impl FnOnce() -> String) -> CheckResult {
    if holds { Ok(()) } else { Err((promise, describe())) }
}
