//! HTTP client of a daemon's callers' API: sends model requests and reads whole and streamed
//! answers.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use serde_json::json;

use kelpworks_wire::ChatChunk;
use kelpworks_wire::ChatResponse;
use kelpworks_wire::CompletionResponse;
use kelpworks_wire::ErrorBody;
use kelpworks_wire::FinishReason;

/// Timeout of a whole request, so that a hanging test fails. No assertion depends on it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Response header with the request id, which engines receive as the name of the session.
const REQUEST_ID_HEADER: &str = "kelpworks-request-id";

/// A caller with the token of one team.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    client: Client,
    /// Base URL of a daemon.
    base: String,
    token: String,
    model: String,
}

/// How an answer ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum End {
    /// Complete: with a finish reason and, if streamed, the `[DONE]` event.
    Whole(FinishReason),
    /// Refused, or a stream that ended with an error event.
    Error(Box<ErrorBody>),
    /// The connection closed before the end of the stream.
    Cut,
}

/// An answer that has ended. `text` is empty if the request was refused.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Answer {
    pub(crate) request: String,
    pub(crate) text: String,
    pub(crate) end: End,
}

/// A streamed answer that is still being read.
#[derive(Debug)]
pub(crate) struct Streamed {
    pub(crate) request: String,
    is_chat: bool,
    res: Response,
    unparsed: String,
    /// Text of all tokens read so far.
    pub(crate) text: String,
    finish: Option<FinishReason>,
    end: Option<End>,
}

impl Caller {
    pub(crate) fn new(base: &str, token: &str, model: &str) -> Caller {
        let client = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT);
        Caller {
            client: client.build().expect("a client"),
            base: base.to_owned(),
            token: token.to_owned(),
            model: model.to_owned(),
        }
    }

    /// Returns a `POST` request with the caller's token.
    pub(crate) fn post(&self, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.base);
        self.client.post(url).bearer_auth(&self.token)
    }

    pub(crate) fn get(&self, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.base);
        self.client.get(url).bearer_auth(&self.token)
    }

    fn completion(&self, prompt: &str, max_tokens: u32, stream: bool) -> RequestBuilder {
        let body = json!({
            "model": self.model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
        });
        self.post("/v1/completions").json(&body)
    }

    fn chat_request(&self, prompt: &str, max_tokens: u32, stream: bool) -> RequestBuilder {
        let messages = [json!({ "role": "user", "content": prompt })];
        let body = json!({
            "model": self.model, "messages": messages, "max_tokens": max_tokens, "stream": stream,
        });
        self.post("/v1/chat/completions").json(&body)
    }

    /// Requests a completion without streaming.
    pub(crate) async fn complete(
        &self,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Answer, reqwest::Error> {
        let res = self.completion(prompt, max_tokens, false).send().await?;
        let request = request_id(&res);
        if !res.status().is_success() {
            let error = Box::new(res.json().await?);
            return Ok(refused_answer(request, error));
        }
        let mut whole: CompletionResponse = res.json().await?;
        let choice = whole.choices.remove(0);
        let finish = choice.finish_reason.expect("a whole answer has an end");
        Ok(Answer {
            request,
            text: choice.text,
            end: End::Whole(finish),
        })
    }

    /// Requests a chat completion without streaming.
    pub(crate) async fn chat(
        &self,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Answer, reqwest::Error> {
        let res = self.chat_request(prompt, max_tokens, false).send().await?;
        let request = request_id(&res);
        if !res.status().is_success() {
            let error = Box::new(res.json().await?);
            return Ok(refused_answer(request, error));
        }
        let mut whole: ChatResponse = res.json().await?;
        let choice = whole.choices.remove(0);
        let finish = choice.finish_reason.expect("a whole answer has an end");
        Ok(Answer {
            request,
            text: choice.message.content,
            end: End::Whole(finish),
        })
    }

    /// Starts a streamed completion.
    pub(crate) async fn stream(
        &self,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Streamed, reqwest::Error> {
        let res = self.completion(prompt, max_tokens, true).send().await?;
        Ok(Streamed::of(res, false))
    }

    /// Starts a streamed chat completion.
    pub(crate) async fn stream_chat(
        &self,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<Streamed, reqwest::Error> {
        let res = self.chat_request(prompt, max_tokens, true).send().await?;
        Ok(Streamed::of(res, true))
    }
}

/// Returns the prompt that engines receive for a chat with a single user message.
pub(crate) fn chat_prompt(prompt: &str) -> String {
    format!("user: {prompt}\nassistant:")
}

fn request_id(res: &Response) -> String {
    let id = res
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|v| v.to_str().ok());
    id.expect("each answer names its request").to_owned()
}

fn refused_answer(request: String, error: Box<ErrorBody>) -> Answer {
    Answer {
        request,
        text: String::new(),
        end: End::Error(error),
    }
}

impl Streamed {
    fn of(res: Response, is_chat: bool) -> Streamed {
        assert_eq!(res.status(), StatusCode::OK, "a stream begins");
        Streamed {
            request: request_id(&res),
            is_chat,
            res,
            unparsed: String::new(),
            text: String::new(),
            finish: None,
            end: None,
        }
    }

    /// Reads until `count` tokens have arrived or the stream has ended. Returns the text so far.
    pub(crate) async fn read_tokens(&mut self, count: usize) -> &str {
        // The text of a token has four bytes; see `kelpworks_fakes::token_text`.
        while self.text.len() < 4 * count && self.end.is_none() {
            self.read_event().await;
        }
        &self.text
    }

    /// Reads to the end of the stream.
    pub(crate) async fn rest(mut self) -> Answer {
        while self.end.is_none() {
            self.read_event().await;
        }
        Answer {
            request: self.request,
            text: self.text,
            end: self.end.expect("the loop ends with an end"),
        }
    }

    async fn read_event(&mut self) {
        while !self.unparsed.contains("\n\n") {
            match self.res.chunk().await {
                Ok(Some(bytes)) => self.unparsed.push_str(&String::from_utf8_lossy(&bytes)),
                Ok(None) | Err(_) => {
                    self.end = Some(End::Cut);
                    return;
                }
            }
        }
        let event_len = self.unparsed.find("\n\n").expect("the loop ends with one");
        let event: String = self.unparsed.drain(..event_len + 2).collect();
        let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
        let Some(data) = field("data:").map(str::trim) else {
            return;
        };
        let kind = field("event:").map(str::trim);
        self.apply_event(kind, data);
    }

    fn apply_event(&mut self, kind: Option<&str>, data: &str) {
        if kind == Some("error") {
            let body = serde_json::from_str(data).expect("an error body");
            self.end = Some(End::Error(Box::new(body)));
            return;
        }
        if data == "[DONE]" {
            let finish = self.finish.expect("a finish reason comes before the end");
            self.end = Some(End::Whole(finish));
            return;
        }
        let (text, finish) = if self.is_chat {
            let mut chunk: ChatChunk = serde_json::from_str(data).expect("a chunk");
            let choice = chunk.choices.remove(0);
            (
                choice.delta.content.unwrap_or_default(),
                choice.finish_reason,
            )
        } else {
            let mut chunk: CompletionResponse = serde_json::from_str(data).expect("a chunk");
            let choice = chunk.choices.remove(0);
            (choice.text, choice.finish_reason)
        };
        self.text.push_str(&text);
        self.finish = self.finish.or(finish);
    }
}
