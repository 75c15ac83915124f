//! Formats the report as a text table.

use std::fmt::Write;

use super::{CompareReport, LoadPoint, PolicyReport};

/// Renders the policies at the main load, followed by the sweep.
pub(super) fn render(report: &CompareReport) -> String {
    let mut text = String::new();
    let seeds = report.seeds.len();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "workload {}, load {}, {seeds} seeds", report.workload, report.load);
    let _ = writeln!(
        text,
        "{:<14} {:>8} {:>8} {:>8} {:>8} | {:>8} {:>8} {:>8} | {:>7} {:>7} {:>6} {:>6} | {:>6} \
         {:>5} {:>5} {:>5} | {:>8} {:>7} | {:>7} {:>7} {:>6}",
        "policy",
        "p50 s",
        "p95 s",
        "p99 s",
        "mean s",
        "np-p50",
        "np-p95",
        "np-mean",
        "ttft95",
        "longest",
        "waste",
        "hit",
        "done",
        "refd",
        "fail",
        "aband",
        "goodput",
        "refuse",
        "copies",
        "offload",
        "host",
    );
    for (name, policy) in &report.policies {
        write_row(&mut text, name, policy);
    }
    if !report.sweep.is_empty() {
        let _ = writeln!(
            text,
            "\n{:<14} {:>5} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>6}",
            "policy",
            "load",
            "p95 s",
            "mean s",
            "np-p95",
            "np-mean",
            "goodput",
            "waste",
            "hit",
            "refd",
            "fail",
        );
    }
    for point in &report.sweep {
        write_sweep_row(&mut text, point);
    }
    text.push_str(
        "\np50 to mean: program latency with tool pauses; np: without; ttft95 and longest: wait \
         for the\nfirst token in s; waste and hit: fractions; goodput: programs/s; refuse: \
         longest time to a refusal in s;\ncopies and offload: transfers of KV; host: most tokens \
         in one host's memory, in millions\n",
    );
    text
}

fn write_row(text: &mut String, name: &str, policy: &PolicyReport) {
    let latency = policy.program_latency_ms;
    let without_pauses = policy.program_latency_without_pauses_ms;
    let _ = writeln!(
        text,
        "{name:<14} {:>8.1} {:>8.1} {:>8.1} {:>8.1} | {:>8.2} {:>8.2} {:>8.2} | {:>7.2} {:>7.1} \
         {:>6.3} {:>6.3} | {:>6} {:>5} {:>5} {:>5} | {:>8.3} {:>7.3} | {:>7} {:>7} {:>6.1}",
        to_seconds(latency.p50),
        to_seconds(latency.p95),
        to_seconds(latency.p99),
        to_seconds(latency.mean),
        to_seconds(without_pauses.p50),
        to_seconds(without_pauses.p95),
        to_seconds(without_pauses.mean),
        to_seconds(policy.time_to_first_token_ms.p95),
        to_seconds(policy.longest_wait_ms),
        policy.wasted_cache_fraction,
        policy.prefix_hit_fraction,
        policy.completed,
        policy.refused,
        policy.failed,
        policy.abandoned,
        policy.goodput_per_second,
        to_seconds(policy.longest_refusal_ms),
        policy.fetches,
        policy.offloads,
        policy.host_peak_tokens as f64 / 1e6,
    );
}

fn write_sweep_row(text: &mut String, point: &LoadPoint) {
    let _ = writeln!(
        text,
        "{:<14} {:>5.2} {:>8.1} {:>8.1} {:>8.2} {:>8.2} {:>8.3} {:>6.3} {:>6.3} {:>6} {:>6}",
        point.policy,
        point.load,
        to_seconds(point.program_latency_p95_ms),
        to_seconds(point.program_latency_mean_ms),
        to_seconds(point.without_pauses_p95_ms),
        to_seconds(point.without_pauses_mean_ms),
        point.goodput_per_second,
        point.wasted_cache_fraction,
        point.prefix_hit_fraction,
        point.refused,
        point.failed,
    );
}

fn to_seconds(millis: f64) -> f64 {
    millis / 1000.0
}
