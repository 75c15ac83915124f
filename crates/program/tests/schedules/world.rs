//! A seeded simulation around a group's state: engines, a network that delays and duplicates
//! messages, callers that retry, and an owner that crashes, loses its memory and attempts forbidden
//! commands.

use dahlia_program::{
    AbandonCall, AttemptOutcome, BeginCall, CallOutcome, ChunkReference, CloseProgram, CloseReason,
    Command, CommandEffect, ConfirmRelease, CreateProgram, EngineIncarnation, ExpirePrograms,
    GroupState, Mechanism, MoveTurnToStore, NotRunReason, ProgramLimits, RaiseBudget, RecordIntent,
    RecordOutcome, ReleaseRequest, TurnText, UnfinishedCall, encode_chunk,
};
use dahlia_types::{
    AttemptId, Bytes, CallId, ChainId, Duration, EngineId, Incarnation, LogIndex, ProgramId, Term,
    Timestamp, Tokens,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::{CheckResult, Checker, Promise};
use crate::common::{GROUP, program_id, seconds, specification};
use crate::engine::Engine;

const ENGINES: usize = 3;
const PROGRAMS: u64 = 2;
pub(crate) const CHAINS: u32 = 3;
const BUDGET: u64 = 900;
const MAX_IN_FLIGHT: usize = 12;

#[derive(Clone, Copy)]
struct Dispatch {
    attempt: AttemptId,
    engine: usize,
    incarnation: u64,
    prompt_bound: u64,
    generated_cap: u64,
}

pub struct World {
    pub(crate) random: ChaCha8Rng,
    disabled: Option<Mechanism>,
    pub state: GroupState,
    pub checker: Checker,
    log: Vec<Command>,
    pub(crate) now: Timestamp,
    engines: Vec<Engine>,
    dispatches: Vec<Dispatch>,
    outcomes: Vec<(AttemptId, AttemptOutcome)>,
    confirmations: Vec<ConfirmRelease>,
    pub(crate) requests: Vec<BeginCall>,
}

impl World {
    pub fn new(seed: u64, disabled: Option<Mechanism>) -> Self {
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            disabled,
            state: GroupState::new(GROUP, ProgramLimits::default()),
            checker: Checker::default(),
            log: Vec::new(),
            now: seconds(1),
            engines: (0..ENGINES).map(|index| Engine::new(index, 1)).collect(),
            dispatches: Vec::new(),
            outcomes: Vec::new(),
            confirmations: Vec::new(),
            requests: Vec::new(),
        };
        world.disable_mechanism();
        for number in 0..PROGRAMS {
            let (program, specification) = (program_id(number), specification(BUDGET));
            let at = world.now;
            let command = CreateProgram { program, specification, at };
            world.apply(Command::CreateProgram(command));
        }
        world
    }

    /// The state after applying the same log without restoring snapshots.
    pub fn replayed(&self) -> GroupState {
        let mut state = GroupState::new(GROUP, ProgramLimits::default());
        for (index, command) in (1..).zip(&self.log) {
            let _ = state.apply(LogIndex(index), Term(1), command);
        }
        state
    }

    pub fn check(&mut self) -> CheckResult {
        self.checker.check(&self.state)
    }

    pub fn step(&mut self) -> CheckResult {
        self.now = self.now + Duration::from_millis(self.random.random_range(0..2_000));
        match self.random.random_range(0..100) {
            0..14 => self.begin_new(),
            14..20 => self.retry_request(),
            20..40 => self.record_random_intent(),
            40..56 => self.deliver_dispatch(),
            56..66 => self.engine_ends_attempt(),
            66..76 => self.deliver_outcome(),
            76..81 => self.query_random_attempt(),
            81..84 => self.record_unknown_outcome(),
            84..86 => self.restart_engine(),
            86..90 => self.request_release(),
            90..93 => self.deliver_confirmation(),
            93..96 => self.abandon(),
            96..98 => self.move_turn(),
            98..99 => self.change_owner(),
            _ => self.step_rare(),
        }
    }

    pub(crate) fn apply(&mut self, command: Command) -> Option<CommandEffect> {
        self.log.push(command.clone());
        self.state.apply(LogIndex(self.log.len() as u64), Term(1), &command).ok()
    }

    fn disable_mechanism(&mut self) {
        if let Some(mechanism) = self.disabled {
            self.state.disable(mechanism);
        }
    }

    pub(crate) fn any_program(&mut self) -> ProgramId {
        program_id(self.random.random_range(0..PROGRAMS))
    }

    fn any_open_call(&mut self) -> Option<CallId> {
        let open = self.state.programs().flat_map(|program| program.open_calls());
        let found: Vec<CallId> = open.map(|(id, _)| id).collect();
        found.choose(&mut self.random).copied()
    }

    /// The owner records an intent for any open call and engine, sometimes for an old incarnation.
    fn record_random_intent(&mut self) -> CheckResult {
        let first_in_chain =
            self.state.unfinished_calls().into_iter().filter_map(|call| match call {
                UnfinishedCall::Ready(attempt) => Some(attempt.call),
                UnfinishedCall::Interrupted { .. } => None,
            });
        let ready: Vec<CallId> = first_in_chain.collect();
        let in_order = self.random.random_bool(0.8);
        let chosen =
            if in_order { ready.choose(&mut self.random).copied() } else { self.any_open_call() };
        let Some(call) = chosen else {
            return Ok(());
        };
        let found = self.state.program(call.program).and_then(|program| program.call(call));
        let attempts = found.map_or(0, |call| call.attempts());
        let engine = self.random.random_range(0..ENGINES);
        let incarnation =
            self.engines[engine].incarnation - u64::from(self.random.random_bool(0.1));
        let attempt = AttemptId { call, attempt: attempts + 1 };
        let prompt_bound = self.random.random_range(1..30);
        let command = RecordIntent {
            attempt,
            engine: self.engines[engine].id.clone(),
            incarnation: Incarnation(incarnation),
            prompt_bound: Tokens(prompt_bound),
            at: self.now,
        };
        if let Some(CommandEffect::IntentRecorded(reservation)) =
            self.apply(Command::RecordIntent(command))
        {
            self.checker.intent(attempt)?;
            let generated_cap = reservation.generated_cap.0;
            // The owner may crash between the intent and the first byte.
            if self.random.random_bool(0.9) {
                self.dispatches.push(Dispatch {
                    attempt,
                    engine,
                    incarnation,
                    prompt_bound,
                    generated_cap,
                });
            }
        }
        Ok(())
    }

    fn deliver_dispatch(&mut self) -> CheckResult {
        let Some(dispatch) = remove_random(&mut self.dispatches, &mut self.random) else {
            return Ok(());
        };
        let call = dispatch.attempt.call;
        let engine = &mut self.engines[dispatch.engine];
        if engine.start(dispatch.attempt, dispatch.incarnation) {
            *self.checker.starts.entry(call).or_default() += 1;
            let used = dispatch.prompt_bound + dispatch.generated_cap;
            *self.checker.used.entry(call.program).or_default() += used;
            // A tool call generates nothing and holds no memory.
            if dispatch.generated_cap > 0 {
                self.checker.held_programs.insert((call.program, engine.holder()));
            }
        }
        Ok(())
    }

    fn engine_ends_attempt(&mut self) -> CheckResult {
        let index = self.random.random_range(0..ENGINES);
        self.outcomes.extend(self.engines[index].end_one(&mut self.random));
        Ok(())
    }

    fn deliver_outcome(&mut self) -> CheckResult {
        let Some((attempt, outcome)) = remove_random(&mut self.outcomes, &mut self.random) else {
            return Ok(());
        };
        if self.random.random_bool(0.5) && self.outcomes.len() < MAX_IN_FLIGHT {
            self.outcomes.push((attempt, outcome.clone()));
        }
        self.record(attempt, outcome)
    }

    fn record(&mut self, attempt: AttemptId, outcome: AttemptOutcome) -> CheckResult {
        let at = self.now;
        let command = RecordOutcome { attempt, outcome: outcome.clone(), at };
        match self.apply(Command::RecordOutcome(command)) {
            Some(applied) => self.checker.outcome(attempt, &outcome, &applied),
            None => Ok(()),
        }
    }

    /// Attempts that are open or of unknown outcome.
    fn unsettled(&self) -> Vec<(AttemptId, EngineIncarnation)> {
        let mut found = Vec::new();
        for program in self.state.programs() {
            found.extend(
                program
                    .open_attempts()
                    .map(|(id, attempt)| (id, holder_of(&attempt.engine, attempt.incarnation))),
            );
            found.extend(
                program
                    .unknown_attempts()
                    .map(|(id, attempt)| (id, holder_of(&attempt.engine, attempt.incarnation))),
            );
        }
        found
    }

    /// The owner queries an engine about an attempt.
    fn query_random_attempt(&mut self) -> CheckResult {
        match self.unsettled().choose(&mut self.random) {
            Some((attempt, holder)) => self.query_attempt(*attempt, holder),
            None => Ok(()),
        }
    }

    fn query_attempt(&mut self, attempt: AttemptId, holder: &EngineIncarnation) -> CheckResult {
        match self.engine(&holder.engine).query(attempt, holder.incarnation) {
            Some(outcome) => self.record(attempt, outcome),
            None => Ok(()),
        }
    }

    fn engine(&mut self, id: &EngineId) -> &mut Engine {
        self.engines
            .iter_mut()
            .find(|engine| engine.id == *id)
            .expect("an engine of this simulation")
    }

    fn record_unknown_outcome(&mut self) -> CheckResult {
        match self.unsettled().choose(&mut self.random) {
            Some((attempt, _)) => self.record(*attempt, AttemptOutcome::Unknown),
            None => Ok(()),
        }
    }

    fn restart_engine(&mut self) -> CheckResult {
        let index = self.random.random_range(0..ENGINES);
        let engine = Engine::new(index, self.engines[index].incarnation + 1);
        self.checker.held_programs.retain(|(_, holder)| holder.engine != engine.id);
        let program = self.any_program();
        self.confirmations.push(confirmation(program, engine.holder(), LogIndex(0)));
        self.engines[index] = engine;
        Ok(())
    }

    fn release_requests(&self) -> Vec<ReleaseRequest> {
        self.state.programs().flat_map(|program| program.release_requests()).collect()
    }

    /// An engine frees what it holds for a program; its confirmation is delivered later.
    fn request_release(&mut self) -> CheckResult {
        if let Some(request) = self.release_requests().choose(&mut self.random) {
            self.release(request);
        }
        Ok(())
    }

    fn release(&mut self, request: &ReleaseRequest) {
        let engine = self.engine(&request.holder.engine);
        let holder = engine.holder();
        if holder == request.holder {
            engine.fence(&request.fence);
            self.checker.held_programs.remove(&(request.program, holder.clone()));
        }
        self.confirmations.push(confirmation(request.program, holder, request.covers));
    }

    fn deliver_confirmation(&mut self) -> CheckResult {
        if let Some(confirmed) = remove_random(&mut self.confirmations, &mut self.random) {
            self.apply(Command::ConfirmRelease(confirmed));
        }
        Ok(())
    }

    fn abandon(&mut self) -> CheckResult {
        let Some(call) = self.any_open_call() else {
            return Ok(());
        };
        let outcome = match self.random.random_bool(0.7) {
            true => CallOutcome::NotRun { reason: NotRunReason::Overloaded, retry_after: None },
            false => CallOutcome::Unknown,
        };
        let at = self.now;
        self.apply(Command::AbandonCall(AbandonCall { call, outcome, at }));
        // A caller whose call did not run mostly retries it, with the call's number.
        if self.random.random_bool(0.7) {
            self.checker.check(&self.state)?;
            return self.retry_by_number(call);
        }
        Ok(())
    }

    fn move_turn(&mut self) -> CheckResult {
        let program = self.any_program();
        let chain = ChainId(self.random.random_range(0..CHAINS));
        let found = self.state.program(program).and_then(|program| program.chain(chain));
        let turns = found.map_or(&[][..], |chain| chain.turns());
        let Some(turn) = (!turns.is_empty()).then(|| self.random.random_range(0..turns.len()))
        else {
            return Ok(());
        };
        if let TurnText::Inline(messages) = &turns[turn].text {
            let chunk = ChunkReference::of(messages, Tokens::ZERO);
            self.checker.chunks.insert(chunk.digest, encode_chunk(messages));
            let turn = turn as u32;
            let command = MoveTurnToStore { program, chain, turn, chunk };
            self.apply(Command::MoveTurnToStore(command));
        }
        Ok(())
    }

    /// A new owner starts from a snapshot.
    pub fn change_owner(&mut self) -> CheckResult {
        self.state = GroupState::restore(&self.state.snapshot()).expect("just written");
        self.disable_mechanism();
        Ok(())
    }

    /// Closes every program, delivers all messages and ends all attempts. Returns the programs that
    /// are left: none, unless something is stuck or held for ever.
    pub fn finish_all(&mut self) -> Result<Vec<ProgramId>, (Promise, String)> {
        let (at, reason) = (self.now, CloseReason::Closed);
        for number in 0..PROGRAMS {
            let program = program_id(number);
            self.apply(Command::CloseProgram(CloseProgram { program, reason, at }));
        }
        while !self.dispatches.is_empty() {
            self.deliver_dispatch()?;
        }
        for engine in &mut self.engines {
            while engine.end_one(&mut self.random).is_some() {}
        }
        for (attempt, holder) in self.unsettled() {
            self.query_attempt(attempt, &holder)?;
        }
        for request in self.release_requests() {
            self.release(&request);
        }
        while !self.confirmations.is_empty() {
            self.deliver_confirmation()?;
        }
        self.check()?;
        let (keep_records, keep_unknown) =
            (Duration::from_secs(30), self.state.limits().keep_unknown);
        let now = self.now + keep_unknown + keep_records;
        self.apply(Command::ExpirePrograms(ExpirePrograms { now, keep_records }));
        Ok(self.state.programs().map(|program| program.id()).collect())
    }

    fn step_rare(&mut self) -> CheckResult {
        let program = self.any_program();
        let (now, reason) = (self.now, CloseReason::Closed);
        match self.random.random_range(0..12) {
            0 => {
                self.apply(Command::CloseProgram(CloseProgram { program, reason, at: now }));
            }
            1..4 => {
                let keep_records = Duration::from_secs(30);
                self.apply(Command::ExpirePrograms(ExpirePrograms { now, keep_records }));
            }
            4..8 => {
                let total = Tokens(self.random.random_range(BUDGET..3 * BUDGET));
                self.apply(Command::RaiseBudget(RaiseBudget { program, total }));
            }
            _ => return self.change_owner(),
        }
        Ok(())
    }
}

fn confirmation(program: ProgramId, holder: EngineIncarnation, covers: LogIndex) -> ConfirmRelease {
    let EngineIncarnation { engine, incarnation } = holder;
    ConfirmRelease { program, engine, incarnation, covers, freed: Bytes::ZERO }
}

fn holder_of(engine: &EngineId, incarnation: Incarnation) -> EngineIncarnation {
    EngineIncarnation { engine: engine.clone(), incarnation }
}

/// Removes a random element: the network keeps neither the order nor the timing of messages.
fn remove_random<T>(items: &mut Vec<T>, random: &mut ChaCha8Rng) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    Some(items.swap_remove(random.random_range(0..items.len())))
}
