//! Snapshots of the JSON on the wire, and checks of the settings.

use dahlia_adapters::ClientSettings;
use dahlia_adapters::engine::{
    AttemptState, EngineOrder, EngineRefusal, FencedOrder, GenerateEvent, GenerateLine,
    GenerateRequest, ReleaseRequest, ReleaseScope, StopReason,
};
use dahlia_adapters::key_value::{CompareAndSwapRequest, KeyValueRefusal, LeaseId, Version};
use dahlia_types::{
    Attempt, AttemptId, Duration, Generation, Incarnation, Message, ModelId, Role, TenantId, Term,
    Tokens, Usage,
};
use serde::Serialize;

fn attempt_id() -> AttemptId {
    "p-12-00f3a1b2c4d5e6f7/0/3/1".parse().expect("well formed")
}

fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("encodes")
}

#[test]
fn generate_request() {
    let request = GenerateRequest {
        attempt: Attempt { id: attempt_id(), epoch: Term(4), engine_incarnation: Incarnation(9) },
        tenant: TenantId::new("bayou"),
        model: ModelId::new("agent-8b/fault-codes@3"),
        messages: vec![Message { role: Role::User, content: "Code 31".to_owned() }],
        prompt_bound: Tokens(6),
        max_generated: Tokens(100),
        priority: 7,
    };
    insta::assert_json_snapshot!(request);
}

#[test]
fn generate_lines() {
    let usage = Usage { prompt: Tokens(6), cached: Tokens(0), generated: Tokens(2) };
    let events = [
        GenerateEvent::Accepted { incarnation: Incarnation(9) },
        GenerateEvent::Started { cached: Tokens(0) },
        GenerateEvent::Alive,
        GenerateEvent::Token { offset: 0, text: "A ".to_owned() },
        GenerateEvent::Finished { usage, stop: StopReason::End },
        GenerateEvent::NeverStarted,
    ];
    let lines: Vec<String> =
        events.map(|event| to_json(&GenerateLine { attempt: attempt_id(), event })).into();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn engine_requests_and_answers() {
    let release = ReleaseRequest {
        program: attempt_id().call.program,
        epoch: Term(4),
        scope: ReleaseScope::Ended,
    };
    let order = FencedOrder {
        generation: Generation(5),
        order: EngineOrder::LoadModel(ModelId::new("agent-8b/base@1")),
    };
    let running = AttemptState::Running { generated: Tokens(3) };
    let overloaded =
        EngineRefusal::Overloaded { queued: 5, retry_after: Duration::from_millis(200) };
    let lines = [to_json(&release), to_json(&order), to_json(&running), to_json(&overloaded)];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn key_value_requests_and_answers() {
    let swap = CompareAndSwapRequest {
        key: "configuration/current".to_owned(),
        expected: Some(Version(3)),
        value: b"\x00\xffbytes".to_vec(),
        lease: Some(LeaseId(1)),
    };
    let conflict = KeyValueRefusal::Conflict { actual: Some(Version(4)) };
    let limited = KeyValueRefusal::RateLimited { retry_after: Duration::from_millis(50) };
    let lines = [to_json(&swap), to_json(&conflict), to_json(&limited)];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn lines_decode_to_what_was_encoded() {
    let line = GenerateLine {
        attempt: attempt_id(),
        event: GenerateEvent::Token { offset: 3, text: "ü\n\"".to_owned() },
    };
    let text = to_json(&line);
    assert!(!text.contains('\n'), "a line has no line break inside: {text}");
    assert_eq!(serde_json::from_str::<GenerateLine>(&text).expect("reads"), line);
    let wrong = text.replace("p-12-", "q-12-");
    assert!(serde_json::from_str::<GenerateLine>(&wrong).is_err());
}

#[test]
fn invalid_settings_are_named_in_errors() {
    ClientSettings::default().check("platform.engine").expect("the defaults are allowed");
    let slow = ClientSettings { connect_timeout_ms: 2_000, ..ClientSettings::default() };
    let error = slow.check("platform.engine").expect_err("connecting may not outlast the answer");
    insta::assert_snapshot!(error, @"setting `platform.engine.connect_timeout_ms` is 2000; allowed: 1 to 1999");
    let none = ClientSettings { idle_timeout_ms: 0, ..ClientSettings::default() };
    let error = none.check("platform.engine").expect_err("the idle timeout must not be 0");
    insta::assert_snapshot!(error, @"setting `platform.engine.idle_timeout_ms` is 0; allowed: 1 to 86400000");
}
