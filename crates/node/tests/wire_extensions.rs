//! Fields that messages have gained under protocol version 6: builds without them read the rest, and are
//! read.
//!
//! `wire_forms/6-extensions.txt` holds a sample of each, with a name and hexadecimal bytes per line. A sample
//! is never regenerated: daemons that write it may be running.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use dahlia_limits::{
    ActiveProgramReport, KeeperTerm, LimitCommand, LimitReply, ProgramHandover, ProgramKey,
    ProgramMeans, ProgramProgress, RateLimit, UsageReport, VersionedLimit,
};
use dahlia_node::feed::{FeedMessage, SourceReport, SubscriptionEcho};
use dahlia_node::request::{Request, RequestId, Response};
use dahlia_node::wire::PeerMessage;
use dahlia_node::wire_extension::MessageFrame;
use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, TenantId, Timestamp};
use serde::Serialize;
use serde::de::DeserializeOwned;

const SAMPLES: &str = include_str!("wire_forms/6-extensions.txt");
const ENCODING: bincode::config::Configuration = bincode::config::standard();

fn encode(value: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, ENCODING).expect("it can be encoded")
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> T {
    let decoded = bincode::serde::decode_from_slice(bytes, ENCODING);
    decoded.expect("it can be decoded").0
}

fn request(command: LimitCommand) -> PeerMessage {
    let request = Request::Limits { group: GroupId(5), command };
    let reply_to = SocketAddr::from(([10, 1, 0, 38], 8144));
    PeerMessage::Request { id: RequestId(79), request, reply_to }
}

fn progress() -> ProgramProgress {
    let (age, idle) = (Duration::from_millis(1_500), Duration::from_millis(200));
    ProgramProgress { requests: 7, age, idle }
}

fn ask(progress: Option<ProgramProgress>) -> PeerMessage {
    let limit = RateLimit::new(12.5, 20.0).expect("a limit can be kept").expect("there is one");
    request(LimitCommand::Ask {
        tenant: TenantId::new("bayou"),
        limit: VersionedLimit { generation: 4, limit },
        program: Some(ProgramKey(9)),
        max_wait: Duration::from_millis(150),
        progress,
    })
}

fn report(handover: ProgramHandover) -> PeerMessage {
    request(LimitCommand::Report(UsageReport {
        gateway: DaemonId(7),
        incarnation: Incarnation(1_800_000_000_123),
        sequence: 3,
        usage: Vec::new(),
        handover,
    }))
}

fn handover() -> ProgramHandover {
    let (tenant, program) = (TenantId::new("bayou"), ProgramKey(9));
    let programs = vec![ActiveProgramReport { tenant, program, progress: progress() }];
    ProgramHandover { means: Some(means()), programs }
}

fn means() -> ProgramMeans {
    ProgramMeans { request_hundredths: 1_025, duration: Duration::from_millis(1_900) }
}

fn counted(means: Option<ProgramMeans>) -> PeerMessage {
    let reply = LimitReply::Counted { scarce: Vec::new(), keeper: KeeperTerm(9), means };
    PeerMessage::Response { id: RequestId(79), response: Response::Limits(reply) }
}

fn subscription(sent_at: Option<Timestamp>) -> PeerMessage {
    let reply_to = SocketAddr::from(([10, 1, 0, 38], 8144));
    PeerMessage::Feed(FeedMessage::Subscribe { known: 1 << 33, reply_to, sent_at })
}

fn source_report(echo: Option<SubscriptionEcho>) -> PeerMessage {
    let report = SourceReport {
        after: 1 << 33,
        at: (1 << 33) + 7,
        age: Duration::from_millis(250),
        contents: b"changes".to_vec(),
    };
    PeerMessage::Feed(FeedMessage::Report { report, echo })
}

fn echo() -> SubscriptionEcho {
    let sent_at = Timestamp(1_800_000_000_123_456);
    SubscriptionEcho { sent_at, call_began_after: -70_000 }
}

struct Case {
    name: &'static str,
    message: PeerMessage,
    /// The message as a build without the field has it.
    first_form: PeerMessage,
}

fn cases() -> [Case; 5] {
    [
        Case { name: "limits-ask-progress", message: ask(Some(progress())), first_form: ask(None) },
        Case {
            name: "limits-report-handover",
            message: report(handover()),
            first_form: report(ProgramHandover::default()),
        },
        Case {
            name: "limits-counted-means",
            message: counted(Some(means())),
            first_form: counted(None),
        },
        Case {
            name: "feed-subscribe-time",
            message: subscription(Some(echo().sent_at)),
            first_form: subscription(None),
        },
        Case {
            name: "feed-report-echo",
            message: source_report(Some(echo())),
            first_form: source_report(None),
        },
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut hex, byte| {
        write!(hex, "{byte:02x}").expect("writing to a string succeeds");
        hex
    })
}

/// A changed encoding would be misread while machines are replaced one after the other.
#[test]
fn extended_messages_match_the_stored_samples() {
    let stored: BTreeMap<&str, &str> =
        SAMPLES.lines().filter_map(|line| line.split_once(' ')).collect();
    assert_eq!(stored.len(), cases().len());
    for Case { name, message, .. } in cases() {
        let bytes = encode(&MessageFrame::from(message.clone()));
        assert_eq!(stored.get(name).copied(), Some(hex(&bytes).as_str()), "{name}");
        assert_eq!(decode::<MessageFrame>(&bytes).into_message(), message, "{name}");
    }
}

/// A build without the field reads the message from the beginning of the frame and ignores the rest, as its
/// decoder does.
#[test]
fn build_without_the_field_reads_the_rest_of_the_message() {
    for Case { name, message, first_form } in cases() {
        let frame = MessageFrame::from(message);
        assert_eq!(frame.first_form(), &first_form, "{name}");
        assert_eq!(decode::<PeerMessage>(&encode(&frame)), first_form, "{name}");
    }
}

/// A frame of a build without the field ends where the field would begin, and a later build may add a kind.
#[test]
fn frame_without_a_known_extension_is_read_without_the_field() {
    for Case { name, first_form, .. } in cases() {
        let bytes = encode(&first_form);
        assert_eq!(bytes, encode(&MessageFrame::from(first_form.clone())), "{name}: no bytes more");
        assert_eq!(decode::<MessageFrame>(&bytes).into_message(), first_form, "{name}");
        let unknown_kind = [bytes, vec![250, 1, 2, 3]].concat();
        assert_eq!(decode::<MessageFrame>(&unknown_kind).into_message(), first_form, "{name}");
    }
}

/// A field that belongs to another kind of message changes nothing.
#[test]
fn extension_of_another_message_is_ignored() {
    let frames = cases().map(|case| encode(&MessageFrame::from(case.message)));
    for Case { name, first_form, .. } in cases() {
        let own = encode(&first_form);
        for (other, frame) in cases().iter().zip(&frames).filter(|(other, _)| other.name != name) {
            let extension = &frame[encode(&other.first_form).len()..];
            let mixed = [own.as_slice(), extension].concat();
            let found = decode::<MessageFrame>(&mixed).into_message();
            assert_eq!(found, first_form, "{name} with the field of {}", other.name);
        }
    }
}
