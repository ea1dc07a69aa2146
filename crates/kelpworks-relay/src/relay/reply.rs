//! Replies to callers: responses of upstreams and the daemon's own refusals.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use salvo::Response;
use salvo::http::ResBody;

/// Chunks of a streamed body; an error aborts the connection, so that the response does not look
/// complete.
pub(super) type BodyChunks = BoxStream<'static, std::io::Result<Bytes>>;

/// Refusal of a request by the daemon itself.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Id of the request; empty if the caller sent none.
    pub(crate) request_id: Box<str>,
    /// HTTP status. 408, 421, 429 and 503 guarantee that the request has not run and never will.
    pub(crate) status: StatusCode,
    /// Value of the `Retry-After` header, sent with two decimals; `None` omits the header.
    pub(crate) retry_after: Option<Duration>,
    /// Reason, sent in the body and used as a metric label, so with few distinct values.
    pub(crate) reason: &'static str,
    /// Version of the configuration that the decision was based on.
    pub(crate) version: u64,
    /// What this daemon has sent to upstreams of the request.
    pub(crate) reached: Reached,
}

/// What a daemon that refuses a request has sent to upstreams of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reached {
    /// Nothing.
    Nothing,
    /// It may have run at this many upstreams; if at none, one has refused it.
    Upstreams(u32),
    /// It is not known.
    Unknown,
}

/// Reply to a request.
pub(super) enum Reply {
    /// An upstream's response, read whole.
    Buffered {
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    },
    /// An upstream's response, passed on as it arrives.
    Streamed {
        status: StatusCode,
        headers: HeaderMap,
        chunks: BodyChunks,
    },
    /// A refusal by the daemon.
    Refused(Refusal),
}

impl Reply {
    pub(super) fn write(self, res: &mut Response) {
        match self {
            Reply::Buffered {
                status,
                headers,
                body,
            } => {
                res.status_code(status);
                *res.headers_mut() = end_to_end(headers);
                res.body(ResBody::Once(body));
            }
            Reply::Streamed {
                status,
                headers,
                chunks,
            } => {
                res.status_code(status);
                *res.headers_mut() = end_to_end(headers);
                res.stream(chunks);
            }
            Reply::Refused(refusal) => refusal.write(res),
        }
    }
}

impl Refusal {
    fn write(self, res: &mut Response) {
        res.status_code(self.status);
        if let Some(after) = self.retry_after {
            let text = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                res.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        let body = serde_json::json!({ "error": self.reason }).to_string();
        let json = HeaderValue::from_static("application/json");
        res.headers_mut().insert(header::CONTENT_TYPE, json);
        res.body(ResBody::Once(body.into()));
    }
}

/// Hop-by-hop headers (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the hop-by-hop headers, including those that `connection` names.
pub(super) fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let hop_by_hop: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&hop_by_hop) {
        headers.remove(name);
    }
    headers
}
