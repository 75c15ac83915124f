//! The engine and its adapter over loopback sockets: answers, fences, cancel, release, cache.

mod support;

use dahlia_adapters::engine::{
    AfterHold, AttemptState, EngineOrder, EngineRefusal, EngineRole, ExportRequest, FencedOrder,
    GenerateEvent, HoldRequest, ImportRequest, ReleaseRequest, ReleaseScope, StopReason,
};
use dahlia_adapters::{Certainty, EngineClient, EngineError};
use dahlia_standins::engine::{AnswerText, EngineObservation, answer_length, count_message};
use dahlia_types::{
    CallId, ChainId, Duration, Generation, Incarnation, Message, ModelId, Role, Term, Tokens,
};
use support::{
    attempt_of, engine, engine_client, engine_observations, patient, program, read_all, read_some,
    request, user, within,
};

fn refusal<T>(result: Result<T, EngineError>) -> EngineRefusal {
    match result {
        Err(EngineError::Refused { refusal, .. }) => refusal,
        Err(error) => panic!("not a refusal: {error}"),
        Ok(_) => panic!("not refused"),
    }
}

async fn wait_for_state(
    client: &EngineClient,
    program_number: u64,
    wanted: impl Fn(&AttemptState) -> bool,
) -> AttemptState {
    let polling = async {
        loop {
            let state = client.attempt(attempt_of(program(program_number))).await.expect("state");
            if wanted(&state) {
                return state;
            }
            tokio::task::yield_now().await;
        }
    };
    within("a state of an attempt", polling).await
}

#[tokio::test]
async fn an_answer_is_whole_and_belongs_to_its_prompt() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let request = request(&client, program(7), "Code 31 [[tokens=40]]").await;
    let answer = read_all(client.generate(&request).await.expect("accepted")).await;
    let answer = answer.expect("whole");
    let expected = AnswerText::new(request.attempt.id.call, &request.messages);
    assert_eq!(answer.text, expected.piece(0, answer_length(Tokens(40))));
    insta::assert_snapshot!(&answer.text[..40], @"[p-1-0000000000000007/0/1 0d6cb9b1] qomy");
    assert_eq!(answer.stop, StopReason::End);
    assert_eq!(answer.usage.generated, Tokens(40));
    assert_eq!(answer.usage.prompt, count_message(&request.messages[0]));
}

#[tokio::test]
async fn an_answer_ends_at_the_cap() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let mut request = request(&client, program(1), "go on [[tokens=400]]").await;
    request.max_generated = Tokens(10);
    let answer = read_all(client.generate(&request).await.expect("accepted")).await;
    let answer = answer.expect("whole");
    assert_eq!((answer.stop, answer.usage.generated), (StopReason::Length, Tokens(10)));
}

#[tokio::test]
async fn a_stream_continues_from_an_offset_without_loss_or_doubling() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let request = request(&client, program(1), "[[tokens=200]]").await;
    let mut stream = client.generate(&request).await.expect("accepted");
    let mut text = read_some(&mut stream).await;
    text.push_str(&read_some(&mut stream).await);
    let offset = stream.next_offset();
    assert_eq!(offset, text.len() as u64);
    drop(stream);
    let rest = client.resume(request.attempt.id, offset).await.expect("known");
    text.push_str(&read_all(rest).await.expect("whole").text);
    let again = client.resume(request.attempt.id, 0).await.expect("known");
    assert_eq!(read_all(again).await.expect("whole").text, text);
    let beyond = client.resume(request.attempt.id, 1_000_000).await;
    assert!(matches!(refusal(beyond), EngineRefusal::OffsetBeyondAnswer { .. }));
}

#[tokio::test]
async fn the_same_attempt_is_not_run_twice() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let request = request(&client, program(1), "once [[tokens=5]]").await;
    read_all(client.generate(&request).await.expect("accepted")).await.expect("whole");
    let error = client.generate(&request).await.err().expect("refused");
    assert_eq!(error.certainty(), Certainty::Unknown, "the attempt did run");
    assert!(matches!(error.refusal(), Some(EngineRefusal::AttemptExists { .. })), "{error}");
    let seen = engine_observations(&server).await;
    let starts = seen.iter().filter(|event| matches!(event, EngineObservation::Started { .. }));
    assert_eq!(starts.count(), 1);
}

