//! Each fault of the engine over loopback sockets, and what the adapter makes of it.

mod support;

use dahlia_adapters::engine::{AttemptState, CacheEvent, EngineRefusal, GenerateEvent, StopReason};
use dahlia_adapters::{Certainty, ClientSettings, EngineClient, EngineError, TransportError};
use dahlia_standins::control::Nothing;
use dahlia_standins::engine::{AnswerText, EngineFaults, EngineObservation, StreamCut};
use dahlia_types::{Incarnation, Term, Tokens};
use serde_json::Value;
use support::{
    control, engine, engine_client, engine_observations, impatient, patient, program, read_all,
    read_some, request, set_engine_faults, within,
};

fn transport(error: &EngineError) -> &TransportError {
    match error {
        EngineError::Transport { error } => error,
        other => panic!("not a transport error: {other}"),
    }
}

/// Waits until the engine has ended an attempt; gives the tokens it generated.
async fn wait_for_end(client: &EngineClient, number: u64) -> Tokens {
    let ended = async {
        loop {
            let attempt = support::attempt_of(program(number));
            if let AttemptState::Finished { usage, .. } =
                client.attempt(attempt).await.expect("state")
            {
                return usage.generated;
            }
            tokio::task::yield_now().await;
        }
    };
    within("the end of the attempt", ended).await
}

#[tokio::test]
async fn a_dead_engine_is_certainly_not_run() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let request = request(&client, program(1), "hello").await;
    server.shutdown().await;
    let error = client.generate(&request).await.err().expect("nobody listens");
    assert!(matches!(transport(&error), TransportError::Connect { .. }), "{error}");
    assert_eq!(error.certainty(), Certainty::NotRun);
}

#[tokio::test]
async fn an_engine_that_dies_in_mid_stream_leaves_the_outcome_unknown() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let request = request(&client, program(1), "[[tokens=100000]]").await;
    let mut stream = client.generate(&request).await.expect("accepted");
    read_some(&mut stream).await;
    server.shutdown().await;
    let (_, error) = read_all(stream).await.expect_err("the engine died");
    assert!(matches!(transport(&error), TransportError::Broken { .. }), "{error}");
    assert_eq!(error.certainty(), Certainty::Unknown);
}

#[tokio::test]
async fn a_broken_stream_is_unknown_and_resumes_where_it_broke() {
    for clean in [false, true] {
        let server = engine(|_| {}).await;
        let client = engine_client(&server, patient());
        let cut = StreamCut { after_bytes: 40, clean };
        let faults = EngineFaults { cut_streams: Some(cut), ..Default::default() };
        set_engine_faults(&server, faults).await;
        let request = request(&client, program(1), "[[tokens=60]]").await;
        let stream = client.generate(&request).await.expect("accepted");
        let (begun, error) = read_all(stream).await.expect_err("the stream breaks");
        match transport(&error) {
            TransportError::Truncated { .. } => assert!(clean, "{error}"),
            TransportError::Broken { .. } => assert!(!clean, "{error}"),
            other => panic!("{other}"),
        }
        assert_eq!(error.certainty(), Certainty::Unknown);
        set_engine_faults(&server, EngineFaults::default()).await;
        let rest = client.resume(request.attempt.id, begun.len() as u64).await.expect("known");
        let rest = read_all(rest).await.expect("whole");
        let expected = AnswerText::new(request.attempt.id.call, &request.messages);
        let whole = dahlia_standins::engine::answer_length(Tokens(60));
        assert_eq!(begun + &rest.text, expected.piece(0, whole));
        assert_eq!(rest.stop, StopReason::End);
    }
}

#[tokio::test]
async fn a_lost_answer_to_generate_is_unknown_and_the_attempt_runs() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let request = request(&client, program(1), "[[tokens=30]]").await;
    set_engine_faults(&server, EngineFaults { lose_replies: 1, ..Default::default() }).await;
    let error = client.generate(&request).await.err().expect("the answer is lost");
    assert_eq!(error.certainty(), Certainty::Unknown, "{error}");
    assert_eq!(wait_for_end(&client, 1).await, Tokens(30));
}

