//! HTTP client that sends requests to one entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::{StreamExt, pin_mut};
use quetzalpin::refusal::ProblemDocument;
use serde_json::json;

use crate::errors::StandinError;

/// Chat request as a client sends it.
#[derive(Debug, Clone)]
pub struct ChatCall {
    /// The team's credential.
    pub credential: String,
    /// Kind of work, sent as `x-work-kind`.
    pub kind: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if any.
    pub adapter: Option<String>,
    /// Text of the only message.
    pub prompt: String,
    /// Number of tokens to generate, sent as `max_tokens`.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Deadline in milliseconds; the default of the kind if absent.
    pub deadline_ms: Option<u64>,
    /// Identifier of the request; the entry chooses one if empty.
    pub id: String,
}

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The team's credential.
    pub credential: String,
    /// Kind of work.
    pub kind: String,
    /// Path after `/svc/`.
    pub path: String,
    /// Idempotency key; a resend uses the same key.
    pub key: String,
    /// JSON body.
    pub body: String,
    /// Deadline in milliseconds; the kind's own applies if `None`.
    pub deadline_ms: Option<u64>,
    /// Identifier of the request; the entry chooses one if empty.
    pub id: String,
}

/// Response as the caller received it.
#[derive(Debug, Clone)]
pub struct CallOutcome {
    /// HTTP status.
    pub status: u16,
    /// Identifier of the request.
    pub id: String,
    /// Body as text, up to the point where the connection broke.
    pub text: String,
    /// Whether the body arrived completely.
    pub is_whole: bool,
    /// Time from sending the request to the first chunk of the body; `total` if the body is
    /// empty.
    pub first: Duration,
    /// Time from sending the request to the end of the body.
    pub total: Duration,
}

impl CallOutcome {
    /// Whether the status is 200 and the body is complete.
    #[must_use]
    pub const fn is_answer(&self) -> bool {
        self.status == 200 && self.is_whole
    }

    /// The typed refusal, if the body holds one.
    #[must_use]
    pub fn refusal(&self) -> Option<ProblemDocument> {
        serde_json::from_str(&self.text).ok()
    }
}

/// HTTP client with its own connections to one daemon.
#[derive(Debug, Clone)]
pub struct CallerClient {
    client: cyper::Client,
    base_url: String,
}

impl CallerClient {
    /// Opens a client of the daemon at an address.
    ///
    /// # Errors
    /// [`StandinError::Client`] if the HTTP client cannot be set up.
    pub fn open(address: SocketAddr) -> Result<Self, StandinError> {
        Ok(Self {
            client: cyper::Client::new()?,
            base_url: format!("http://{address}"),
        })
    }

    /// Sends a chat request and reads the response to its end.
    ///
    /// # Errors
    /// [`StandinError::Client`] if no response headers arrive.
    pub async fn chat(&self, call: &ChatCall) -> Result<CallOutcome, StandinError> {
        let mut body = json!({
            "model": call.model,
            "messages": [{"role": "user", "content": call.prompt}],
            "max_tokens": call.tokens,
            "stream": call.stream,
        });
        if let Some(adapter) = &call.adapter {
            body["adapter"] = json!(adapter);
        }
        let mut request = self
            .client
            .post(format!("{}/v1/chat/completions", self.base_url))?
            .bearer_auth(&call.credential)?
            .header("x-work-kind", call.kind.as_str())?
            .header("x-request-id", call.id.as_str())?;
        if let Some(deadline_ms) = call.deadline_ms {
            request = request.header("x-deadline-ms", deadline_ms.to_string())?;
        }
        read_outcome(request.body(body.to_string())).await
    }

    /// Calls a plain service and reads the response to its end.
    ///
    /// # Errors
    /// [`StandinError::Client`] if no response headers arrive.
    pub async fn service(&self, call: &ServiceCall) -> Result<CallOutcome, StandinError> {
        let mut request = self
            .client
            .post(format!("{}/svc/{}", self.base_url, call.path))?
            .bearer_auth(&call.credential)?
            .header("x-work-kind", call.kind.as_str())?
            .header("idempotency-key", call.key.as_str())?
            .header("x-request-id", call.id.as_str())?
            .header("content-type", "application/json")?;
        if let Some(deadline_ms) = call.deadline_ms {
            request = request.header("x-deadline-ms", deadline_ms.to_string())?;
        }
        read_outcome(request.body(call.body.clone())).await
    }
}

async fn read_outcome(request: cyper::RequestBuilder) -> Result<CallOutcome, StandinError> {
    let started_at = Instant::now();
    let response = request.send().await?;
    let status = response.status().as_u16();
    let id = response.headers().get("x-request-id");
    let id = id.and_then(|value| value.to_str().ok());
    let id = id.unwrap_or_default().to_owned();
    let chunks = response.bytes_stream();
    pin_mut!(chunks);
    let mut first = None;
    let mut text = Vec::new();
    let mut is_whole = true;
    while let Some(chunk) = chunks.next().await {
        first.get_or_insert_with(|| started_at.elapsed());
        if let Ok(data) = chunk {
            text.extend_from_slice(&data);
        } else {
            is_whole = false;
            break;
        }
    }
    let total = started_at.elapsed();
    Ok(CallOutcome {
        status,
        id,
        text: String::from_utf8_lossy(&text).into_owned(),
        is_whole,
        first: first.unwrap_or(total),
        total,
    })
}
