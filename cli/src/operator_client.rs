//! The operators' interface of one entry.

use std::net::SocketAddr;

use hyper::Method;
use serde::de::DeserializeOwned;

use crate::errors::ToolError;

/// Status of an answer that carries a result and not a refusal.
const RESULT_STATUSES: [u16; 3] = [200, 409, 422];

/// Client with an operator's or team's credential.
pub struct OperatorClient {
    client: cyper::Client,
    base: String,
    credential: String,
}

impl OperatorClient {
    /// Opens a client of an entry.
    ///
    /// # Errors
    /// [`ToolError::Transport`] if the HTTP client cannot be set up.
    pub fn open(entry: SocketAddr, credential: String) -> Result<Self, ToolError> {
        Ok(Self {
            client: cyper::Client::new()?,
            base: format!("http://{entry}/ops"),
            credential,
        })
    }

    /// Reads a page.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ToolError> {
        self.call(Method::GET, path, &[], String::new()).await
    }

    /// Sends a change.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: String,
    ) -> Result<T, ToolError> {
        let mut request = self
            .client
            .request(method, format!("{}{path}", self.base))?
            .bearer_auth(&self.credential)?;
        for (name, value) in headers {
            request = request.header(*name, value.as_str())?;
        }
        let response = request.body(body).send().await?;
        let status = response.status().as_u16();
        let bytes = response.bytes().await?;
        if !RESULT_STATUSES.contains(&status) {
            eprintln!("{}", String::from_utf8_lossy(&bytes));
            return Err(ToolError::Refused(status));
        }
        Ok(serde_json::from_slice(&bytes)?)
    }
}
