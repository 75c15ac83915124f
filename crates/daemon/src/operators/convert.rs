//! Converts views of the node to messages of the operators' schema.

use dahlia_api::operators as rpc;
use dahlia_node::request::{
    CacheHolderView, CallStateName, CallView, ProgramStateName, ProgramView,
};

/// A program.
pub(super) fn program(view: ProgramView) -> rpc::Program {
    rpc::Program {
        program: view.program.to_string(),
        tenant: view.specification.tenant.to_string(),
        model: view.specification.model.to_string(),
        state: program_state(view.state).to_owned(),
        budget: Some(rpc::Budget {
            total_tokens: view.total.0,
            spent_tokens: view.spent.0,
            reserved_tokens: view.reserved.0,
        }),
        chains: view.chains,
        turns: view.turns,
        held: view.cache_holders.into_iter().map(cache_holder).collect(),
        owner: view.owner.to_string(),
        epoch: view.epoch.0,
        calls: view.calls.into_iter().map(call).collect(),
    }
}

fn program_state(state: ProgramStateName) -> &'static str {
    match state {
        ProgramStateName::Open => "open",
        ProgramStateName::Closed => "closed",
        ProgramStateName::Expired => "expired",
    }
}

fn cache_holder(view: CacheHolderView) -> rpc::HeldCache {
    rpc::HeldCache { engine: view.engine.to_string(), engine_incarnation: view.incarnation.0 }
}

fn call(view: CallView) -> rpc::Call {
    rpc::Call {
        chain: view.call.chain.0,
        number: view.call.number,
        state: call_state(view.state).to_owned(),
        attempts: view.attempts,
        engine: view.engine.map(|engine| engine.to_string()).unwrap_or_default(),
        prompt_tokens: view.usage.prompt.0,
        cached_tokens: view.usage.cached.0,
        generated_tokens: view.usage.generated.0,
    }
}

fn call_state(state: CallStateName) -> &'static str {
    match state {
        CallStateName::Waiting => "waiting",
        CallStateName::Ready => "ready",
        CallStateName::Running => "running",
        CallStateName::Answered => "answered",
        CallStateName::NotRun => "not_run",
        CallStateName::Unknown => "unknown",
    }
}
