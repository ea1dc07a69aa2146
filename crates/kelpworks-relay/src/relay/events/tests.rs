//! Cutting a stream into events.

use proptest::prelude::*;
use rstest::rstest;

use super::Cutter;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: note\n\nid: 3\ndata: c\n\n";

#[rstest]
#[case::all(None, STREAM, Some(3))]
#[case::goes_on(Some(2), ": note\n\nid: 3\ndata: c\n\n", Some(3))]
#[case::all_known(Some(3), ": note\n\n", None)]
fn events_that_are_known_are_left_out(
    #[case] after: Option<u64>,
    #[case] bytes: &str,
    #[case] last: Option<u64>,
) {
    let mut cutter = Cutter::default();
    cutter.push(STREAM.as_bytes());
    let whole = cutter.take(after);
    assert_eq!((&whole.bytes[..], whole.last_id), (bytes.as_bytes(), last));
    assert_eq!(cutter.rest(), 0);
}

#[test]
fn a_part_of_an_event_stays_back() {
    let mut cutter = Cutter::default();
    cutter.push(b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n");
    let whole = cutter.take(None);
    assert_eq!(&whole.bytes[..], b"id: 1\r\ndata: a\r\n\r\n");
    assert_eq!((whole.last_id, cutter.rest()), (Some(1), 14));
}

proptest! {
    /// However the bytes come, the same events go out.
    #[test]
    fn pieces_make_no_difference(cuts in proptest::collection::vec(0usize..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.push(STREAM.len());
        cuts.sort_unstable();
        let mut cutter = Cutter::default();
        let mut out = Vec::new();
        let mut from = 0;
        let mut last = None;
        for to in cuts {
            cutter.push(&STREAM.as_bytes()[from..to]);
            let whole = cutter.take(last);
            last = whole.last_id.or(last);
            out.extend_from_slice(&whole.bytes);
            from = to;
        }
        prop_assert_eq!(out, STREAM.as_bytes());
    }
}
