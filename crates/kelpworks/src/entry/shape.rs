//! The two formats of a model request and its answer: text completion and chat.

use salvo::http::StatusCode;
use serde::Serialize;

use crate::entry::reply::Failure;
use kelpworks_wire::ChatChoice;
use kelpworks_wire::ChatChunk;
use kelpworks_wire::ChatChunkChoice;
use kelpworks_wire::ChatDelta;
use kelpworks_wire::ChatMessage;
use kelpworks_wire::ChatRequest;
use kelpworks_wire::ChatResponse;
use kelpworks_wire::CompletionChoice;
use kelpworks_wire::CompletionRequest;
use kelpworks_wire::CompletionResponse;
use kelpworks_wire::FinishReason;
use kelpworks_wire::Usage;

/// Token limit of an answer when the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Role of the model's messages in a chat.
const ASSISTANT: &str = "assistant";

/// Format of a model request and its answer. Its `Debug` text is part of the key of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// The content of a model request, in either format.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ModelRequest {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
}

/// Fields that identify an answer, in either format.
#[derive(Clone, Debug)]
pub(crate) struct ResponseMetadata {
    pub(crate) id: String,
    pub(crate) model: String,
    /// Unix time, in seconds.
    pub(crate) created: u64,
}

impl Shape {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// A 400 when the body is not JSON of this format.
    pub(crate) fn read(self, body: &[u8]) -> Result<ModelRequest, Failure> {
        let invalid = |e: serde_json::Error| {
            Failure::rejected(StatusCode::BAD_REQUEST, "invalid_request", e.to_string())
        };
        let model_request = match self {
            Shape::Text => {
                let req: CompletionRequest = serde_json::from_slice(body).map_err(invalid)?;
                ModelRequest {
                    model: req.model,
                    prompt: req.prompt,
                    max_tokens: req.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
                    stream: req.stream.unwrap_or(false),
                }
            }
            Shape::Chat => {
                let req: ChatRequest = serde_json::from_slice(body).map_err(invalid)?;
                ModelRequest {
                    model: req.model,
                    prompt: chat_prompt(&req.messages),
                    max_tokens: req.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
                    stream: req.stream.unwrap_or(false),
                }
            }
        };
        Ok(model_request)
    }

    /// Returns the JSON body of a complete answer.
    pub(crate) fn response(
        self,
        metadata: &ResponseMetadata,
        text: String,
        end: FinishReason,
        u: Usage,
    ) -> Vec<u8> {
        let ResponseMetadata { id, model, created } = metadata.clone();
        match self {
            Shape::Text => json(&CompletionResponse {
                choices: vec![CompletionChoice {
                    finish_reason: Some(end),
                    index: 0,
                    text,
                }],
                created,
                id,
                model,
                object: "text_completion".to_owned(),
                usage: Some(u),
            }),
            Shape::Chat => {
                let message = ChatMessage {
                    content: text,
                    role: ASSISTANT.to_owned(),
                };
                json(&ChatResponse {
                    choices: vec![ChatChoice {
                        finish_reason: Some(end),
                        index: 0,
                        message,
                    }],
                    created,
                    id,
                    model,
                    object: "chat.completion".to_owned(),
                    usage: u,
                })
            }
        }
    }

    /// Returns the JSON data of one event of a streamed answer.
    pub(crate) fn chunk(
        self,
        metadata: &ResponseMetadata,
        text: String,
        end: Option<FinishReason>,
    ) -> Vec<u8> {
        let ResponseMetadata { id, model, created } = metadata.clone();
        match self {
            Shape::Text => json(&CompletionResponse {
                choices: vec![CompletionChoice {
                    finish_reason: end,
                    index: 0,
                    text,
                }],
                created,
                id,
                model,
                object: "text_completion".to_owned(),
                usage: None,
            }),
            Shape::Chat => {
                let delta = ChatDelta {
                    content: Some(text),
                    role: Some(ASSISTANT.to_owned()),
                };
                json(&ChatChunk {
                    choices: vec![ChatChunkChoice {
                        delta,
                        finish_reason: end,
                        index: 0,
                    }],
                    created,
                    id,
                    model,
                    object: "chat.completion.chunk".to_owned(),
                })
            }
        }
    }
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("wire types have no maps with keys other than text")
}

/// Formats a chat as one prompt with one line per message, ending where the model's answer begins.
/// Returns an empty prompt for a chat without messages.
fn chat_prompt(messages: &[ChatMessage]) -> String {
    if messages.is_empty() {
        return String::new();
    }
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push_str(": ");
        text.push_str(&message.content);
        text.push('\n');
    }
    text.push_str(ASSISTANT);
    text.push(':');
    text
}
