//! A seeded world around a group's state: engines, a network that delays and repeats, callers who
//! retry, and an owner who dies, forgets, and tries what it may not.

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

use crate::checker::{Checked, Checker, Promise};
use crate::common::{GROUP, program_id, seconds, specification};
use crate::engine::Engine;

const ENGINES: usize = 3;
const PROGRAMS: u64 = 2;
pub(crate) const CHAINS: u32 = 3;
const BUDGET: u64 = 900;
const MOST_IN_FLIGHT: usize = 12;

#[derive(Clone, Copy)]
struct Dispatch {
    attempt: AttemptId,
    engine: usize,
    life: u64,
    bound: u64,
    cap: u64,
}

pub struct World {
    pub(crate) random: ChaCha8Rng,
    off: Option<Mechanism>,
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
    pub fn new(seed: u64, off: Option<Mechanism>) -> Self {
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            off,
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
        world.switch_off();
        for number in 0..PROGRAMS {
            let (program, specification) = (program_id(number), specification(BUDGET));
            let at = world.now;
            let command = CreateProgram { program, specification, at };
            world.apply(Command::CreateProgram(command));
        }
        world
    }

    /// The state after the same log without any restore.
    pub fn replayed(&self) -> GroupState {
        let mut state = GroupState::new(GROUP, ProgramLimits::default());
        for (index, command) in (1..).zip(&self.log) {
            let _ = state.apply(LogIndex(index), Term(1), command);
        }
        state
    }

    pub fn check(&mut self) -> Checked {
        self.checker.check(&self.state)
    }

    pub fn step(&mut self) -> Checked {
        self.now = self.now + Duration::from_millis(self.random.random_range(0..2_000));
        match self.random.random_range(0..100) {
            0..14 => self.begin_new(),
            14..20 => self.begin_again(),
            20..40 => self.intend(),
            40..56 => self.deliver_dispatch(),
            56..66 => self.engine_ends_attempt(),
            66..76 => self.owner_hears_outcome(),
            76..81 => self.owner_asks_engine(),
            81..84 => self.owner_gives_up(),
            84..86 => self.restart_engine(),
            86..90 => self.ask_release(),
            90..93 => self.hear_release(),
            93..96 => self.abandon(),
            96..98 => self.move_turn(),
            98..99 => self.hand_over(),
            _ => self.rare(),
        }
    }

    pub(crate) fn apply(&mut self, command: Command) -> Option<CommandEffect> {
        self.log.push(command.clone());
        self.state.apply(LogIndex(self.log.len() as u64), Term(1), &command).ok()
    }

    fn switch_off(&mut self) {
        if let Some(mechanism) = self.off {
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

    /// The owner tries any open call, at any engine, sometimes at a life that is over.
    fn intend(&mut self) -> Checked {
        let first_in_chain =
            self.state.unfinished_calls().into_iter().filter_map(|call| match call {
                UnfinishedCall::Ready(attempt) => Some(attempt.call),
                UnfinishedCall::Interrupted { .. } => None,
            });
        let ready: Vec<CallId> = first_in_chain.collect();
        let right = self.random.random_bool(0.8);
        let chosen =
            if right { ready.choose(&mut self.random).copied() } else { self.any_open_call() };
        let Some(call) = chosen else {
            return Ok(());
        };
        let found = self.state.program(call.program).and_then(|program| program.call(call));
        let attempts = found.map_or(0, |call| call.attempts());
        let engine = self.random.random_range(0..ENGINES);
        let life = self.engines[engine].life - u64::from(self.random.random_bool(0.1));
        let attempt = AttemptId { call, attempt: attempts + 1 };
        let bound = self.random.random_range(1..30);
        let command = RecordIntent {
            attempt,
            engine: self.engines[engine].id.clone(),
            incarnation: Incarnation(life),
            prompt_bound: Tokens(bound),
            at: self.now,
        };
        if let Some(CommandEffect::IntentRecorded(terms)) =
            self.apply(Command::RecordIntent(command))
        {
            self.checker.intent(attempt)?;
            let cap = terms.generated_cap.0;
            // The owner may die between the intent and the first byte.
            if self.random.random_bool(0.9) {
                self.dispatches.push(Dispatch { attempt, engine, life, bound, cap });
            }
        }
        Ok(())
    }

    fn deliver_dispatch(&mut self) -> Checked {
        let Some(dispatch) = take_any(&mut self.dispatches, &mut self.random) else {
            return Ok(());
        };
        let call = dispatch.attempt.call;
        let engine = &mut self.engines[dispatch.engine];
        if engine.start(dispatch.attempt, dispatch.life) {
            *self.checker.starts.entry(call).or_default() += 1;
            let used = dispatch.bound + dispatch.cap;
            *self.checker.used.entry(call.program).or_default() += used;
            // A tool's call generates nothing and holds no memory.
            if dispatch.cap > 0 {
                self.checker.held.insert((call.program, engine.life()));
            }
        }
        Ok(())
    }

    fn engine_ends_attempt(&mut self) -> Checked {
        let index = self.random.random_range(0..ENGINES);
        self.outcomes.extend(self.engines[index].end_one(&mut self.random));
        Ok(())
    }

    fn owner_hears_outcome(&mut self) -> Checked {
        let Some((attempt, outcome)) = take_any(&mut self.outcomes, &mut self.random) else {
            return Ok(());
        };
        if self.random.random_bool(0.5) && self.outcomes.len() < MOST_IN_FLIGHT {
            self.outcomes.push((attempt, outcome.clone()));
        }
        self.record(attempt, outcome)
    }

    fn record(&mut self, attempt: AttemptId, outcome: AttemptOutcome) -> Checked {
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
                    .map(|(id, attempt)| (id, life_of(&attempt.engine, attempt.incarnation))),
            );
            found.extend(
                program
                    .unknown_attempts()
                    .map(|(id, attempt)| (id, life_of(&attempt.engine, attempt.incarnation))),
            );
        }
        found
    }

