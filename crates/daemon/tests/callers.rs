//! HTTP for callers over real sockets: whole and streamed answers, history, order and keys.

mod support;

use async_openai::Client as OpenAiClient;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequestArgs,
};
use dahlia_api::headers;
use dahlia_standins::engine::AnswerText;
use dahlia_types::{AttemptId, Message, Role};
use futures::StreamExt;
use serde_json::json;
use support::{Plan, System, TENANT, credential, send, streamed, whole};

/// The header of an answer, which identifies its call and its prompt.
fn answer_header(call: &str, messages: &[(Role, &str)]) -> String {
    let attempt: AttemptId = format!("{call}/1").parse().expect("a call");
    let message =
        |(role, content): &(Role, &str)| Message { role: *role, content: (*content).into() };
    let messages: Vec<Message> = messages.iter().map(message).collect();
    AnswerText::new(attempt.call, &messages).header().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer_belongs_to_its_call_and_prompt() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    let reply = send(system.chat(0, &program, &whole("Fault code 31", 24))).await;
    assert_eq!(reply.call(), format!("{program}/0/1"));
    let expected = answer_header(&reply.call(), &[(Role::User, "Fault code 31")]);
    assert!(reply.content().starts_with(&expected), "{} / {expected}", reply.content());
    let body = reply.json();
    assert_eq!(body["object"], json!("chat.completion"));
    assert_eq!(body["choices"][0]["finish_reason"], json!("stop"));
    assert_eq!(body["usage"]["completion_tokens"], json!(24));
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer_comes_in_events_with_positions() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    let reply = send(system.chat(0, &program, &streamed("Fault code 31", 24))).await;
    let text = reply.streamed_text();
    let expected = answer_header(&reply.call(), &[(Role::User, "Fault code 31")]);
    assert!(text.starts_with(&expected), "{text}");
    let events = reply.events();
    let positions: Vec<&str> = events.iter().filter_map(|event| event.id.as_deref()).collect();
    let last = *positions.last().expect("pieces have positions");
    // Attempt 0 is the outcome, in case it was available before any piece was read.
    let of_attempt = |attempt: u32| format!("0/1/{attempt}/{}", text.len());
    assert!(last == of_attempt(1) || last == of_attempt(0), "{last}");
    assert!(events[0].data.contains(r#""role":"assistant""#), "{:?}", events[0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn unmodified_openai_client_streams_a_turn() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    let config = OpenAIConfig::new()
        .with_api_base(system.url(0, "/v1"))
        .with_api_key(credential(TENANT))
        .with_header(headers::PROGRAM, program.as_str())
        .expect("a valid header");
    let client = OpenAiClient::with_config(config);
    let message = ChatCompletionRequestUserMessageArgs::default().content("Fault code 31").build();
    let request = CreateChatCompletionRequestArgs::default()
        .model(support::MODEL)
        .max_completion_tokens(24_u32)
        .messages([message.expect("a message").into()])
        .build()
        .expect("a request");
    let mut stream = client.chat().create_stream(request).await.expect("a stream");
    let mut text = String::new();
    while let Some(chunk) = stream.next().await {
        for choice in chunk.expect("a chunk that the library reads").choices {
            text += &choice.delta.content.unwrap_or_default();
        }
    }
    let call = format!("{program}/0/1");
    assert!(text.starts_with(&answer_header(&call, &[(Role::User, "Fault code 31")])), "{text}");
    let read = send(system.read(0, &call, "")).await;
    assert_eq!(text, read.streamed_text());
}

#[tokio::test(flavor = "multi_thread")]
async fn history_is_added_when_only_the_new_message_is_sent() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    let first = system.ask(&program, "Fault code 31").await.content();
    let second = system.ask(&program, "Serial 4711").await;
    let prompt =
        [(Role::User, "Fault code 31"), (Role::Assistant, &*first), (Role::User, "Serial 4711")];
    assert!(second.content().starts_with(&answer_header(&second.call(), &prompt)), "{second:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_conversation_gives_the_same_prompt() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    let first = system.ask(&program, "Fault code 31").await.content();
    let body = json!({"model": "", "max_tokens": 24, "messages": [
        {"role": "user", "content": "Fault code 31"},
        {"role": "assistant", "content": first},
        {"role": "user", "content": "Serial 4711"},
    ]});
    let second = send(system.chat(0, &program, &body)).await;
    let prompt =
        [(Role::User, "Fault code 31"), (Role::Assistant, &*first), (Role::User, "Serial 4711")];
    assert!(second.content().starts_with(&answer_header(&second.call(), &prompt)), "{second:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_one_key_run_once_and_get_one_answer() {
    let system = System::start(Plan { daemons: 2, ..Plan::default() }).await;
    let program = system.program().await;
    let body = whole("Confirm the firmware flash", 16);
    let request = |gateway| {
        send(system.chat(gateway, &program, &body).header(headers::IDEMPOTENCY_KEY, "flash-1"))
    };
    let (one, other) = tokio::join!(request(0), request(1));
    let later = request(1).await;
    assert_eq!(one.content(), other.content());
    assert_eq!(one.content(), later.content());
    assert_eq!(one.call(), later.call());
    assert_eq!(system.accepted().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn retry_by_number_joins_at_another_gateway() {
    let system = System::start(Plan { daemons: 2, ..Plan::default() }).await;
    let program = system.program().await;
    let body = streamed("Fault code 31", 24);
    let request =
        |gateway| send(system.chat(gateway, &program, &body).header(headers::CALL_NUMBER, 1));
    let first = request(0).await.streamed_text();
    let again = request(1).await.streamed_text();
    assert_eq!(first, again);
    assert_eq!(system.accepted().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn program_is_reached_through_every_gateway() {
    let system = System::start(Plan { daemons: 2, ..Plan::default() }).await;
    let program = system.program().await;
    let first = send(system.chat(0, &program, &whole("Fault code 31", 24))).await;
    let second = send(system.chat(1, &program, &whole("Serial 4711", 24))).await;
    assert_eq!(first.call(), format!("{program}/0/1"));
    assert_eq!(second.call(), format!("{program}/0/2"));
    assert_ne!(first.header(headers::SERVED_BY), second.header(headers::SERVED_BY));
    let answer = first.content();
    let prompt =
        [(Role::User, "Fault code 31"), (Role::Assistant, &*answer), (Role::User, "Serial 4711")];
    assert!(second.content().starts_with(&answer_header(&second.call(), &prompt)), "{second:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_is_resumed_at_another_gateway() {
    let system = System::start(Plan { daemons: 2, ..Plan::default() }).await;
    let program = system.program().await;
    let request = system.chat(0, &program, &streamed("Fault code 31", 64));
    let whole_reply = send(request).await;
    let text = whole_reply.streamed_text();
    let call = whole_reply.call();
    let position = whole_reply.events()[0].id.clone().expect("pieces have positions");
    let seen = whole_reply.events()[0].content();

    let by_event = send(system.read(1, &call, "").header("last-event-id", position)).await;
    assert_eq!(seen.clone() + &by_event.streamed_text(), text);
    let by_offset = send(system.read(1, &call, &format!("?offset={}", seen.len()))).await;
    assert_eq!(seen + &by_offset.streamed_text(), text);
    let at_end = send(system.read(1, &call, &format!("?offset={}", text.len()))).await;
    assert_eq!(at_end.streamed_text(), "");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_is_resumed_while_it_is_generated() {
    let system = System::start(Plan { daemons: 2, speed: 2.0, ..Plan::default() }).await;
    let program = system.program().await;
    let first = system.chat(0, &program, &streamed("Fault code 31", 64)).send().await;
    let mut first = first.expect("the gateway answers");
    let piece = first.chunk().await.expect("no break").expect("a first piece");
    drop(first);
    let piece = String::from_utf8(piece.to_vec()).expect("text");
    let position = piece.lines().find_map(|line| line.strip_prefix("id: ")).expect("a position");
    let call = format!("{program}/0/1");
    let rest = send(system.read(1, &call, "").header("last-event-id", position)).await;
    let all = send(system.read(0, &call, "")).await.streamed_text();
    let offset: usize = position.rsplit('/').next().expect("an offset").parse().expect("a number");
    assert_eq!(rest.streamed_text(), all[offset..]);
    assert_eq!(system.accepted().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn sub_agent_branches_off_its_parent() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    let first = system.ask(&program, "Check the warranty").await.content();
    let request = system.chat(0, &program, &whole("Look the serial up", 24));
    let branch = send(request.header(headers::CHAIN, 1).header(headers::PARENT_CHAIN, 0)).await;
    assert_eq!(branch.call(), format!("{program}/1/1"));
    let prompt = [
        (Role::User, "Check the warranty"),
        (Role::Assistant, &*first),
        (Role::User, "Look the serial up"),
    ];
    assert!(branch.content().starts_with(&answer_header(&branch.call(), &prompt)), "{branch:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn ended_program_leaves_no_cache_and_accepts_no_calls() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    system.ask(&program, "Fault code 31").await.content();
    let path = format!("/v1/programs/{program}");
    let close = system.client.delete(system.url(0, &path)).bearer_auth(credential(TENANT));
    assert_eq!(send(close).await.status, reqwest::StatusCode::NO_CONTENT);
    let refused = system.ask(&program, "One more").await;
    assert_eq!(refused.header(headers::ERROR), Some("program_closed"));
    assert_eq!(system.accepted().await.len(), 1);
}
