//! How soon tokens come, from pieces of streams read at given moments.

use dahlia_backends::TokenTimes;
use dahlia_relay::TokenIntervals;
use dahlia_types::Tokens;
use tokio::time::{Duration, Instant};

/// A piece of a stream, in milliseconds from the beginning.
struct Piece {
    /// Since when the reader waited for it.
    waited_since: u64,
    read_at: u64,
    events: usize,
}

struct Case {
    name: &'static str,
    pieces: Vec<Piece>,
    /// Milliseconds that were told, event by event.
    told: Vec<Option<u64>>,
}

fn piece(waited_since: u64, read_at: u64, events: usize) -> Piece {
    Piece { waited_since, read_at, events }
}

fn told(pieces: &[Piece]) -> Vec<Option<u64>> {
    const EVENT: Tokens = Tokens(13);
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut pauses = TokenIntervals::new(EVENT);
    let mut told = Vec::new();
    for piece in pieces {
        pauses.record_piece(at(piece.waited_since), at(piece.read_at));
        told.extend((0..piece.events).map(|_| pauses.record_event()));
    }
    let millis = |times: TokenTimes| {
        assert_eq!(times.tokens, 13);
        u64::from(times.micros) / 1_000
    };
    told.into_iter().map(|times| times.map(millis)).collect()
}

#[test]
fn only_pauses_of_the_server_are_told() {
    let cases = [
        Case {
            name: "one event a piece",
            pieces: vec![piece(0, 50, 1), piece(50, 90, 1), piece(91, 120, 1)],
            told: vec![None, Some(40), Some(30)],
        },
        Case {
            name: "an event in two pieces",
            pieces: vec![piece(0, 50, 1), piece(50, 80, 0), piece(80, 90, 1)],
            told: vec![None, Some(40)],
        },
        Case {
            name: "two events came together",
            pieces: vec![piece(0, 50, 1), piece(50, 130, 2)],
            told: vec![None, Some(80), Some(0)],
        },
        Case {
            name: "events that were there when the stream began",
            pieces: vec![piece(0, 50, 3), piece(50, 90, 1)],
            told: vec![None, None, None, Some(40)],
        },
        Case {
            name: "the caller was slow, and the event was there before",
            pieces: vec![piece(0, 50, 1), piece(300, 300, 1), piece(300, 340, 1)],
            told: vec![None, None, None],
        },
        Case {
            name: "the caller was slow, but the event came later",
            pieces: vec![piece(0, 50, 1), piece(60, 90, 1), piece(90, 130, 1)],
            told: vec![None, Some(40), Some(40)],
        },
    ];
    for Case { name, pieces, told: expected } in cases {
        assert_eq!(told(&pieces), expected, "{name}");
    }
}

#[test]
fn another_servers_stream_begins_anew() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut pauses = TokenIntervals::new(Tokens(13));
    pauses.record_piece(at(0), at(50));
    assert_eq!(pauses.record_event(), None);
    pauses.restart();
    pauses.record_piece(at(50), at(900));
    assert_eq!(pauses.record_event(), None);
    pauses.record_piece(at(900), at(930));
    let times = TokenTimes { tokens: 13, micros: 30_000 };
    assert_eq!(pauses.record_event(), Some(times));
}
