//! Encoding of responses in claim records.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use kelpworks_coord::claim::Outcome;

/// A header of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Header {
    /// Header name in lower case.
    pub name: String,
    /// Header value.
    pub value: String,
}

/// A response that a retry receives again, byte for byte.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Headers to replay; others are not recorded.
    pub headers: Vec<Header>,
    /// Response body.
    pub body: Bytes,
}

/// JSON encoding of the part of a response in [`Outcome::body`].
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Recorded {
    headers: Vec<Header>,
    body: Body,
}

/// Bodies in UTF-8 are stored as text, since nearly all responses are JSON.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Body {
    Text(String),
    Hex(String),
}

impl Reply {
    /// Encodes the response as the outcome of a claim.
    pub(super) fn to_outcome(&self) -> Outcome {
        let body = match std::str::from_utf8(&self.body) {
            Ok(text) => Body::Text(text.to_owned()),
            Err(_) => Body::Hex(hex::encode(&self.body)),
        };
        let recorded = Recorded {
            headers: self.headers.clone(),
            body,
        };
        Outcome {
            status: self.status,
            body: serde_json::to_string(&recorded)
                .expect("a recorded response always serializes to JSON"),
        }
    }

    /// Decodes a recorded outcome; `None` when it is not in this module's encoding.
    pub(super) fn from_outcome(outcome: &Outcome) -> Option<Reply> {
        let recorded: Recorded = serde_json::from_str(&outcome.body).ok()?;
        let body = match recorded.body {
            Body::Text(text) => Bytes::from(text),
            Body::Hex(text) => Bytes::from(hex::decode(text).ok()?),
        };
        Some(Reply {
            status: outcome.status,
            headers: recorded.headers,
            body,
        })
    }
}