#[tokio::test]
async fn refusals_are_certain_and_name_their_cause() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let good = request(&client, program(1), "hello").await;
    let mut other_life = good.clone();
    other_life.attempt.engine_incarnation = Incarnation(1);
    let mut too_long = good.clone();
    too_long.prompt_bound = Tokens(5);
    let mut not_loaded = good.clone();
    not_loaded.model = ModelId::new("unknown@1");
    let mut stale = good.clone();
    stale.attempt.epoch = Term(2);
    client.fence(program(1), Term(3)).await.expect("fenced");
    let mut refusals = Vec::new();
    for request in [&other_life, &too_long, &not_loaded, &stale] {
        let error = client.generate(request).await.err().expect("refused");
        assert_eq!(error.certainty(), Certainty::NotRun, "{error}");
        refusals.push(error.refusal().expect("typed").clone());
    }
    let [EngineRefusal::OtherIncarnation { .. }, too_long, not_loaded, stale] = &refusals[..]
    else {
        panic!("{refusals:?}")
    };
    // The fence comes before what the prompt says.
    assert!(matches!(too_long, EngineRefusal::StaleEpoch { .. }), "{too_long}");
    assert!(matches!(not_loaded, EngineRefusal::StaleEpoch { .. }), "{not_loaded}");
    insta::assert_snapshot!(stale, @"epoch 2 of p-1-0000000000000001 is older than 3");
    let seen = engine_observations(&server).await;
    assert!(!seen.iter().any(|event| matches!(event, EngineObservation::Accepted { .. })));
}

#[tokio::test]
async fn a_prompt_over_its_bound_and_a_missing_model_are_refused() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let mut too_long = request(&client, program(1), "hello").await;
    too_long.prompt_bound = Tokens(5);
    let mut not_loaded = request(&client, program(2), "hello").await;
    not_loaded.model = ModelId::new("unknown@1");
    let too_long = refusal(client.generate(&too_long).await);
    let not_loaded = refusal(client.generate(&not_loaded).await);
    insta::assert_snapshot!(too_long, @"the prompt has 6 tokens and at most 5 tokens are allowed");
    insta::assert_snapshot!(not_loaded, @"model unknown@1 is not loaded");
}

#[tokio::test]
async fn what_no_model_could_run_is_refused_by_field() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let mut uncapped = request(&client, program(1), "hello").await;
    uncapped.max_generated = Tokens(0);
    let mut silent = request(&client, program(1), "hello").await;
    silent.messages.clear();
    let uncapped = refusal(client.generate(&uncapped).await);
    let silent = refusal(client.generate(&silent).await);
    insta::assert_snapshot!(uncapped, @"`max_generated` is not acceptable: must be at least 1");
    insta::assert_snapshot!(silent, @"`messages` is not acceptable: must not be empty");
}

#[tokio::test]
async fn cancel_before_arrival_keeps_the_attempt_from_ever_starting() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let request = request(&client, program(1), "late").await;
    let attempt = request.attempt.id;
    assert_eq!(client.attempt(attempt).await.expect("state"), AttemptState::Unseen);
    let cancelled = client.cancel(attempt, Term(1)).await.expect("cancelled");
    assert_eq!(cancelled, AttemptState::NeverStarted);
    let late = refusal(client.generate(&request).await);
    assert_eq!(late, EngineRefusal::NeverStarts { attempt });
    assert_eq!(client.attempt(attempt).await.expect("state"), AttemptState::NeverStarted);
}

#[tokio::test]
async fn cancel_of_a_running_attempt_tells_what_it_used_and_ends_its_stream() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let request = request(&client, program(1), "[[tokens=100000]]").await;
    let mut stream = client.generate(&request).await.expect("accepted");
    read_some(&mut stream).await;
    let cancelled = client.cancel(request.attempt.id, Term(1)).await.expect("cancelled");
    let AttemptState::Finished { usage, stop: StopReason::Cancelled } = cancelled else {
        panic!("{cancelled:?}")
    };
    assert!(usage.generated >= Tokens(1) && usage.generated < Tokens(100_000), "{usage:?}");
    let ended = read_all(stream).await.expect("a last event");
    assert_eq!((ended.usage, ended.stop), (usage, StopReason::Cancelled));
    let again = client.cancel(request.attempt.id, Term(1)).await.expect("the same answer");
    assert_eq!(again, cancelled);
    let stale = refusal(client.cancel(request.attempt.id, Term(0)).await);
    assert!(matches!(stale, EngineRefusal::StaleEpoch { .. }), "{stale}");
}