#[tokio::test]
async fn a_frozen_engine_times_out_as_unknown_and_goes_on_when_it_wakes() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let hurried = engine_client(&server, impatient());
    let running = request(&client, program(1), "[[tokens=3000]]").await;
    let waiting = request(&client, program(2), "[[tokens=10]]").await;
    let watchful = engine_client(&server, ClientSettings { idle_timeout_ms: 1_500, ..patient() });
    let mut stream = watchful.generate(&running).await.expect("accepted");
    read_some(&mut stream).await;
    set_engine_faults(&server, EngineFaults { frozen: true, ..Default::default() }).await;
    let (_, silent) = read_all(stream).await.expect_err("no sign of life");
    assert!(matches!(transport(&silent), TransportError::IdleTimeout { .. }), "{silent}");
    let unanswered = hurried.generate(&waiting).await.err().expect("no answer");
    assert!(matches!(transport(&unanswered), TransportError::ResponseTimeout { .. }));
    assert_eq!(unanswered.certainty(), Certainty::Unknown);
    set_engine_faults(&server, EngineFaults::default()).await;
    assert_eq!(wait_for_end(&client, 1).await, Tokens(3_000));
    // The engine takes the request that waited at its door: only a cancel says what came of it.
    let state = client.cancel(waiting.attempt.id, Term(1)).await.expect("cancelled");
    match state {
        AttemptState::NeverStarted => {
            let late = client.generate(&waiting).await.err().expect("never starts");
            assert_eq!(late.certainty(), Certainty::NotRun);
        }
        AttemptState::Finished { .. } => {}
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn late_answers_keep_their_attempt() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let hurried = engine_client(&server, impatient());
    let first = request(&client, program(1), "first [[tokens=30]]").await;
    let second = request(&client, program(2), "second [[tokens=30]]").await;
    set_engine_faults(&server, EngineFaults { answer_delay_ms: 1_000, ..Default::default() }).await;
    let late = hurried.generate(&first).await.err().expect("the answer is late");
    assert_eq!(late.certainty(), Certainty::Unknown);
    set_engine_faults(&server, EngineFaults::default()).await;
    let answer = read_all(client.generate(&second).await.expect("accepted")).await.expect("whole");
    assert!(answer.text.starts_with("[p-1-0000000000000002/0/1 "), "{}", answer.text);
    let resumed = client.resume(first.attempt.id, 0).await.expect("known");
    let answer = read_all(resumed).await.expect("whole");
    assert!(answer.text.starts_with("[p-1-0000000000000001/0/1 "), "{}", answer.text);
}

#[tokio::test]
async fn crossed_answers_are_noticed() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let first = request(&client, program(1), "[[tokens=100000]]").await;
    let second = request(&client, program(2), "[[tokens=100000]]").await;
    let mut first_stream = client.generate(&first).await.expect("accepted");
    read_some(&mut first_stream).await;
    set_engine_faults(&server, EngineFaults { cross_streams: true, ..Default::default() }).await;
    let stream = client.generate(&second).await.expect("accepted");
    let (text, error) = read_all(stream).await.expect_err("the text is another's");
    assert_eq!(text, "", "nothing of another's answer is given out");
    let EngineError::WrongAttempt { expected, actual, .. } = &error else { panic!("{error}") };
    assert_eq!((*expected, *actual), (second.attempt.id, first.attempt.id));
    assert_eq!(error.certainty(), Certainty::Unknown);
}

#[tokio::test]
async fn a_leaving_engine_says_so_and_takes_no_new_work() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let running = request(&client, program(1), "[[tokens=500]]").await;
    let late = request(&client, program(2), "too late").await;
    let stream = client.generate(&running).await.expect("accepted");
    set_engine_faults(&server, EngineFaults { leaving: true, ..Default::default() }).await;
    let error = client.generate(&late).await.err().expect("refused");
    assert_eq!(error.refusal(), Some(&EngineRefusal::Leaving));
    assert_eq!(error.certainty(), Certainty::NotRun);
    let answer = read_all(stream).await.expect("work in progress is not cut");
    assert_eq!(answer.usage.generated, Tokens(500));
    let said = async {
        while !client.load().await.expect("load").leaving {
            tokio::task::yield_now().await;
        }
    };
    within("the load report that says so", said).await;
}

#[tokio::test]
async fn an_overloaded_engine_refuses_at_once_with_a_time_to_come_back() {
    let small = |settings: &mut dahlia_standins::EngineSettings| {
        settings.parameters.max_batch = 1;
        settings.parameters.max_waiting = 1;
    };
    let server = engine(small).await;
    let client = engine_client(&server, patient());
    let first = request(&client, program(1), "[[tokens=100000]]").await;
    let second = request(&client, program(2), "[[tokens=100000]]").await;
    let third = request(&client, program(3), "one too many").await;
    let mut running = client.generate(&first).await.expect("accepted");
    read_some(&mut running).await;
    let _waiting = client.generate(&second).await.expect("accepted");
    let error = client.generate(&third).await.err().expect("refused");
    let Some(EngineRefusal::Overloaded { queued, retry_after }) = error.refusal() else {
        panic!("{error}")
    };
    assert_eq!(*queued, 1);
    assert!(retry_after.as_millis() >= 100, "{retry_after:?}");
}

