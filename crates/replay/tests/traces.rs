//! Every trace of the repository holds, and replays to the same verdict.

use std::path::PathBuf;

use dahlia_replay::{ReplayOptions, Switches, run, run_folder, trace};

fn promises() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces/promises")
}

#[test]
fn every_trace_holds_with_three_seeds_and_the_report_names_each() {
    let folder = tempfile::tempdir().expect("a folder");
    let report = folder.path().join("report.json");
    let options = ReplayOptions {
        path: Some(promises()),
        seeds: Some(3),
        report: Some(report.clone()),
        ..ReplayOptions::default()
    };
    let summary = run_folder(&options).expect("the traces are well formed");
    for trace in &summary.traces {
        assert!(trace.failed_seed.is_none(), "{}", trace.line());
    }
    let text = std::fs::read_to_string(report).expect("a report");
    assert!(summary.traces.iter().all(|trace| text.contains(&trace.name)));
    for promise in dahlia_replay::Promise::ALL {
        let traces = summary.traces.iter().filter(|trace| trace.promise == promise);
        assert!(traces.count() > 0, "no trace for {promise}");
    }
}

#[test]
fn traces_read_back_as_they_were_written() {
    for entry in std::fs::read_dir(promises()).expect("a folder") {
        let text = std::fs::read_to_string(entry.expect("an entry").path()).expect("a trace");
        let parsed = trace::parse(&text).expect("well formed");
        assert_eq!(trace::parse(&trace::write(&parsed)).expect("well formed"), parsed);
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let text = std::fs::read_to_string(promises().join("whole-answer-gateway-dies.trace"));
    let parsed = trace::parse(&text.expect("a trace")).expect("well formed");
    let observe = || dahlia_replay::observe(&parsed, 7, &Switches::all_on()).seen;
    assert_eq!(observe(), observe());
}

#[test]
fn a_stated_outcome_that_does_not_come_fails_the_run() {
    let text = "trace name=t promise=history\n\
                6s program name=p1 turns=2\n\
                expect outcome=answered program=p1 least=3\n";
    let parsed = trace::parse(text).expect("well formed");
    let judgement = run(&parsed, 1, &Switches::all_on()).judgement;
    let found: Vec<bool> = judgement.violations.iter().map(|found| found.is_stated).collect();
    assert_eq!(found, [true], "{:?}", judgement.violations);
}

#[test]
fn errors_name_the_line_and_the_field() {
    let cases = [
        "",
        "trace name=t promise=nonsense",
        "trace name=t promise=order\n5s program",
        "trace name=t promise=order\n\n5s kill daemon=x for=1s",
        "trace name=t promise=order\n5s kill daemon=1 for=soon",
        "trace name=t promise=order\n5s kill daemon=1 colour=red",
        "trace name=t promise=order\n5s explode",
        "trace name=t promise=order\ndeployment daemons=0",
        "trace name=t promise=order\ndeployment loss=2",
        "trace name=t promise=order\n5s crash point=nowhere",
        "trace name=t promise=order\n-5s outage",
    ];
    let errors: Vec<String> = cases
        .iter()
        .map(|text| match trace::parse(text) {
            Ok(_) => "no error".to_owned(),
            Err(error) => error.to_string(),
        })
        .collect();
    insta::assert_debug_snapshot!(errors);
}
