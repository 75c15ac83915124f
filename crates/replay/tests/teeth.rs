//! Without the mechanism that a promise rests on, the checker names that promise. Each case names
//! the trace, or the seeds of schedules, in which the same run holds with the mechanism.

use std::path::PathBuf;

use dahlia_replay::schedules::{FaultCount, draw};
use dahlia_replay::trace::Trace;
use dahlia_replay::{Promise, Switch, Switches, run, trace};

const SEEDS: u64 = 20;

fn load(name: &str) -> Trace {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces/promises");
    let text = std::fs::read_to_string(folder.join(format!("{name}.trace"))).expect("a trace");
    trace::parse(&text).expect("well formed")
}

/// Some seed of the trace breaks the promise without the mechanisms, and holds with them.
fn assert_trace_needs(name: &str, off: &[Switch], promise: Promise) {
    let trace = load(name);
    let without = Switches::without(off);
    let breaks = |seed: &u64| run(&trace, *seed, &without).judgement.breaks(promise);
    let seed = (1..=SEEDS).find(breaks);
    let seed = seed.unwrap_or_else(|| panic!("{name} keeps {promise} without {off:?}"));
    let whole = run(&trace, seed, &Switches::all_on()).judgement;
    assert!(whole.holds(), "{name}, seed {seed}: {:?}", whole.violations);
}

/// Some random schedule breaks the promise without the mechanisms, and holds with them.
fn assert_schedules_need(off: &[Switch], promise: Promise, seeds: std::ops::Range<u64>) {
    let without = Switches::without(off);
    let schedule = |seed: u64| draw(seed, FaultCount::of_seed(seed));
    let breaks = |seed: &u64| run(&schedule(*seed), *seed, &without).judgement.breaks(promise);
    let seed = seeds.clone().find(breaks);
    let seed = seed.unwrap_or_else(|| panic!("{seeds:?} keep {promise} without {off:?}"));
    let whole = run(&schedule(seed), seed, &Switches::all_on()).judgement;
    assert!(whole.holds(), "seed {seed}: {:?}", whole.violations);
}

#[test]
fn order_needs_the_order_gate() {
    assert_trace_needs("order-two-gateways", &[Switch::OrderGate], Promise::Order);
}

#[test]
fn history_needs_the_quorum() {
    assert_schedules_need(&[Switch::QuorumAcknowledgement], Promise::History, 0..60);
}

#[test]
fn history_needs_the_comparison_of_logs() {
    // Of two candidates the one with the earlier log gives way, so that few schedules are left in
    // which the comparison alone decides.
    assert_schedules_need(&[Switch::LogComparison], Promise::History, 0..1_000);
}

#[test]
fn budget_needs_the_reservation() {
    let off = [Switch::Reservation];
    assert_trace_needs("budget-loop-until-exhausted", &off, Promise::Budget);
}

#[test]
fn release_needs_the_obligation() {
    assert_trace_needs("release-owner-dies", &[Switch::Obligation], Promise::Release);
}

#[test]
fn whole_answer_needs_streams_matched_by_attempt() {
    let off = [Switch::StreamMatch];
    assert_trace_needs("whole-answer-gateway-dies", &off, Promise::WholeAnswer);
}

#[test]
fn whole_answer_needs_the_comparison_of_attempts() {
    let off = [Switch::AttemptComparison];
    assert_trace_needs("whole-answer-gateway-dies", &off, Promise::WholeAnswer);
}

#[test]
fn not_run_needs_the_rule_on_attempts_that_may_have_run() {
    assert_schedules_need(&[Switch::NotRunRule], Promise::NotRun, 0..60);
}

#[test]
fn not_run_needs_the_intent_before_the_send() {
    assert_schedules_need(&[Switch::IntentBeforeSend], Promise::NotRun, 0..60);
}

#[test]
fn not_run_needs_the_epoch_or_the_cancel() {
    let off = [Switch::EpochCheck, Switch::CancelBeforeNotRun];
    assert_trace_needs("not-run-paused-before-send", &off, Promise::AtMostOnce);
    let off = [Switch::FenceBeforeEnquiry, Switch::CancelBeforeNotRun];
    assert_trace_needs("not-run-paused-before-send", &off, Promise::AtMostOnce);
}

#[test]
fn at_most_once_needs_the_enquiry() {
    let off = [Switch::Enquiry];
    assert_trace_needs("at-most-once-killed-at-each-step", &off, Promise::AtMostOnce);
}

#[test]
fn at_most_once_needs_its_rule() {
    assert_schedules_need(&[Switch::AtMostOnce], Promise::AtMostOnce, 0..60);
}

#[test]
fn release_needs_the_engines_incarnation() {
    let off = [Switch::EngineIncarnation];
    assert_trace_needs("release-engine-restarts", &off, Promise::Release);
}

#[test]
fn a_leaving_engine_needs_its_reports_to_count() {
    let off = [Switch::LeavingReports];
    assert_trace_needs("leaving-engine-one-way", &off, Promise::LeavingEngine);
}

#[test]
fn a_planned_stop_needs_to_wait() {
    let off = [Switch::DrainWait];
    assert_trace_needs("planned-stop-under-load", &off, Promise::PlannedStop);
}

#[test]
fn configuration_needs_the_generation_check() {
    assert_schedules_need(&[Switch::GenerationCheck], Promise::Configuration, 0..60);
}

#[test]
fn configuration_needs_peers_to_be_asked() {
    let off = [Switch::AskPeers];
    assert_trace_needs("configuration-restart-with-older-data", &off, Promise::Configuration);
}