#[tokio::test]
async fn a_new_life_forgets_everything_and_refuses_work_for_the_old_one() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let request = request(&client, program(1), "[[tokens=100000]]").await;
    let mut stream = client.generate(&request).await.expect("accepted");
    read_some(&mut stream).await;
    let restarted: Value = control(server.address(), "restart", &Nothing {}).await;
    let new_life = Incarnation(restarted["incarnation"].as_u64().expect("a number"));
    assert!(new_life > request.attempt.engine_incarnation);
    read_all(stream).await.expect_err("the old life is gone");
    assert_eq!(client.attempt(request.attempt.id).await.expect("state"), AttemptState::Unseen);
    assert_eq!(client.inventory().await.expect("inventory").entries, []);
    let error = client.generate(&request).await.err().expect("refused");
    let expected = request.attempt.engine_incarnation;
    let refusal = EngineRefusal::OtherIncarnation { expected, actual: new_life };
    assert_eq!(error.refusal(), Some(&refusal));
    let lives = engine_observations(&server).await;
    let lives = lives.iter().filter(|seen| matches!(seen, EngineObservation::LifeBegan { .. }));
    assert_eq!(lives.count(), 2);
}

#[tokio::test]
async fn cache_events_have_gaps_that_the_sequence_shows() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    for number in 1..=6 {
        let request = request(&client, program(number), "fill [[tokens=5]]").await;
        read_all(client.generate(&request).await.expect("accepted")).await.expect("whole");
    }
    let whole = client.cache_events(0).await.expect("events").events;
    let sequences: Vec<u64> = whole.iter().map(|event| event.sequence).collect();
    assert_eq!(sequences, (1..=whole.len() as u64).collect::<Vec<_>>());
    let inventory = client.inventory().await.expect("inventory");
    assert_eq!(inventory.sequence, whole.len() as u64);
    for entry in inventory.entries {
        let last = whole.iter().rev().find(|event| event.program == entry.program);
        assert_eq!(last.map(|event| event.resident), Some(entry.tokens));
    }
    set_engine_faults(&server, EngineFaults { cache_event_gap: 3, ..Default::default() }).await;
    let gapped = client.cache_events(0).await.expect("events").events;
    let expected: Vec<CacheEvent> =
        whole.into_iter().filter(|event| event.sequence % 3 != 0).collect();
    assert_eq!(gapped, expected);
    let late = EngineFaults { cache_event_delay_ms: 3_600_000, ..Default::default() };
    set_engine_faults(&server, late).await;
    assert_eq!(client.cache_events(0).await.expect("events").events, []);
}

#[tokio::test]
async fn load_reports_lag_and_tell_their_age() {
    let server = engine(|settings| settings.load_report_interval_ms = 1).await;
    let client = engine_client(&server, patient());
    let delay = EngineFaults { load_report_delay_ms: 3_600_000, ..Default::default() };
    set_engine_faults(&server, delay).await;
    let before = client.load().await.expect("load");
    let request = request(&client, program(1), "[[tokens=100000]]").await;
    let mut stream = client.generate(&request).await.expect("accepted");
    read_some(&mut stream).await;
    let lagging = client.load().await.expect("load");
    assert_eq!((lagging.running, lagging.accepted), (0, 0), "the report is from before");
    assert_eq!(lagging.at, before.at);
    assert!(lagging.age > before.age);
    set_engine_faults(&server, EngineFaults::default()).await;
    let current = async {
        while client.load().await.expect("load").accepted == 0 {
            tokio::task::yield_now().await;
        }
    };
    within("a fresh report", current).await;
}

#[tokio::test]
async fn a_waiting_stream_shows_signs_of_life() {
    let quick = |settings: &mut dahlia_standins::EngineSettings| {
        settings.alive_interval_ms = 5;
        settings.parameters.max_batch = 1;
    };
    let server = engine(quick).await;
    let client = engine_client(&server, patient());
    let first = request(&client, program(1), "[[tokens=100000]]").await;
    let second = request(&client, program(2), "waits").await;
    let mut running = client.generate(&first).await.expect("accepted");
    read_some(&mut running).await;
    let mut waiting = client.generate(&second).await.expect("accepted");
    let mut seen = Vec::new();
    for _ in 0..3 {
        seen.push(within("a sign of life", waiting.next()).await.expect("goes on").expect("event"));
    }
    let incarnation = second.attempt.engine_incarnation;
    let expected =
        [GenerateEvent::Accepted { incarnation }, GenerateEvent::Alive, GenerateEvent::Alive];
    assert_eq!(seen, expected);
}
