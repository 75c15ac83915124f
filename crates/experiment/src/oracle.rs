//! The lower bound: no queue, every prefix warm, a batch of one.

use dahlia_types::Duration;

use crate::metrics::{CallRecord, Outcome, ProgramRecord, RunResult};
use crate::workload::{After, ChainScript, ProgramScript, Workload};

/// How a chain ends and how long it takes without any contention.
struct ChainTime {
    total: Duration,
    paused: Duration,
    outcome: Outcome,
}

/// Computes the lower bound for every program of a run.
pub(crate) fn run(workload: &Workload, programs: &[ProgramScript]) -> RunResult {
    let mut result = RunResult::new(workload);
    for program in programs {
        let mut calls = Vec::new();
        let time = chain_time(workload, &program.main, &mut calls);
        let measured = result.is_measured(program.arrives);
        if measured {
            result.calls.extend(calls);
        }
        let ended = program.arrives + time.total;
        let record = ProgramRecord {
            arrives: program.arrives,
            latency: time.total,
            paused: time.paused,
            ended,
            outcome: time.outcome,
        };
        result.add_program(record);
    }
    result
}

fn chain_time(workload: &Workload, chain: &ChainScript, calls: &mut Vec<CallRecord>) -> ChainTime {
    let mut total = Duration::ZERO;
    let mut paused = Duration::ZERO;
    let mut cached: u64 = chain.prefix.iter().map(|segment| segment.tokens.0).sum();
    for turn in &chain.turns {
        let first = first_token_time(workload, turn.message.tokens.0, cached);
        let decode = decode_time(workload, turn.generated.0);
        calls.push(CallRecord {
            first_token: first,
            prompt: cached + turn.message.tokens.0,
            cached,
        });
        cached += turn.message.tokens.0 + turn.generated.0;
        total = plus(total, plus(first, decode));
        match &turn.after {
            After::End => break,
            After::Pause { length, .. } => {
                total = plus(total, *length);
                paused = plus(paused, *length);
            }
            After::Hang { .. } | After::Abandon => {
                return ChainTime { total, paused, outcome: Outcome::Abandoned };
            }
            After::SubAgents(children) => {
                let times: Vec<ChainTime> =
                    children.iter().map(|child| chain_time(workload, child, calls)).collect();
                let Some(longest) = times.iter().max_by_key(|time| time.total) else { continue };
                total = plus(total, longest.total);
                paused = plus(paused, longest.paused);
                if times.iter().any(|time| time.outcome != Outcome::Completed) {
                    return ChainTime { total, paused, outcome: Outcome::Abandoned };
                }
            }
        }
    }
    ChainTime { total, paused, outcome: Outcome::Completed }
}

/// Time to the first token: links there and back, and the prefill of what is new.
fn first_token_time(workload: &Workload, new_tokens: u64, context: u64) -> Duration {
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

fn plus(one: Duration, other: Duration) -> Duration {
    Duration::from_micros(one.as_micros() + other.as_micros())
}
