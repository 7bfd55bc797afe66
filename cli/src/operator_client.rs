//! HTTP client of an entry's operator API.

use std::net::SocketAddr;

use hyper::Method;
use serde::de::DeserializeOwned;

use crate::errors::ToolError;

/// HTTP statuses whose body is a result rather than a refusal.
const RESULT_STATUSES: [u16; 3] = [200, 409, 422];

/// Client of the operator API of one entry, authorized by an operator or team credential.
pub struct OperatorClient {
    client: cyper::Client,
    base_url: String,
    credential: String,
}

impl OperatorClient {
    /// Creates a client of the entry at the given address.
    ///
    /// # Errors
    /// [`ToolError::Transport`] if the HTTP client cannot be set up.
    pub fn open(entry: SocketAddr, credential: String) -> Result<Self, ToolError> {
        Ok(Self {
            client: cyper::Client::new()?,
            base_url: format!("http://{entry}/ops"),
            credential,
        })
    }

    /// Sends a GET request and decodes the JSON response. `path` is relative to `/ops`.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ToolError> {
        self.call(Method::GET, path, &[], String::new()).await
    }

    /// Sends a request and decodes the JSON response. `path` is relative to `/ops`. The body of a
    /// refusal is printed on stderr.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: String,
    ) -> Result<T, ToolError> {
        let mut request = self
            .client
            .request(method, format!("{}{path}", self.base_url))?
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
