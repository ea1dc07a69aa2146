//! Answers as claims record them.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use kelpworks_coord::claim::Outcome;

/// A header of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize, Serialize)]
pub struct Header {
    /// Name, lower case.
    pub name: String,
    /// Value.
    pub value: String,
}

/// An answer that a repeat gets again, byte for byte.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers that are kept.
    pub headers: Vec<Header>,
    /// Body.
    pub body: Bytes,
}

/// The part of an answer that stands in [`Outcome::body`].
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Recorded {
    headers: Vec<Header>,
    body: Body,
}

/// Text is kept as it is, since nearly all answers are JSON.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Body {
    Text(String),
    Hex(String),
}

impl Reply {
    /// The answer as an outcome of the claim.
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
            body: serde_json::to_string(&recorded).expect("it has no maps"),
        }
    }

    /// The answer of a recorded outcome; `None` where it is not one of this slice's.
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
