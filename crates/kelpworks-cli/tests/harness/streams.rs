//! Several streamed answers under way at one daemon.

use futures_util::future::join_all;

use super::Harness;
use crate::caller::Answer;
use crate::caller::End;
use crate::caller::Streamed;

/// Tokens of an answer.
pub(crate) const MAX_TOKENS: u32 = 40;
/// Streams of one set.
const STREAMS_PER_SET: usize = 6;
/// Tokens that each stream has seen before the test goes on.
const INITIAL_TOKENS: usize = 2;

/// Streams whose prompts begin with the same label.
#[derive(Debug)]
pub(crate) struct Streams {
    label: String,
    streams: Vec<Streamed>,
}

/// Their answers.
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

    /// The request of one of them, which is also its session on the engines.
    pub(crate) fn request(&self, n: usize) -> &str {
        &self.streams[n].request
    }

    /// Reads all to their ends.
    pub(crate) async fn rest(self) -> Answers {
        let answers = join_all(self.streams.into_iter().map(Streamed::rest)).await;
        Answers {
            label: self.label,
            answers,
        }
    }
}

impl Answers {
    /// The `n`th prompt.
    pub(crate) fn prompt(&self, n: usize) -> String {
        prompt(&self.label, n)
    }

    /// Asserts that all are whole and equal to the model computed directly.
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
