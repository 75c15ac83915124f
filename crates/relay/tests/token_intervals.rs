//! Token intervals computed from pieces of streams that are read at given times.

use dahlia_backends::TokenTimes;
use dahlia_relay::TokenIntervals;
use dahlia_types::Tokens;
use tokio::time::{Duration, Instant};

/// A piece of a stream, with times in milliseconds since the start.
struct Piece {
    /// When the reader began to wait for it.
    wait_started: u64,
    read_at: u64,
    events: usize,
}

struct Case {
    name: &'static str,
    pieces: Vec<Piece>,
    /// The expected interval of each event in milliseconds.
    expected: Vec<Option<u64>>,
}

fn piece(wait_started: u64, read_at: u64, events: usize) -> Piece {
    Piece { wait_started, read_at, events }
}

fn measure(pieces: &[Piece]) -> Vec<Option<u64>> {
    const EVENT: Tokens = Tokens(13);
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut intervals = TokenIntervals::new(EVENT);
    let mut measured = Vec::new();
    for piece in pieces {
        intervals.record_piece(at(piece.wait_started), at(piece.read_at));
        measured.extend((0..piece.events).map(|_| intervals.record_event()));
    }
    let millis = |times: TokenTimes| {
        assert_eq!(times.tokens, 13);
        u64::from(times.micros) / 1_000
    };
    measured.into_iter().map(|times| times.map(millis)).collect()
}

#[test]
fn only_intervals_caused_by_the_server_are_measured() {
    let cases = [
        Case {
            name: "one event a piece",
            pieces: vec![piece(0, 50, 1), piece(50, 90, 1), piece(91, 120, 1)],
            expected: vec![None, Some(40), Some(30)],
        },
        Case {
            name: "an event in two pieces",
            pieces: vec![piece(0, 50, 1), piece(50, 80, 0), piece(80, 90, 1)],
            expected: vec![None, Some(40)],
        },
        Case {
            name: "two events came together",
            pieces: vec![piece(0, 50, 1), piece(50, 130, 2)],
            expected: vec![None, Some(80), Some(0)],
        },
        Case {
            name: "events that were there when the stream began",
            pieces: vec![piece(0, 50, 3), piece(50, 90, 1)],
            expected: vec![None, None, None, Some(40)],
        },
        Case {
            name: "the caller was slow, and the event was there before",
            pieces: vec![piece(0, 50, 1), piece(300, 300, 1), piece(300, 340, 1)],
            expected: vec![None, None, None],
        },
        Case {
            name: "the caller was slow, but the event came later",
            pieces: vec![piece(0, 50, 1), piece(60, 90, 1), piece(90, 130, 1)],
            expected: vec![None, Some(40), Some(40)],
        },
    ];
    for Case { name, pieces, expected } in cases {
        assert_eq!(measure(&pieces), expected, "{name}");
    }
}

#[test]
fn another_servers_stream_starts_new_intervals() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut intervals = TokenIntervals::new(Tokens(13));
    intervals.record_piece(at(0), at(50));
    assert_eq!(intervals.record_event(), None);
    intervals.restart();
    intervals.record_piece(at(50), at(900));
    assert_eq!(intervals.record_event(), None);
    intervals.record_piece(at(900), at(930));
    let times = TokenTimes { tokens: 13, micros: 30_000 };
    assert_eq!(intervals.record_event(), Some(times));
}
