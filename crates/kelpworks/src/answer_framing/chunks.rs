//! Recognises chunks in a body whose head announces none.

use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::header;

/// Longest line with the size of a chunk that is recognised.
const MAX_SIZE_LINE: usize = 64;
/// What ends the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// Recognises a body in chunks behind a head that doesn't announce them, as when the name of its field is misspelt.
#[derive(Debug)]
pub struct ChunkDetector {
    /// Whether the body is one of events, none of which begins with the size of a chunk.
    is_event_stream: bool,
    state: ChunkState,
}

#[derive(Debug)]
enum ChunkState {
    /// The first line, as far as it has arrived.
    Size(BytesMut),
    /// Bytes that are left until the end of the first chunk.
    Data(u64),
    /// Number of bytes of [`CHUNK_END`] that have arrived behind the first chunk.
    End(usize),
    NoChunks,
}

impl ChunkDetector {
    /// Returns a detector for the body of an answer with these headers.
    pub fn new(headers: &HeaderMap) -> ChunkDetector {
        let kind = headers.get(header::CONTENT_TYPE).map(HeaderValue::as_bytes);
        let events = b"text/event-stream";
        let kind = kind.and_then(|k| k.get(..events.len()));
        ChunkDetector {
            is_event_stream: kind.is_some_and(|k| k.eq_ignore_ascii_case(events)),
            state: ChunkState::Size(BytesMut::new()),
        }
    }

    /// Adds data; returns whether the body begins with a chunk.
    pub fn push(&mut self, mut data: &[u8]) -> bool {
        loop {
            let next = match &mut self.state {
                _ if data.is_empty() => return false,
                ChunkState::NoChunks => return false,
                ChunkState::Size(line) => {
                    let had = line.len();
                    let n = data.len().min(MAX_SIZE_LINE - had);
                    line.extend_from_slice(&data[..n]);
                    match httparse::parse_chunk_size(line) {
                        Ok(httparse::Status::Complete((end, _))) if self.is_event_stream => {
                            return end > 0;
                        }
                        Ok(httparse::Status::Complete((end, size))) => {
                            data = &data[end - had..];
                            ChunkState::Data(size)
                        }
                        Ok(httparse::Status::Partial) if had + n < MAX_SIZE_LINE => {
                            return false;
                        }
                        _ => ChunkState::NoChunks,
                    }
                }
                ChunkState::Data(left) => {
                    let n = usize::try_from(*left).map_or(data.len(), |left| left.min(data.len()));
                    data = &data[n..];
                    match *left - n as u64 {
                        0 => ChunkState::End(0),
                        left => ChunkState::Data(left),
                    }
                }
                ChunkState::End(seen) if data[0] == CHUNK_END[*seen] => {
                    data = &data[1..];
                    match *seen + 1 == CHUNK_END.len() {
                        true => return true,
                        false => ChunkState::End(*seen + 1),
                    }
                }
                ChunkState::End(_) => ChunkState::NoChunks,
            };
            self.state = next;
        }
    }
}
