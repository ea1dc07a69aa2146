use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use rstest::rstest;

use super::ChunkDetector;
use super::Fault;
use super::Framing;
use super::Result;
use super::check;

const TEXT: &str = "text/plain";
const EVENTS: &str = "Text/Event-Stream; charset=utf-8";

/// Returns header fields; a character of a value is a byte.
fn headers(name: &HeaderName, values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        let value: Vec<u8> = value.chars().map(|c| c as u8).collect();
        let value = HeaderValue::from_bytes(&value).expect("a value");
        headers.append(name, value);
    }
    headers
}

#[rstest]
#[case::none(&[], Ok(Framing::Unframed))]
#[case::length(&["20"], Ok(Framing::Length(20)))]
#[case::leading_zero(&["020"], Ok(Framing::Length(20)))]
#[case::largest(&["18446744073709551615"], Ok(Framing::Length(u64::MAX)))]
#[case::equal_lines(&["20", "20"], Ok(Framing::Length(20)))]
#[case::equal_in_list(&["20, 20"], Ok(Framing::Length(20)))]
#[case::empty(&[""], Err(Fault::Length))]
#[case::sign(&["+20"], Err(Fault::Length))]
#[case::negative(&["-1"], Err(Fault::Length))]
#[case::hexadecimal(&["0x14"], Err(Fault::Length))]
#[case::letter(&["2o"], Err(Fault::Length))]
#[case::too_large(&["18446744073709551616"], Err(Fault::Length))]
#[case::trailing_comma(&["20,"], Err(Fault::Length))]
#[case::different_lines(&["20", "5"], Err(Fault::Length))]
#[case::different_in_list(&["20, 5"], Err(Fault::Length))]
#[case::no_text(&["2\u{e9}"], Err(Fault::Length))]
fn length_is_one_decimal_number(#[case] values: &[&str], #[case] expected: Result<Framing>) {
    let headers = headers(&header::CONTENT_LENGTH, values);
    assert_eq!(check(StatusCode::OK, &headers), expected);
}

#[rstest]
#[case::chunked(&["chunked"], Ok(Framing::Chunked))]
#[case::capitals(&["Chunked"], Ok(Framing::Chunked))]
#[case::misspelt(&["chunkd"], Err(Fault::TransferCoding))]
#[case::empty(&[""], Err(Fault::TransferCoding))]
#[case::identity(&["identity"], Err(Fault::TransferCoding))]
#[case::parameter(&["chunked;q=1"], Err(Fault::TransferCoding))]
#[case::coding_before(&["gzip, chunked"], Err(Fault::TransferCoding))]
#[case::coding_behind(&["chunked, gzip"], Err(Fault::TransferCoding))]
#[case::twice(&["chunked", "chunked"], Err(Fault::TransferCoding))]
#[case::another_line(&["chunked", "x"], Err(Fault::TransferCoding))]
#[case::no_text(&["chunk\u{e9}d"], Err(Fault::TransferCoding))]
fn transfer_coding_is_chunked_alone(#[case] values: &[&str], #[case] expected: Result<Framing>) {
    let headers = headers(&header::TRANSFER_ENCODING, values);
    assert_eq!(check(StatusCode::OK, &headers), expected);
}

/// Guards against an answer whose length is that of another body than its chunks make.
#[rstest]
#[case::chunked("chunked", Fault::TwoFramings)]
#[case::misspelt("chunkd", Fault::TransferCoding)]
fn length_beside_a_transfer_coding_is_a_fault(#[case] coding: &str, #[case] expected: Fault) {
    let mut headers = headers(&header::TRANSFER_ENCODING, &[coding]);
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from(5));
    assert_eq!(check(StatusCode::OK, &headers), Err(expected));
}

#[rstest]
#[case(100, Err(Fault::Status))]
#[case(101, Err(Fault::Status))]
#[case(199, Err(Fault::Status))]
#[case(200, Ok(Framing::Length(20)))]
#[case(204, Err(Fault::ForbiddenBody))]
#[case(205, Err(Fault::ForbiddenBody))]
#[case(304, Ok(Framing::Length(20)))]
#[case(404, Ok(Framing::Length(20)))]
#[case(599, Ok(Framing::Length(20)))]
#[case(600, Err(Fault::Status))]
#[case(999, Err(Fault::Status))]
fn status_is_final_and_allows_the_body(#[case] status: u16, #[case] expected: Result<Framing>) {
    let status = StatusCode::from_u16(status).expect("three digits");
    let headers = headers(&header::CONTENT_LENGTH, &["20"]);
    assert_eq!(check(status, &headers), expected);
}

#[rstest]
#[case(StatusCode::NO_CONTENT)]
#[case(StatusCode::RESET_CONTENT)]
fn length_of_zero_is_sound_where_there_is_no_body(#[case] status: StatusCode) {
    let headers = headers(&header::CONTENT_LENGTH, &["0"]);
    assert_eq!(check(status, &headers), Ok(Framing::Length(0)));
}

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
