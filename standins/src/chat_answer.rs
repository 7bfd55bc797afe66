//! Chat requests to an engine stand-in, and its answers.

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

/// A chat request.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatRequest {
    /// The model at a version.
    pub model: ReplicaName,
    /// The adapter as the engine names it.
    pub adapter: Option<String>,
    messages: Vec<ChatMessage>,
    /// Whether the answer is a stream.
    #[serde(default)]
    pub stream: bool,
    max_tokens: Option<u32>,
    /// Tokens of the answer that the asker already has.
    #[serde(default)]
    pub resume_tokens: u32,
}

impl ChatRequest {
    /// The last message.
    pub fn prompt(&self) -> &str {
        self.messages.last().map_or("", |m| m.content.as_str())
    }

    /// Tokens asked for.
    pub fn tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(16)
    }
}

/// A streamed answer under way.
pub struct GenerationState {
    /// The engine.
    pub engine: Rc<EngineStandin>,
    /// Its place in the batch.
    pub guard: RunGuard,
    /// The request.
    pub request: ChatRequest,
    /// Start of the engine that began it.
    pub boot_id: u64,
    /// Position of the next token.
    pub next: u32,
}

/// Answers token by token.
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
            return Some((Err(BodyError::Cut), None));
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

/// Answers all at once.
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
