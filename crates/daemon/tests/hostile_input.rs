//! Malformed and hostile input: it causes no panic and no large allocation, and gets a clear error.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use dahlia_adapters::engine::GenerateLine;
use dahlia_api::RequestLimits;
use dahlia_api::chat::ChatRequest;
use dahlia_api::validation::{CallHeaders, validate};
use dahlia_daemon::frames::{decode, encode};
use dahlia_daemon::settings::Settings;
use dahlia_node::wire::{
    AnswerFrame, ConnectionPurpose, Hello, PROTOCOL_VERSION, PeerMessage, ReadAnswer,
};
use dahlia_types::{AttemptId, DaemonId, Incarnation, ProgramId, TenantId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::System;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const SEED: u64 = 20_261_202;
const CASES: u32 = 512;
/// Longer than the handshake timeout of a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn bytes() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..600)
}

fn hello(tenant: String, attempt: u32, offset: u64) -> Hello {
    let call = "p-1-0000000000000007/0/1/1".parse::<AttemptId>().expect("well formed").call;
    let read = ReadAnswer { tenant: TenantId::new(tenant), call, attempt, offset };
    Hello {
        version: PROTOCOL_VERSION,
        daemon: DaemonId(1),
        incarnation: Incarnation(7),
        proof: [3; 32],
        purpose: ConnectionPurpose::Answer(read),
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn random_frames_are_decoded_or_refused(frame in bytes()) {
        // Every decoded value can be encoded again.
        if let Ok(message) = decode::<PeerMessage>(&frame, peer()) {
            prop_assert!(encode(&message, peer()).is_ok());
        }
        if let Ok(message) = decode::<AnswerFrame>(&frame, peer()) {
            prop_assert!(encode(&message, peer()).is_ok());
        }
        if let Ok(message) = decode::<Hello>(&frame, peer()) {
            prop_assert!(encode(&message, peer()).is_ok());
        }
    }

    #[test]
    fn frames_round_trip_and_truncated_ones_are_refused(
        tenant in "[a-z]{1,64}", attempt: u32, offset: u64, cut in 1_usize..40,
    ) {
        let value = hello(tenant, attempt, offset);
        let frame = encode(&value, peer()).expect("is written");
        prop_assert_eq!(decode::<Hello>(&frame, peer()).expect("is read"), value);
        let short = &frame[..frame.len() - cut.min(frame.len())];
        prop_assert!(decode::<Hello>(short, peer()).is_err());
    }

    #[test]
    fn frames_with_flipped_bytes_are_decoded_or_refused(
        tenant in "[a-z]{1,64}", position: prop::sample::Index, flip in 1_u8..,
    ) {
        let mut frame = encode(&hello(tenant, 1, 1), peer()).expect("is written").to_vec();
        let position = position.index(frame.len());
        frame[position] ^= flip;
        if let Ok(value) = decode::<Hello>(&frame, peer()) {
            prop_assert!(encode(&value, peer()).is_ok());
        }
    }

    #[test]
    fn chat_bodies_are_validated_or_refused(body in "\\PC{0,300}", role in "\\PC{0,12}") {
        let limits = RequestLimits { message_bytes: 100, messages: 2, ..RequestLimits::default() };
        let quoted = serde_json::to_string(&body).expect("text");
        let role = serde_json::to_string(&role).expect("text");
        let shapes = [
            body.clone(),
            format!(r#"{{"messages": [{{"role": {role}, "content": {quoted}}}]}}"#),
            format!(r#"{{"messages": [{{"role": "user", "content": {quoted}}}]}}"#),
            format!(r#"{{"messages": [{{"role": "user", "content": [{{"type": "text", "text": {quoted}}}]}}]}}"#),
        ];
        for shape in shapes {
            let Ok(chat) = serde_json::from_str::<ChatRequest>(&shape) else { continue };
            let headers =
                CallHeaders { program: Some("p-1-0000000000000007"), ..CallHeaders::default() };
            if let Ok(call) = validate(headers, &chat, &limits) {
                prop_assert!(call.messages.len() <= 2);
                prop_assert!(call.messages.iter().all(|message| message.content.len() <= 100));
            }
        }
    }

    #[test]
    fn headers_are_validated_or_refused(
        program in "\\PC{0,40}", chain in "\\PC{0,12}", number in "[0-9+-]{0,12}", key in "\\PC{0,40}",
    ) {
        let chat: ChatRequest =
            serde_json::from_str(r#"{"messages": [{"role": "user", "content": "x"}]}"#).expect("a body");
        let headers = CallHeaders {
            program: Some(&program),
            chain: Some(&chain),
            parent: None,
            number: Some(&number),
            key: Some(&key),
        };
        let limits = RequestLimits { key_bytes: 16, ..RequestLimits::default() };
        let known = CallHeaders { program: Some("p-1-0000000000000007"), ..headers };
        for headers in [headers, known] {
            match validate(headers, &chat, &limits) {
                Ok(call) => {
                    prop_assert!(call.number.is_some_and(|number| number > 0));
                    prop_assert!(call.key.is_some_and(|key| key.as_str().len() <= 16));
                }
                Err(error) => prop_assert!(error.field.starts_with("x-") || error.field == "idempotency-key"),
            }
        }
    }

    #[test]
    fn identifiers_have_one_form(text in "p-[0-9+]{1,3}-[0-9a-fA+]{16}(/[0-9+]{1,2}/[0-9+]{1,2}/[0-9+]{1,2})?") {
        // Two spellings of one program would be two keys in a caller's own records.
        if let Ok(program) = text.parse::<ProgramId>() {
            prop_assert_eq!(program.to_string(), text.clone());
        }
        if let Ok(attempt) = text.parse::<AttemptId>() {
            prop_assert_eq!(attempt.to_string(), text);
        }
    }

    #[test]
    fn identifiers_round_trip(group: u32, number: u64, chain: u32, call: u32, attempt: u32) {
        let text = format!("p-{group}-{number:016x}/{chain}/{call}/{attempt}");
        prop_assert_eq!(text.parse::<AttemptId>().expect("well formed").to_string(), text);
    }

    #[test]
    fn parsed_random_texts_round_trip(text in "\\PC{0,60}") {
        if let Ok(program) = text.parse::<ProgramId>() {
            prop_assert_eq!(program.to_string(), text);
        }
    }

    #[test]
    fn settings_are_read_or_refused(
        table in "daemon|limits|layout|groups|membership|log|calls",
        field in "[a-z_]{1,20}",
        value in "-?[0-9]{1,20}|\"\\PC{0,20}\"|true|\\[\\]|\\{\\}|\\PC{0,10}",
    ) {
        let text = format!("{SETTINGS}\n[{table}]\n{field} = {value}\n");
        if let Ok(settings) = toml::from_str::<Settings>(&text) {
            let _ = settings.check();
        }
    }

    #[test]
    fn engine_lines_are_read_or_refused(line in bytes(), text in "\\PC{0,80}", offset: u64) {
        prop_assert!(serde_json::from_slice::<GenerateLine>(&line).is_err());
        let quoted = serde_json::to_string(&text).expect("text");
        let line = format!(
            r#"{{"attempt": "p-1-0000000000000007/0/1/1", "event": {{"Token": {{"offset": {offset}, "text": {quoted}}}}}}}"#
        );
        if let Ok(read) = serde_json::from_str::<GenerateLine>(&line) {
            prop_assert_eq!(read.attempt.to_string(), "p-1-0000000000000007/0/1/1");
        }
    }
}

const SETTINGS: &str = r#"
[credentials]
tenant_key = "tenant-key-of-tests"
operator_token = "operator-token-of-tests"
peer_key = "peer-key-of-the-tests"
"#;

#[test]
fn other_spellings_of_an_identifier_are_refused() {
    let spellings = [
        "p-1-00000000000000AB",
        "p-1-+0000000000000ab",
        "p-+1-00000000000000ab",
        "p-01-00000000000000ab",
    ];
    for spelling in spellings {
        assert!(spelling.parse::<ProgramId>().is_err(), "{spelling}");
        assert!(format!("{spelling}/0/1/1").parse::<AttemptId>().is_err(), "{spelling}");
    }
    for spelling in ["p-1-00000000000000ab/00/1/1", "p-1-00000000000000ab/0/+1/1"] {
        assert!(spelling.parse::<AttemptId>().is_err(), "{spelling}");
    }
}

#[test]
fn forged_lengths_allocate_no_memory() {
    // An `AnswerFrame::Piece` whose text claims nearly all of a 64-bit length.
    let claimed = [0, 1, 0, 253, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f];
    let refused = decode::<AnswerFrame>(&claimed, peer()).expect_err("is refused").to_string();
    assert!(refused.starts_with("decoding a frame from 127.0.0.1:1: "), "{refused}");
}

/// Sends bytes to the daemon's port for peers and waits until it ends the connection.
async fn expect_refusal(system: &System, bytes: &[u8]) {
    let address = system.daemons[0].peer_address;
    let mut connection = TcpStream::connect(address).await.expect("connects");
    connection.write_all(bytes).await.expect("is open");
    let mut rest = Vec::new();
    // A reset is a refusal as well.
    let _ =
        timeout(CLOSE_TIMEOUT, connection.read_to_end(&mut rest)).await.expect("is ended in time");
    assert_eq!(rest, b"", "an unauthenticated peer gets no answer");
}

#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_peers_are_refused() {
    let system = System::one_daemon().await;
    let framed = |contents: &[u8]| {
        let mut frame = (contents.len() as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(contents);
        frame
    };
    let forged = encode(&hello("roof-crew".to_owned(), 0, 0), peer()).expect("is written");
    expect_refusal(&system, b"GET / HTTP/1.1\r\n\r\n").await;
    expect_refusal(&system, &u32::MAX.to_be_bytes()).await;
    expect_refusal(&system, &(70_000_u32).to_be_bytes()).await;
    expect_refusal(&system, &framed(b"")).await;
    expect_refusal(&system, &framed(b"\xff\xff\xff\xff\xff\xff")).await;
    expect_refusal(&system, &framed(&forged)).await;
    // A frame that stops in the middle, from a sender that stays connected.
    expect_refusal(&system, &framed(&forged)[..20]).await;
    let program = system.program().await;
    system.ask(&program, "Fault code 31").await.content();
}
