//! Builds the views of programs for operators.

use dahlia_program::{Call, CallState, CloseReason, EndedCall, Lifecycle, Program};
use dahlia_types::{CallId, GroupId, ProgramId, TenantId, Usage};

use crate::node::Node;
use crate::request::{CacheHolderView, CallStateName, CallView, ProgramStateName, ProgramView};

impl Node {
    /// Returns a program of a group that this node owns.
    pub(crate) fn program_view(
        &self,
        group: GroupId,
        program: ProgramId,
        with_calls: bool,
    ) -> Option<ProgramView> {
        let hosted = self.groups.get(&group)?;
        let found = hosted.state.program(program)?;
        let mut view = build_program_view(found);
        view.owner = self.settings.own.daemon;
        view.epoch = hosted.replica.term();
        if with_calls {
            view.calls = found.calls().map(|(id, call)| build_call_view(id, call, found)).collect();
        }
        Some(view)
    }

    /// Returns programs of a group that this node owns.
    pub(crate) fn list_programs(
        &self,
        group: GroupId,
        tenant: Option<&TenantId>,
        include_closed: bool,
        limit: u32,
    ) -> Vec<ProgramView> {
        let Some(hosted) = self.groups.get(&group) else {
            return Vec::new();
        };
        let wanted = |program: &&Program| {
            let of_tenant = tenant.is_none_or(|tenant| program.specification().tenant == *tenant);
            of_tenant && (include_closed || program.is_open())
        };
        let found = hosted.state.programs().filter(wanted).take(limit as usize);
        found.filter_map(|program| self.program_view(group, program.id(), false)).collect()
    }
}

fn build_program_view(program: &Program) -> ProgramView {
    let budget = program.budget();
    let answered = |call: &Call| matches!(call.ended(), Some(EndedCall::Answered { .. }));
    ProgramView {
        program: program.id(),
        specification: program.specification().clone(),
        state: match program.lifecycle() {
            Lifecycle::Open => ProgramStateName::Open,
            Lifecycle::Closed { reason: CloseReason::Closed, .. } => ProgramStateName::Closed,
            Lifecycle::Closed { reason: CloseReason::Expired, .. } => ProgramStateName::Expired,
        },
        total: budget.total,
        spent: budget.spent,
        reserved: budget.reserved,
        chains: program.chains().count() as u32,
        turns: program.calls().filter(|(_, call)| answered(call)).count() as u32,
        cache_holders: program
            .obligations()
            .map(|(holder, _)| CacheHolderView {
                engine: holder.engine.clone(),
                incarnation: holder.incarnation,
            })
            .collect(),
        owner: Default::default(),
        epoch: Default::default(),
        calls: Vec::new(),
    }
}

fn build_call_view(id: CallId, call: &Call, program: &Program) -> CallView {
    let first = program.chain(id.chain).and_then(|chain| chain.first_open());
    let (state, usage) = match call.state() {
        CallState::Open(_) if call.open_attempt().is_some() => {
            (CallStateName::Running, Usage::default())
        }
        CallState::Open(_) if first == Some(id.number) => (CallStateName::Ready, Usage::default()),
        CallState::Open(_) => (CallStateName::Waiting, Usage::default()),
        CallState::Ended(EndedCall::Answered { usage, .. }) => (CallStateName::Answered, *usage),
        CallState::Ended(EndedCall::NotRun { .. }) => (CallStateName::NotRun, Usage::default()),
        CallState::Ended(EndedCall::Unknown) => (CallStateName::Unknown, Usage::default()),
    };
    CallView {
        call: id,
        state,
        attempts: call.attempts(),
        engine: call.open_attempt().map(|open| open.engine.clone()),
        usage,
    }
}
