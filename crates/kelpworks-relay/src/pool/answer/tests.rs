use http::HeaderMap;
use http::HeaderValue;
use http::header;
use rstest::rstest;

use super::ChunkDetector;

const TEXT: &str = "text/plain";
const EVENTS: &str = "Text/Event-Stream; charset=utf-8";

/// Returns whether chunks are recognised, with the body in one piece and byte by byte.
fn is_in_chunks(kind: &'static str, body: &str) -> [bool; 2] {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    [body.len().max(1), 1].map(|size| {
        let mut detector = ChunkDetector::new(&headers);
        let mut pieces = body.as_bytes().chunks(size);
        pieces.any(|piece| detector.push(piece))
    })
}

#[rstest]
#[case::one_chunk(TEXT, "14\r\na body of the server\r\n0\r\n\r\n", true)]
#[case::capitals_and_extension(TEXT, "A;x=y\r\n0123456789\r\n0\r\n\r\n", true)]
#[case::without_the_last_chunk(TEXT, "2\r\nab\r\n", true)]
#[case::empty_body(TEXT, "0\r\n\r\n", true)]
#[case::number_on_a_line(TEXT, "20\r\n", false)]
#[case::numbers_on_lines(TEXT, "2\r\n3\r\n4\r\n", false)]
#[case::lines_without_cr(TEXT, "2\nab\n", false)]
#[case::text(TEXT, "a body of the server", false)]
#[case::hexadecimal_text(TEXT, "deadbeef", false)]
#[case::long_number(
    TEXT,
    "1111111111111111111111111111111111111111111111111111111111111111111111",
    false
)]
#[case::empty(TEXT, "", false)]
#[case::events_in_a_chunk(EVENTS, "22\r\nid: 1\ndata: one\n\n", true)]
#[case::events(EVENTS, "id: 1\r\ndata: one\r\n\r\n", false)]
#[case::data_first(EVENTS, "data: 20\r\n\r\n", false)]
fn chunks_are_recognised_by_size_and_end(
    #[case] kind: &'static str,
    #[case] body: &str,
    #[case] expected: bool,
) {
    assert_eq!(is_in_chunks(kind, body), [expected; 2]);
}
