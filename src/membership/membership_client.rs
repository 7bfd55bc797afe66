//! Reads the list of instances over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use super::{MemberEntry, MembershipError};

/// Client of the service that lists the platform's instances.
#[derive(Debug, Clone)]
pub struct MembershipClient {
    client: cyper::Client,
    url: String,
    timeout_ms: u64,
}

impl MembershipClient {
    /// Opens a client.
    ///
    /// # Errors
    /// [`MembershipError::Transport`] if the HTTP client cannot be set up.
    pub fn open(address: SocketAddr, timeout_ms: u64) -> Result<Self, MembershipError> {
        Ok(Self {
            client: cyper::Client::new().map_err(MembershipError::Transport)?,
            url: format!("http://{address}/members"),
            timeout_ms,
        })
    }

    /// Reads the list.
    ///
    /// # Errors
    /// [`MembershipError`] if the list cannot be read in time.
    pub async fn read(&self) -> Result<Vec<MemberEntry>, MembershipError> {
        let limit = Duration::from_millis(self.timeout_ms);
        compio::time::timeout(limit, self.read_without_timeout())
            .await
            .map_err(|_| MembershipError::Timeout(self.timeout_ms))?
            .map_err(MembershipError::Transport)
    }

    async fn read_without_timeout(&self) -> Result<Vec<MemberEntry>, cyper::Error> {
        let response = self.client.get(&self.url)?.send().await?;
        response.json().await
    }
}
