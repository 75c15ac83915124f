//! Events parsed from streams that arrive in arbitrary pieces.

use bytes::Bytes;
use dahlia_relay::{Event, EventReader};
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

proptest! {
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
