//! Tests of splitting a stream into events.

use proptest::prelude::*;
use rstest::rstest;

use super::EventSplitter;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: note\n\nid: 3\ndata: c\n\n";

#[rstest]
#[case::all(None, STREAM, Some(3))]
#[case::resumed(Some(2), ": note\n\nid: 3\ndata: c\n\n", Some(3))]
#[case::all_delivered(Some(3), ": note\n\n", None)]
fn delivered_events_are_left_out(
    #[case] after: Option<u64>,
    #[case] expected: &str,
    #[case] last: Option<u64>,
) {
    let mut splitter = EventSplitter::default();
    splitter.push(STREAM.as_bytes());
    let events = splitter.take_events(after);
    assert_eq!(
        (&events.bytes[..], events.last_id),
        (expected.as_bytes(), last)
    );
    assert_eq!(splitter.pending_len(), 0);
}

#[test]
fn partial_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n");
    let events = splitter.take_events(None);
    assert_eq!(&events.bytes[..], b"id: 1\r\ndata: a\r\n\r\n");
    assert_eq!((events.last_id, splitter.pending_len()), (Some(1), 14));
}

proptest! {
    #[test]
    fn output_does_not_depend_on_chunk_boundaries(cuts in proptest::collection::vec(0usize..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.push(STREAM.len());
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        let mut from = 0;
        let mut last = None;
        for to in cuts {
            splitter.push(&STREAM.as_bytes()[from..to]);
            let events = splitter.take_events(last);
            last = events.last_id.or(last);
            out.extend_from_slice(&events.bytes);
            from = to;
        }
        prop_assert_eq!(out, STREAM.as_bytes());
    }
}