#[tokio::test]
async fn a_queued_attempt_that_is_recalled_never_starts_and_a_running_one_goes_on() {
    let server = engine(|settings| settings.parameters.max_batch = 1).await;
    let client = engine_client(&server, patient());
    let first = request(&client, program(1), "[[tokens=100000]]").await;
    let second = request(&client, program(2), "waits").await;
    let mut running = client.generate(&first).await.expect("accepted");
    read_some(&mut running).await;
    let mut waiting = client.generate(&second).await.expect("accepted");
    assert_eq!(client.attempt(second.attempt.id).await.expect("state"), AttemptState::Queued);
    let left_alone = client.recall(first.attempt.id, Term(1)).await.expect("answered");
    assert!(matches!(left_alone, AttemptState::Running { .. }), "{left_alone:?}");
    let recalled = client.recall(second.attempt.id, Term(1)).await.expect("recalled");
    assert_eq!(recalled, AttemptState::NeverStarted);
    let mut last = None;
    while let Some(event) = within("the end of the stream", waiting.next()).await {
        last = Some(event.expect("no error"));
    }
    assert_eq!(last, Some(GenerateEvent::NeverStarted));
}

#[tokio::test]
async fn a_hanging_attempt_goes_silent_and_can_be_cancelled() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let mut request = request(&client, program(1), "[[hang]]").await;
    request.max_generated = Tokens(20);
    let _stream = client.generate(&request).await.expect("accepted");
    let silent = |state: &AttemptState| matches!(state, AttemptState::Running { generated } if *generated == Tokens(8));
    wait_for_state(&client, 1, silent).await;
    let cancelled = client.cancel(request.attempt.id, Term(1)).await.expect("cancelled");
    let AttemptState::Finished { usage, stop } = cancelled else { panic!("{cancelled:?}") };
    assert_eq!((usage.generated, stop), (Tokens(8), StopReason::Cancelled));
}

#[tokio::test]
async fn release_frees_everything_and_ends_the_program_here() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let first = request(&client, program(1), "hold this [[tokens=50]]").await;
    read_all(client.generate(&first).await.expect("accepted")).await.expect("whole");
    let held = client.inventory().await.expect("inventory");
    assert_eq!(held.entries.iter().map(|entry| entry.program).collect::<Vec<_>>(), [program(1)]);
    let mut second = first.clone();
    second.attempt.id.call.number = 2;
    second.messages.push(user("go on [[tokens=100000]]"));
    second.prompt_bound = Tokens(1_000);
    let mut running = client.generate(&second).await.expect("accepted");
    read_some(&mut running).await;
    let cache = ReleaseRequest { program: program(1), epoch: Term(1), scope: ReleaseScope::Cache };
    let in_use = refusal(client.release(&cache).await);
    assert_eq!(in_use, EngineRefusal::InUse { program: program(1) });
    let ended = ReleaseRequest { scope: ReleaseScope::Ended, ..cache };
    let released = client.release(&ended).await.expect("released");
    assert_eq!(released.incarnation, held.incarnation);
    assert!(released.freed.0 > 0);
    assert_eq!(read_all(running).await.expect("a last event").stop, StopReason::Cancelled);
    assert_eq!(client.inventory().await.expect("inventory").entries, []);
    // Load reports lag by design, so the figure is waited for.
    let freed = async {
        loop {
            let load = client.load().await.expect("load");
            if (load.kv_used, load.kv_pinned) == (Tokens(0), Tokens(0)) {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    within("a report without memory in use", freed).await;
    let mut third = second.clone();
    third.attempt.id.call.number = 3;
    let late = refusal(client.generate(&third).await);
    assert_eq!(late, EngineRefusal::ProgramEnded { program: program(1) });
    let again = client.release(&ended).await.expect("repeating is harmless");
    assert_eq!(again.freed.0, 0);
}

#[tokio::test]
async fn the_next_turn_finds_prompt_and_answer_in_the_cache() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let first = request(&client, program(1), "first turn [[tokens=100]]").await;
    let answer = read_all(client.generate(&first).await.expect("accepted")).await.expect("whole");
    let mut second = first.clone();
    second.attempt.id.call.number = 2;
    second.messages.push(Message { role: Role::Assistant, content: answer.text });
    second.messages.push(user("second turn [[tokens=5]]"));
    second.prompt_bound = Tokens(1_000);
    let cached = answer.usage.total();
    let second_answer = read_all(client.generate(&second).await.expect("accepted")).await;
    assert_eq!(second_answer.expect("whole").usage.cached, cached);
    let mut other_tenant = second.clone();
    other_tenant.attempt.id = attempt_of(program(2));
    other_tenant.tenant = dahlia_types::TenantId::new("solano");
    let other = read_all(client.generate(&other_tenant).await.expect("accepted")).await;
    assert_eq!(other.expect("whole").usage.cached, Tokens(0), "no cache crosses tenants");
}

#[tokio::test]
async fn a_hold_lapses_at_the_engine_and_frees_the_cache() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let first = request(&client, program(1), "pause [[tokens=20]]").await;
    read_all(client.generate(&first).await.expect("accepted")).await.expect("whole");
    let hold = HoldRequest {
        program: program(1),
        epoch: Term(1),
        length: Duration::from_millis(100),
        after: AfterHold::Free,
    };
    client.hold(&hold).await.expect("held");
    let lapsed = async {
        while !client.inventory().await.expect("inventory").entries.is_empty() {
            tokio::task::yield_now().await;
        }
    };
    within("the end of the hold", lapsed).await;
    let seen = engine_observations(&server).await;
    assert!(seen.iter().any(|event| matches!(event, EngineObservation::HoldLapsed { .. })));
}

