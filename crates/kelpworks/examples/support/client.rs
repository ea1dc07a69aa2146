//! A caller that streams answers and records the arrival time of each token.

use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use reqwest::Response;
use thiserror::Error;

use crate::support::Result;

/// One streamed answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Streamed {
    /// Text of the tokens.
    pub(crate) text: String,
    /// Arrival time of each token.
    pub(crate) token_times: Vec<Instant>,
    /// Whether the stream ended with the `[DONE]` event.
    pub(crate) complete: bool,
}

/// A response with a status other than 2xx.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{status}: {body}")]
pub(crate) struct Refused {
    pub(crate) status: u16,
    pub(crate) body: String,
    /// Whether the verdict header says that no part of the request ran.
    pub(crate) not_run: bool,
    /// Value of the `retry-after` header, if any.
    pub(crate) retry_after: Option<Duration>,
}

impl Refused {
    async fn read(res: Response) -> Result<Refused> {
        let header = |name| res.headers().get(name).and_then(|v| v.to_str().ok());
        let seconds = header("retry-after").and_then(|v| v.parse().ok());
        Ok(Refused {
            status: res.status().as_u16(),
            not_run: header("kelpworks-verdict") == Some("not-run"),
            retry_after: seconds.map(Duration::from_secs),
            body: res.text().await?,
        })
    }
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
    /// Sends the request and reads the stream. Calls `on_token` after each token with the session
    /// id and the number of tokens so far; stops reading when it returns false.
    pub(crate) async fn stream(
        &self,
        client: &reqwest::Client,
        mut on_token: impl FnMut(&str, usize) -> bool + Send,
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
        if !res.status().is_success() {
            return Err(Refused::read(res).await?.into());
        }
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
                    answer.complete = true;
                    continue;
                }
                let chunk: kelpworks_wire::CompletionResponse = serde_json::from_str(data)?;
                let text = &chunk.choices[0].text;
                if text.is_empty() {
                    continue;
                }
                answer.text.push_str(text);
                answer.token_times.push(Instant::now());
                if !on_token(&id, answer.token_times.len()) {
                    return Ok(answer);
                }
            }
        }
        Ok(answer)
    }
}
