//! Chat requests to an engine stand-in, and the generation of the answers.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use quetzalpin::net::{BodyError, HttpBody, json_response, stream_body};
use quetzalpin::prelude::*;
use serde::Deserialize;
use serde_json::json;

use crate::engine_standin::{EngineStandin, RunGuard};
use crate::fault_switch::abort_response;
use crate::prompt_words::answer_word;

#[derive(Debug, Clone, Deserialize)]
struct ChatMessage {
    content: String,
}

/// Body of a chat request.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatRequest {
    /// Model and version that must be loaded.
    pub model: ReplicaName,
    /// Adapter under the engine's name for it, if any.
    pub adapter: Option<String>,
    messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    max_tokens: Option<u32>,
    /// Number of tokens of the answer that the caller already has; generation continues after them.
    #[serde(default)]
    pub resume_tokens: u32,
}

impl ChatRequest {
    /// Content of the last message.
    pub fn prompt(&self) -> &str {
        self.messages.last().map_or("", |m| m.content.as_str())
    }

    /// Number of tokens to generate.
    pub fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(16)
    }
}

/// State of an answer that is being generated, streamed or not.
pub struct GenerationState {
    /// Engine that generates the answer.
    pub engine: Rc<EngineStandin>,
    /// Counts the request in the engine's batch until it is dropped.
    pub guard: RunGuard,
    /// Body of the request.
    pub request: ChatRequest,
    /// Boot identifier of the engine at the start; the answer is aborted once it changes.
    pub boot_id: u64,
    /// Position of the next token, from 0.
    pub next: u32,
}

/// Streams the answer token by token as server-sent events.
pub fn stream_answer(state: GenerationState) -> Response<HttpBody> {
    let chunks = stream::unfold(Some(state), |state| async move {
        let mut state = state?;
        if state.next > state.request.tokens() {
            return None;
        }
        if state.next == state.request.tokens() {
            state.next += 1;
            return Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), Some(state)));
        }
        if state.next > state.request.resume_tokens {
            compio::time::sleep(state.engine.token_time()).await;
        }
        if state.engine.boot_id.get() != state.boot_id {
            return Some((Err(BodyError::Truncated), None));
        }
        let word = answer_word(state.request.prompt(), state.next);
        state.next += 1;
        let event = json!({"choices": [{"delta": {"content": format!("{word} ")}}]});
        Some((Ok(Bytes::from(format!("data: {event}\n\n"))), Some(state)))
    });
    let mut response = Response::new(stream_body(chunks));
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Generates the complete answer and returns it in one body.
pub async fn whole_answer(state: GenerationState) -> Response<HttpBody> {
    let mut words = Vec::new();
    for position in state.next..state.request.tokens() {
        compio::time::sleep(state.engine.token_time()).await;
        if state.engine.boot_id.get() != state.boot_id {
            return abort_response();
        }
        words.push(answer_word(state.request.prompt(), position));
    }
    drop(state.guard);
    let answer = json!({
        "choices": [{"message": {"role": "assistant", "content": words.join(" ")}}],
        "usage": {"completion_tokens": words.len()},
    });
    json_response(StatusCode::OK, &answer)
}