#[tokio::test]
async fn a_prefix_moves_to_another_engine() {
    let source = engine(|settings| settings.engine = dahlia_types::EngineId::new("source")).await;
    let target = engine(|settings| settings.engine = dahlia_types::EngineId::new("target")).await;
    let from = engine_client(&source, patient());
    let to = engine_client(&target, patient());
    let first = request(&from, program(1), "move me [[tokens=60]]").await;
    let answer = read_all(from.generate(&first).await.expect("accepted")).await.expect("whole");
    let mut messages = first.messages.clone();
    messages.push(Message { role: Role::Assistant, content: answer.text });
    let export = ExportRequest {
        program: program(1),
        epoch: Term(1),
        tenant: first.tenant.clone(),
        model: first.model.clone(),
        messages: messages.clone(),
    };
    let image = from.export(&export).await.expect("exported");
    assert_eq!(image.tokens, answer.usage.total());
    let import = ImportRequest { epoch: Term(1), image: image.clone() };
    let imported = to.import(&import).await.expect("imported");
    assert_eq!(imported.tokens, image.tokens);
    let mut next = request(&to, program(1), "").await;
    messages.push(user("and on [[tokens=5]]"));
    next.messages = messages;
    next.prompt_bound = Tokens(1_000);
    let moved = read_all(to.generate(&next).await.expect("accepted")).await.expect("whole");
    assert_eq!(moved.usage.cached, image.tokens);
}

#[tokio::test]
async fn orders_are_fenced_by_generation() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let model = ModelId::new("agent-8b/new@2");
    let load =
        FencedOrder { generation: Generation(5), order: EngineOrder::LoadModel(model.clone()) };
    client.order(&load).await.expect("accepted");
    let ready = async {
        loop {
            let report = client.load().await.expect("load");
            if report.models.iter().any(|status| status.model == model) {
                return report;
            }
            tokio::task::yield_now().await;
        }
    };
    assert_eq!(within("the model is ready", ready).await.generation, Generation(5));
    let stale =
        FencedOrder { generation: Generation(4), order: EngineOrder::UnloadModel(model.clone()) };
    let refused = refusal(client.order(&stale).await);
    insta::assert_snapshot!(refused, @"generation 4 is older than 5");
    let drain = FencedOrder {
        generation: Generation(6),
        order: EngineOrder::SetRole(EngineRole::Draining),
    };
    client.order(&drain).await.expect("accepted");
    let request = request(&client, program(1), "new work").await;
    assert_eq!(refusal(client.generate(&request).await), EngineRefusal::Leaving);
}

#[tokio::test]
async fn many_programs_at_once_get_their_own_answers() {
    let server = engine(|_| {}).await;
    let client = engine_client(&server, patient());
    let incarnation = client.load().await.expect("load").incarnation;
    let calls = (0..40).map(|number| {
        let client = client.clone();
        async move {
            let text = format!("call {number} [[tokens={}]]", 20 + number);
            let request = support::request_for(incarnation, program(number), &text);
            let answer = read_all(client.generate(&request).await.expect("accepted")).await;
            let expected = AnswerText::new(request.attempt.id.call, &request.messages);
            let text = answer.expect("whole").text;
            assert_eq!(text, expected.piece(0, answer_length(Tokens(20 + number))));
        }
    });
    futures::future::join_all(calls).await;
}

#[test]
fn the_answers_length_is_the_inverse_of_the_count() {
    for tokens in 5..200 {
        let call = CallId { program: program(1), chain: ChainId(0), number: 1 };
        let content = AnswerText::new(call, &[]).piece(0, answer_length(Tokens(tokens)));
        let message = Message { role: Role::Assistant, content };
        assert_eq!(count_message(&message), Tokens(tokens));
    }
    let first: Vec<u64> = (0..8).map(|tokens| answer_length(Tokens(tokens))).collect();
    assert_eq!(first, [0, 1, 2, 3, 4, 4, 8, 12]);
}
