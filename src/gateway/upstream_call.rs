//! One HTTP/1 exchange with an upstream on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use compio::runtime::JoinHandle;
use cyper_core::HyperStream;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};

use crate::net::{HttpBody, NetError, dial};

/// Keeps an upstream's connection open; dropping it closes the connection, which tells the
/// upstream to stop work.
#[derive(Debug)]
pub struct UpstreamLine {
    _driver: JoinHandle<()>,
}

/// Why an exchange brought no answer.
#[derive(Debug)]
pub enum CallFailure {
    /// No connection was made; the request never left.
    Unsent(NetError),
    /// The request may have run.
    Lost(NetError),
    /// No answer came in time; the request may have run.
    TimedOut,
}

/// Sends a request and returns once the head of the answer is there.
pub async fn call_upstream(
    address: SocketAddr,
    request: Request<HttpBody>,
    connect_ms: u64,
    answer_ms: u64,
) -> Result<(Response<Incoming>, UpstreamLine), CallFailure> {
    let limit = Duration::from_millis(connect_ms);
    let stream = compio::time::timeout(limit, dial(address))
        .await
        .map_err(|_| CallFailure::Unsent(NetError::ConnectTimeout(connect_ms)))?
        .map_err(CallFailure::Unsent)?;
    let (mut sender, connection) = http1::handshake(HyperStream::new_plain(stream))
        .await
        .map_err(|error| CallFailure::Unsent(NetError::Http(error)))?;
    let driver = compio::runtime::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "connection to an upstream ended");
        }
    });
    let line = UpstreamLine { _driver: driver };
    let limit = Duration::from_millis(answer_ms);
    let answering = compio::time::timeout(limit, sender.send_request(request));
    match answering.await {
        Ok(Ok(response)) => Ok((response, line)),
        Ok(Err(error)) => Err(CallFailure::Lost(NetError::Http(error))),
        Err(_) => Err(CallFailure::TimedOut),
    }
}
