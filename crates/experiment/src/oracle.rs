//! Computes the latency lower bound: no queueing, every prefix cached and a batch size of one.

use dahlia_types::Duration;

use crate::metrics::{CallRecord, Outcome, ProgramRecord, RunResult};
use crate::workload::{ChainScript, NextStep, ProgramScript, Workload};

/// The outcome and duration of a chain without contention.
struct ChainEstimate {
    total: Duration,
    paused: Duration,
    outcome: Outcome,
}

/// Computes the lower bound for every program of a run.
pub(crate) fn run(workload: &Workload, programs: &[ProgramScript]) -> RunResult {
    let mut result = RunResult::new(workload);
    for program in programs {
        let mut calls = Vec::new();
        let estimate = estimate_chain(workload, &program.main, &mut calls);
        let measured = result.is_measured(program.arrives);
        if measured {
            result.calls.extend(calls);
        }
        let ended = program.arrives + estimate.total;
        let record = ProgramRecord {
            arrives: program.arrives,
            latency: estimate.total,
            paused: estimate.paused,
            ended,
            outcome: estimate.outcome,
        };
        result.add_program(record);
    }
    result
}

fn estimate_chain(
    workload: &Workload,
    chain: &ChainScript,
    calls: &mut Vec<CallRecord>,
) -> ChainEstimate {
    let mut total = Duration::ZERO;
    let mut paused = Duration::ZERO;
    let mut cached: u64 = chain.prefix.iter().map(|segment| segment.tokens.0).sum();
    for turn in &chain.turns {
        let first = time_to_first_token(workload, turn.message.tokens.0, cached);
        let decode = decode_time(workload, turn.generated.0);
        calls.push(CallRecord {
            first_token: first,
            prompt: cached + turn.message.tokens.0,
            cached,
        });
        cached += turn.message.tokens.0 + turn.generated.0;
        total = sum(total, sum(first, decode));
        match &turn.next_step {
            NextStep::End => break,
            NextStep::Pause { length, .. } => {
                total = sum(total, *length);
                paused = sum(paused, *length);
            }
            NextStep::Hang { .. } | NextStep::Abandon => {
                return ChainEstimate { total, paused, outcome: Outcome::Abandoned };
            }
            NextStep::SubAgents(children) => {
                let estimates: Vec<ChainEstimate> =
                    children.iter().map(|child| estimate_chain(workload, child, calls)).collect();
                let Some(longest) = estimates.iter().max_by_key(|estimate| estimate.total) else {
                    continue;
                };
                total = sum(total, longest.total);
                paused = sum(paused, longest.paused);
                if estimates.iter().any(|estimate| estimate.outcome != Outcome::Completed) {
                    return ChainEstimate { total, paused, outcome: Outcome::Abandoned };
                }
            }
        }
    }
    ChainEstimate { total, paused, outcome: Outcome::Completed }
}

/// Returns the time to the first token: the network round trip and the prefill of new tokens.
fn time_to_first_token(workload: &Workload, new_tokens: u64, context: u64) -> Duration {
    let links = 2.0 * workload.deployment.client_latency_ms * 1000.0;
    let engine = &workload.engine;
    let steps = new_tokens.div_ceil(engine.prefill_chunk.0).max(1) as f64;
    let tokens = new_tokens as f64;
    let attention = tokens * (context as f64 + tokens / 2.0) * engine.attention_nanos / 1000.0;
    let micros = steps * engine.step_base_micros + tokens * engine.prefill_token_micros + attention;
    Duration::from_micros((links + micros) as u64)
}

fn decode_time(workload: &Workload, generated: u64) -> Duration {
    let step = workload.engine.step_base_micros + workload.engine.decode_sequence_micros;
    Duration::from_micros((generated.saturating_sub(1) as f64 * step) as u64)
}

fn sum(left: Duration, right: Duration) -> Duration {
    Duration::from_micros(left.as_micros() + right.as_micros())
}
