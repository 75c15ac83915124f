//! Events parsed from streams that arrive in arbitrary pieces.

use bytes::Bytes;
use dahlia_relay::{Event, EventBoundary, EventReader};
use proptest::prelude::*;

fn read_events(pieces: &[&[u8]]) -> (Vec<Event>, Bytes) {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    for piece in pieces {
        reader.push(Bytes::copy_from_slice(piece));
        events.extend(std::iter::from_fn(|| reader.next_event()));
    }
    (events, reader.take_remainder())
}

fn id_and_data(event: &Event) -> (Option<&[u8]>, Option<&[u8]>) {
    (event.id.as_deref(), event.data.as_deref())
}

#[test]
fn fields_are_parsed_and_all_bytes_kept() {
    let text =
        b"weight-versions: 3\nid: 7\ndata: a\ndata:b\n\n: note\n\nid:\r\ndata\r\n\r\nid: 9\nda";
    let (events, rest) = read_events(&[text]);
    assert_eq!(events.len(), 3);
    assert_eq!(id_and_data(&events[0]), (Some(&b"7"[..]), Some(&b"a\nb"[..])));
    assert_eq!(id_and_data(&events[1]), (None, None));
    assert_eq!(id_and_data(&events[2]), (None, Some(&b""[..])));
    assert_eq!(rest, "id: 9\nda");
    let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
    assert_eq!(raw, text[..text.len() - rest.len()]);
}

#[test]
fn numeric_identifiers_ascend_and_others_only_differ() {
    let event = |id: &'static [u8]| read_events(&[b"id: ", id, b"\n\n"]).0.remove(0);
    assert!(event(b"10").is_after(b"9"));
    assert!(!event(b"9").is_after(b"9"));
    assert!(!event(b"8").is_after(b"9"));
    assert!(event(b"b").is_after(b"a"));
    assert!(!event(b"a").is_after(b"a"));
    assert!(event(b"").is_after(b"9"), "an event without an identifier is never dropped");
}

#[test]
fn a_stream_is_inside_an_event_from_its_first_field_to_its_blank_line() {
    struct Case {
        text: &'static str,
        is_inside: bool,
        events: u64,
    }
    let cases = [
        Case { text: "", is_inside: false, events: 0 },
        Case { text: "\n", is_inside: false, events: 0 },
        Case { text: "\r", is_inside: false, events: 0 },
        Case { text: ": note", is_inside: false, events: 0 },
        Case { text: ": note\n\n", is_inside: false, events: 0 },
        Case { text: "i", is_inside: true, events: 0 },
        Case { text: "data", is_inside: true, events: 0 },
        Case { text: "data: a\n", is_inside: true, events: 0 },
        Case { text: "data: a\n: note", is_inside: true, events: 0 },
        Case { text: "data: a\n\r", is_inside: true, events: 0 },
        Case { text: "data: a\r\n\r\n", is_inside: false, events: 1 },
        Case { text: "data: a\r\n\r", is_inside: true, events: 0 },
        Case { text: "data: a\r\r", is_inside: false, events: 1 },
        Case { text: "data: a\r\rid: 2\r", is_inside: true, events: 1 },
        Case { text: "retry: 3000\n\n", is_inside: false, events: 0 },
        Case { text: "database: 3\n\n", is_inside: false, events: 0 },
        Case { text: "event: e\ndata\n\n", is_inside: false, events: 1 },
        Case { text: "\u{feff}", is_inside: false, events: 0 },
        Case { text: "\u{feff}: note\n", is_inside: false, events: 0 },
        Case { text: "\u{feff}data: a\n\n", is_inside: false, events: 1 },
        Case { text: "\u{fefe}: note\n", is_inside: true, events: 0 },
        Case { text: "data: a\n\n", is_inside: false, events: 1 },
        Case { text: "data: a\n\n\n: note\n", is_inside: false, events: 1 },
        Case { text: "data: a\n\nid: 2\n", is_inside: true, events: 1 },
        Case { text: "data: a\n\nid: 2\n\n", is_inside: false, events: 2 },
    ];
    for Case { text, is_inside, events } in cases {
        for piece_bytes in [1, 2, text.len().max(1)] {
            let mut boundary = EventBoundary::default();
            text.as_bytes().chunks(piece_bytes).for_each(|piece| boundary.push(piece));
            let seen = (boundary.is_inside_event(), boundary.events());
            assert_eq!(seen, (is_inside, events), "{text:?} in pieces of {piece_bytes}");
        }
    }
}

proptest! {
    #[test]
    fn the_boundary_is_the_same_in_pieces_of_any_size_and_agrees_with_the_reader(
        lines in prop::collection::vec("(id: [0-9]|data: ?[a-z]{0,2}|: ?[a-z]{0,2}|)(\n|\r\n)", 0..16),
        length in any::<prop::sample::Index>(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let mut text = lines.concat().into_bytes();
        text.truncate(length.index(text.len() + 1));
        let mut places: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len() + 1)).collect();
        places.extend([0, text.len()]);
        places.sort_unstable();
        let mut whole = EventBoundary::default();
        whole.push(&text);
        let mut in_pieces = EventBoundary::default();
        places.windows(2).for_each(|pair| in_pieces.push(&text[pair[0]..pair[1]]));
        prop_assert_eq!(in_pieces.is_inside_event(), whole.is_inside_event());
        prop_assert_eq!(in_pieces.events(), whole.events());
        let (events, rest) = read_events(&[&text]);
        let has_field = |bytes: &[u8]| {
            let mut lines = bytes.split(|&byte| byte == b'\n');
            lines.any(|line| !line.is_empty() && line != b"\r" && line[0] != b':')
        };
        prop_assert_eq!(whole.is_inside_event(), has_field(&rest));
        let with_fields = events.iter().filter(|event| has_field(&event.raw)).count();
        prop_assert_eq!(whole.events(), with_fields as u64);
    }

    #[test]
    fn pieces_of_any_size_yield_the_same_events(
        lines in prop::collection::vec("(id: [0-9]{1,3}|data: ?[a-z]{0,4}|: ?[a-z]{0,3}|)(\n|\r\n)", 0..24),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let text = lines.concat().into_bytes();
        let mut places: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len() + 1)).collect();
        places.extend([0, text.len()]);
        places.sort_unstable();
        let pieces: Vec<&[u8]> = places.windows(2).map(|pair| &text[pair[0]..pair[1]]).collect();
        let whole = read_events(&[&text]);
        prop_assert_eq!(&read_events(&pieces), &whole);
        let (events, rest) = whole;
        let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
        prop_assert_eq!([raw, rest.to_vec()].concat(), text);
    }
}