    /// The owner asks an engine about an attempt.
    fn owner_asks_engine(&mut self) -> Checked {
        match self.unsettled().choose(&mut self.random) {
            Some((attempt, life)) => self.ask(*attempt, life),
            None => Ok(()),
        }
    }

    fn ask(&mut self, attempt: AttemptId, life: &EngineIncarnation) -> Checked {
        match self.engine(&life.engine).ask(attempt, life.incarnation) {
            Some(outcome) => self.record(attempt, outcome),
            None => Ok(()),
        }
    }

    fn engine(&mut self, id: &EngineId) -> &mut Engine {
        self.engines.iter_mut().find(|engine| engine.id == *id).expect("an engine of this world")
    }

    fn owner_gives_up(&mut self) -> Checked {
        match self.unsettled().choose(&mut self.random) {
            Some((attempt, _)) => self.record(*attempt, AttemptOutcome::Unknown),
            None => Ok(()),
        }
    }

    fn restart_engine(&mut self) -> Checked {
        let index = self.random.random_range(0..ENGINES);
        let engine = Engine::new(index, self.engines[index].life + 1);
        self.checker.held.retain(|(_, held)| held.engine != engine.id);
        let program = self.any_program();
        self.confirmations.push(confirmation(program, engine.life(), LogIndex(0)));
        self.engines[index] = engine;
        Ok(())
    }

    fn release_requests(&self) -> Vec<ReleaseRequest> {
        self.state.programs().flat_map(|program| program.release_requests()).collect()
    }

    /// An engine frees a program; its confirmation is under way for a while.
    fn ask_release(&mut self) -> Checked {
        if let Some(request) = self.release_requests().choose(&mut self.random) {
            self.release(request);
        }
        Ok(())
    }

    fn release(&mut self, request: &ReleaseRequest) {
        let engine = self.engine(&request.holder.engine);
        let life = engine.life();
        if life == request.holder {
            engine.fence(&request.fence);
            self.checker.held.remove(&(request.program, life.clone()));
        }
        self.confirmations.push(confirmation(request.program, life, request.covers));
    }

    fn hear_release(&mut self) -> Checked {
        if let Some(confirmed) = take_any(&mut self.confirmations, &mut self.random) {
            self.apply(Command::ConfirmRelease(confirmed));
        }
        Ok(())
    }

    fn abandon(&mut self) -> Checked {
        let Some(call) = self.any_open_call() else {
            return Ok(());
        };
        let outcome = match self.random.random_bool(0.7) {
            true => CallOutcome::NotRun { reason: NotRunReason::Overloaded, retry_after: None },
            false => CallOutcome::Unknown,
        };
        let at = self.now;
        self.apply(Command::AbandonCall(AbandonCall { call, outcome, at }));
        // A caller that is told "not run" mostly comes back, by its call's number.
        if self.random.random_bool(0.7) {
            self.checker.check(&self.state)?;
            return self.come_back(call);
        }
        Ok(())
    }

    fn move_turn(&mut self) -> Checked {
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
    pub fn hand_over(&mut self) -> Checked {
        self.state = GroupState::restore(&self.state.snapshot()).expect("just written");
        self.switch_off();
        Ok(())
    }

    /// Ends every program and lets the network and the engines come to rest. Gives what is left:
    /// nothing, unless something is stuck or held for ever.
    pub fn settle(&mut self) -> Result<Vec<ProgramId>, (Promise, String)> {
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
        for (attempt, life) in self.unsettled() {
            self.ask(attempt, &life)?;
        }
        for request in self.release_requests() {
            self.release(&request);
        }
        while !self.confirmations.is_empty() {
            self.hear_release()?;
        }
        self.check()?;
        let (keep_records, keep_unknown) =
            (Duration::from_secs(30), self.state.limits().keep_unknown);
        let now = self.now + keep_unknown + keep_records;
        self.apply(Command::ExpirePrograms(ExpirePrograms { now, keep_records }));
        Ok(self.state.programs().map(|program| program.id()).collect())
    }

    fn rare(&mut self) -> Checked {
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
            _ => return self.hand_over(),
        }
        Ok(())
    }
}

fn confirmation(program: ProgramId, life: EngineIncarnation, covers: LogIndex) -> ConfirmRelease {
    let EngineIncarnation { engine, incarnation } = life;
    ConfirmRelease { program, engine, incarnation, covers, freed: Bytes::ZERO }
}

fn life_of(engine: &EngineId, incarnation: Incarnation) -> EngineIncarnation {
    EngineIncarnation { engine: engine.clone(), incarnation }
}

/// Takes any element out: the network neither keeps order nor time.
fn take_any<T>(items: &mut Vec<T>, random: &mut ChaCha8Rng) -> Option<T> {
    if items.is_empty() {
        return None;
    }
    Some(items.swap_remove(random.random_range(0..items.len())))
}
