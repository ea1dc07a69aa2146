//! A caller: streams answers and notes when each token came.

use std::time::Instant;

use futures_util::StreamExt;

use crate::support::Result;

/// One streamed answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Streamed {
    /// Text of the tokens.
    pub(crate) text: String,
    /// When each token came.
    pub(crate) at: Vec<Instant>,
    /// Whether the stream ended as it should.
    pub(crate) whole: bool,
}

/// A request for a streamed completion.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Base URL of the daemon.
    pub(crate) base: String,
    pub(crate) token: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
}

impl Call {
    /// Sends the request; `on_token` is called with the session id and the count of tokens after
    /// each token, and ends the reading early by returning false.
    pub(crate) async fn stream(
        &self,
        client: &reqwest::Client,
        mut on_token: impl FnMut(&str, usize) -> bool,
    ) -> Result<Streamed> {
        let body = serde_json::json!({
            "model": self.model, "prompt": self.prompt, "max_tokens": self.max_tokens,
            "stream": true,
        });
        let url = format!("{}/v1/completions", self.base);
        let res = client
            .post(url)
            .bearer_auth(&self.token)
            .json(&body)
            .send()
            .await?;
        let res = res.error_for_status()?;
        let id = res.headers().get("kelpworks-request-id");
        let id = id
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let mut stream = res.bytes_stream();
        let mut buf = String::new();
        let mut answer = Streamed::default();
        while let Some(piece) = stream.next().await {
            buf.push_str(&String::from_utf8_lossy(&piece?));
            while let Some(end) = buf.find("\n\n") {
                let event: String = buf.drain(..end + 2).collect();
                let Some(data) = event.trim_end().strip_prefix("data:") else {
                    continue;
                };
                if data.trim() == "[DONE]" {
                    answer.whole = true;
                    continue;
                }
                let chunk: kelpworks_wire::CompletionResponse = serde_json::from_str(data)?;
                let text = &chunk.choices[0].text;
                if text.is_empty() {
                    continue;
                }
                answer.text.push_str(text);
                answer.at.push(Instant::now());
                if !on_token(&id, answer.at.len()) {
                    return Ok(answer);
                }
            }
        }
        Ok(answer)
    }
}
