//! One HTTP/1 exchange with an upstream on a dedicated connection.

use std::net::SocketAddr;
use std::time::Duration;

use compio::runtime::JoinHandle;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::net::{HttpBody, NetError, OpenExchange, dial};

/// Keeps the connection to an upstream open; dropping it closes the connection, which tells the
/// upstream to stop the work.
#[derive(Debug)]
pub struct UpstreamConnection {
    _driver: JoinHandle<()>,
}

/// Why a request got no response.
#[derive(Debug)]
pub enum CallFailure {
    /// The connection failed; the request was not sent.
    Unsent(NetError),
    /// The connection broke before the response; the request may have run.
    Lost(NetError),
    /// No response before the timeout; the request may have run.
    TimedOut,
}

/// Sends a request and returns when the response head has arrived.
pub async fn call_upstream(
    address: SocketAddr,
    request: Request<HttpBody>,
    connect_ms: u64,
    answer_ms: u64,
) -> Result<(Response<Incoming>, UpstreamConnection), CallFailure> {
    let limit = Duration::from_millis(connect_ms);
    let stream = compio::time::timeout(limit, dial(address))
        .await
        .map_err(|_| CallFailure::Unsent(NetError::ConnectTimeout(connect_ms)))?
        .map_err(CallFailure::Unsent)?;
    let (exchange, connection) = OpenExchange::open(&stream)
        .await
        .map_err(CallFailure::Unsent)?;
    let driver = compio::runtime::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "upstream connection ended with an error");
        }
    });
    let upstream_connection = UpstreamConnection { _driver: driver };
    let limit = Duration::from_millis(answer_ms);
    match compio::time::timeout(limit, exchange.send(request)).await {
        Ok(Ok(response)) => Ok((response, upstream_connection)),
        Ok(Err(error)) => Err(CallFailure::Lost(error)),
        Err(_) => Err(CallFailure::TimedOut),
    }
}
