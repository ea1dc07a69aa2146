//! Several concurrent streamed answers of one daemon.

use futures_util::future::join_all;

use super::Harness;
use crate::caller::Answer;
use crate::caller::End;
use crate::caller::Streamed;

/// Tokens of each answer.
pub(crate) const MAX_TOKENS: u32 = 40;
/// Streams that [`Streams::begin`] starts.
const STREAMS_PER_SET: usize = 6;
/// Tokens that are read from each stream before the test goes on.
const INITIAL_TOKENS: usize = 2;

/// Streams whose prompts begin with the same label.
#[derive(Debug)]
pub(crate) struct Streams {
    label: String,
    streams: Vec<Streamed>,
}

/// The answers of [`Streams`].
#[derive(Debug)]
pub(crate) struct Answers {
    label: String,
    pub(crate) answers: Vec<Answer>,
}

impl Streams {
    /// Starts streams at the `daemon`th daemon and reads the first tokens of each.
    pub(crate) async fn begin(harness: &Harness, daemon: usize, label: &str) -> Streams {
        let caller = harness.caller(daemon);
        let mut streams = Vec::new();
        for n in 0..STREAMS_PER_SET {
            let prompt = prompt(label, n);
            streams.push(caller.stream(&prompt, MAX_TOKENS).await.expect("a stream"));
        }
        for stream in &mut streams {
            stream.read_tokens(INITIAL_TOKENS).await;
        }
        Streams {
            label: label.to_owned(),
            streams,
        }
    }

    /// Returns the request id of the `n`th stream, which is also its session on the engines.
    pub(crate) fn request(&self, n: usize) -> &str {
        &self.streams[n].request
    }

    /// Reads every stream to its end.
    pub(crate) async fn rest(self) -> Answers {
        let answers = join_all(self.streams.into_iter().map(Streamed::rest)).await;
        Answers {
            label: self.label,
            answers,
        }
    }
}

impl Answers {
    pub(crate) fn prompt(&self, n: usize) -> String {
        prompt(&self.label, n)
    }

    /// Asserts that every answer is complete and equals the text that the model gives when it is
    /// computed directly.
    pub(crate) fn assert_complete(&self, harness: &Harness) {
        for (n, answer) in self.answers.iter().enumerate() {
            let text = harness.model.answer_text(&self.prompt(n), MAX_TOKENS);
            assert_eq!(answer.text, text, "{answer:?}");
            assert!(matches!(answer.end, End::Whole(_)), "{:?}", answer.end);
        }
    }
}

fn prompt(label: &str, n: usize) -> String {
    format!("{label} {n}")
}
