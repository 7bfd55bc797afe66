//! HTTP/2 client for the system's own processes.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cyper_core::{CompioExecutor, CompioTimer, HyperStream};
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper::{Request, Response};

use super::tcp_dial::dial;
use super::{HttpBody, NetError};

/// Interval and timeout of pings in milliseconds; a silent connection is detected after both.
const PING_INTERVAL_MS: u64 = 1_000;

/// Timeout in milliseconds for connecting and exchanging the HTTP/2 preface.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Keeps one multiplexed connection to each peer.
#[derive(Debug, Default)]
pub struct PeerClient {
    connections: RefCell<HashMap<SocketAddr, SendRequest<HttpBody>>>,
}

impl PeerClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Sends a request and returns when the response head has arrived.
    ///
    /// # Errors
    /// [`NetError`] if there is no connection or it breaks. Unless
    /// [`PeerClient::was_unsent`] holds, the peer may have seen the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
    ) -> Result<Response<Incoming>, NetError> {
        let mut sender = self.sender(address).await?;
        sender.send_request(request).await.map_err(|error| {
            self.remove_closed(address);
            NetError::Http(error)
        })
    }

    /// Whether the error proves that the peer never saw the request.
    #[must_use]
    pub fn was_unsent(error: &NetError) -> bool {
        match error {
            NetError::Socket(_) | NetError::Request(_) | NetError::ConnectTimeout(_) => true,
            NetError::Http(error) => error.is_canceled(),
        }
    }

    async fn sender(&self, address: SocketAddr) -> Result<SendRequest<HttpBody>, NetError> {
        self.remove_closed(address);
        if let Some(sender) = self.connections.borrow().get(&address) {
            return Ok(sender.clone());
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let sender = compio::time::timeout(limit, connect(address))
            .await
            .map_err(|_| NetError::ConnectTimeout(CONNECT_TIMEOUT_MS))??;
        self.connections
            .borrow_mut()
            .insert(address, sender.clone());
        Ok(sender)
    }

    fn remove_closed(&self, address: SocketAddr) {
        let mut connections = self.connections.borrow_mut();
        if connections
            .get(&address)
            .is_some_and(SendRequest::is_closed)
        {
            connections.remove(&address);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<HttpBody>, NetError> {
    let stream = dial(address).await?;
    let (sender, connection) = http2::Builder::new(CompioExecutor)
        .timer(CompioTimer)
        .keep_alive_interval(Duration::from_millis(PING_INTERVAL_MS))
        .keep_alive_timeout(Duration::from_millis(PING_INTERVAL_MS))
        .keep_alive_while_idle(true)
        .handshake(HyperStream::new_plain(stream))
        .await
        .map_err(NetError::Http)?;
    compio::runtime::spawn(async move {
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}
