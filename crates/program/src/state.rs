//! The state of a group's programs and the application of commands to it.

use std::collections::BTreeMap;

use dahlia_ledger::Ledger;
use dahlia_types::{CallId, GroupId, LogIndex, ProgramId, Term};
use serde::{Deserialize, Serialize};

use crate::refusal::{
    AlreadyAppliedSnafu, BudgetLoweredSnafu, LimitReachedSnafu, NoSuchProgramSnafu,
    ProgramClosedSnafu, ProgramExistsSnafu, WrongGroupSnafu,
};
use crate::switches::Switches;
use crate::{
    Budget, Command, CommandEffect, CommandRefusal, CreateProgram, Lifecycle, Program,
    ProgramLimits, RaiseBudget,
};

/// The replicated state of one group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupState {
    pub(crate) group: GroupId,
    pub(crate) limits: ProgramLimits,
    pub(crate) applied: LogIndex,
    pub(crate) term: Term,
    pub(crate) programs: BTreeMap<ProgramId, Program>,
    pub(crate) ledger: Ledger,
    #[serde(skip)]
    pub(crate) switches: Switches,
}

impl GroupState {
    /// Creates the state of an empty group. Every replica must start with the same limits; they
    /// change only by [`crate::SetLimits`].
    pub fn new(group: GroupId, limits: ProgramLimits) -> Self {
        Self {
            group,
            limits,
            applied: LogIndex::default(),
            term: Term::default(),
            programs: BTreeMap::new(),
            ledger: Ledger::new(limits.ledger),
            switches: Switches::default(),
        }
    }

    /// The group.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// The limits in force.
    pub fn limits(&self) -> &ProgramLimits {
        &self.limits
    }

    /// The index of the last applied log entry.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// One program, including ended ones until they are removed.
    pub fn program(&self, program: ProgramId) -> Option<&Program> {
        self.programs.get(&program)
    }

    /// All programs in the order of their identifiers.
    pub fn programs(&self) -> impl Iterator<Item = &Program> {
        self.programs.values()
    }

    /// Turns and budgets of the programs that are named by callers.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Switches a mechanism off, to show that a checker notices. The switch is not part of
    /// snapshots.
    #[cfg(feature = "test-switches")]
    pub fn disable(&mut self, mechanism: crate::Mechanism) {
        self.switches.disable(mechanism);
    }

    /// Applies the committed log entry at `index`, which the leader of `term` proposed.
    ///
    /// A refused command changes only the index of the last applied entry.
    ///
    /// # Errors
    /// [`CommandRefusal`]. It is the same on every replica.
    pub fn apply(
        &mut self,
        index: LogIndex,
        term: Term,
        command: &Command,
    ) -> Result<CommandEffect, CommandRefusal> {
        if index <= self.applied {
            return AlreadyAppliedSnafu { index }.fail();
        }
        self.applied = index;
        self.term = self.term.max(term);
        match command {
            Command::CreateProgram(command) => self.create(command),
            Command::BeginCall(command) => self.begin_call(command),
            Command::RecordIntent(command) => self.record_intent(index, term, command),
            Command::RecordOutcome(command) => self.record_outcome(command),
            Command::AbandonCall(command) => self.abandon_call(command),
            Command::RaiseBudget(command) => self.raise_budget(command),
            Command::CloseProgram(command) => self.close_program(command),
            Command::ConfirmRelease(command) => self.confirm_release(command),
            Command::ExpirePrograms(command) => Ok(self.expire_programs(command)),
            Command::MoveTurnToStore(command) => self.move_turn(command),
            Command::SetLimits(command) => {
                self.limits = command.limits;
                self.ledger.set_limits(command.limits.ledger);
                Ok(CommandEffect::LimitsSet)
            }
            Command::Ledger(command) => Ok(CommandEffect::Ledger(self.ledger.apply(command))),
        }
    }

    pub(crate) fn program_mut(
        &mut self,
        program: ProgramId,
    ) -> Result<&mut Program, CommandRefusal> {
        let missing = || NoSuchProgramSnafu { program }.build();
        self.programs.get_mut(&program).ok_or_else(missing)
    }

    fn create(&mut self, command: &CreateProgram) -> Result<CommandEffect, CommandRefusal> {
        let program = command.program;
        if program.group != self.group {
            return WrongGroupSnafu { program, group: self.group }.fail();
        }
        if let Some(found) = self.programs.get(&program) {
            if found.specification != command.specification {
                return ProgramExistsSnafu { program }.fail();
            }
            return Ok(CommandEffect::Created(program));
        }
        check_limit(program, "programs", self.programs.len(), self.limits.programs)?;
        let created = Program {
            id: program,
            specification: command.specification.clone(),
            budget: Budget::new(command.specification.budget),
            chains: BTreeMap::new(),
            obligations: BTreeMap::new(),
            unknown_attempts: BTreeMap::new(),
            lifecycle: Lifecycle::Open,
            last_activity: command.at,
            history_bytes: Default::default(),
        };
        self.programs.insert(program, created);
        Ok(CommandEffect::Created(program))
    }

    fn raise_budget(&mut self, command: &RaiseBudget) -> Result<CommandEffect, CommandRefusal> {
        let program = self.program_mut(command.program)?;
        check_open(program)?;
        let total = program.budget.total;
        if command.total < total {
            return BudgetLoweredSnafu { program: command.program, total }.fail();
        }
        program.budget.total = command.total;
        Ok(CommandEffect::BudgetRaised(command.total))
    }
}

/// Refuses if `program` has ended.
pub(crate) fn check_open(program: &Program) -> Result<(), CommandRefusal> {
    if program.is_open() {
        return Ok(());
    }
    ProgramClosedSnafu { program: program.id }.fail()
}

/// Refuses if one more than `count` would exceed `limit`.
pub(crate) fn check_limit(
    program: ProgramId,
    what: &str,
    count: usize,
    limit: u64,
) -> Result<(), CommandRefusal> {
    if (count as u64) < limit {
        return Ok(());
    }
    LimitReachedSnafu { program, what, limit }.fail()
}

/// The refusal of a command that names an attempt or call that is not open.
pub(crate) fn stale_attempt(call: CallId) -> CommandRefusal {
    CommandRefusal::StaleAttempt { call }
}
