//! HTTP/1 exchanges that each use a new connection.

use std::net::SocketAddr;

use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};

use super::head_limit::{HeadGate, HeadLimit};
use super::socket_stream::SocketStream;
use super::tcp_dial::dial;
use super::{HttpBody, NetError, socket_options};

/// Largest response head in bytes, and size of the buffer for unread parts of a body.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// An HTTP/1 connection before its only request.
pub struct OpenExchange {
    sender: SendRequest<HttpBody>,
    gate: HeadGate,
}

impl OpenExchange {
    /// Performs the handshake. The returned connection must be polled for the exchange to go on.
    ///
    /// # Errors
    /// [`NetError::Socket`] or [`NetError::Http`] if the handshake fails; nothing was sent then.
    pub async fn open(
        stream: &TcpStream,
    ) -> Result<(Self, Connection<HeadLimit<SocketStream>, HttpBody>), NetError> {
        let socket = SocketStream::open(stream).map_err(NetError::Socket)?;
        let (limited, gate) = HeadLimit::open(socket);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(limited)
            .await
            .map_err(NetError::Http)?;
        Ok((Self { sender, gate }, connection))
    }

    /// Sends the request and returns when the response head has arrived.
    ///
    /// # Errors
    /// [`NetError::Http`] if the connection breaks or the peer sends no valid response head.
    pub async fn send(
        mut self,
        request: Request<HttpBody>,
    ) -> Result<Response<Incoming>, NetError> {
        let response = self.sender.send_request(request).await;
        let response = response.map_err(NetError::Http)?;
        self.gate.open();
        Ok(response)
    }
}

/// The connection of an exchange that is not complete. Dropping it resets the connection: what the
/// kernel still holds of the request is not sent any more.
#[derive(Debug)]
pub struct ExchangeGuard {
    socket: TcpStream,
    is_complete: bool,
    /// `None` once the connection goes on by itself.
    driver: Option<JoinHandle<()>>,
}

impl ExchangeGuard {
    /// Ends the connection without a reset, because the whole response was read.
    pub fn complete(mut self) {
        self.is_complete = true;
    }

    /// Lets the connection go on until its response ends or is dropped.
    fn detach(mut self) {
        self.is_complete = true;
        if let Some(driver) = self.driver.take() {
            driver.detach();
        }
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            socket_options::reset_on_close(&self.socket);
        }
    }
}

/// Sends a request on a new connection and returns when the response head has arrived. A
/// reused connection may have gone silent since its last exchange, or still deliver a late copy
/// of an earlier response; a new one does neither.
///
/// # Errors
/// [`NetError::Socket`] or [`NetError::ConnectTimeout`] if nothing was sent, else
/// [`NetError::Http`].
pub async fn send_unpooled(
    address: SocketAddr,
    request: Request<HttpBody>,
) -> Result<Response<Incoming>, NetError> {
    let (response, guard) = send_guarded(address, request).await?;
    guard.detach();
    Ok(response)
}

/// Sends a request on a new connection like [`send_unpooled`]. The connection is reset if the call, or
/// the guard that it returns, is dropped before the exchange is complete.
///
/// # Errors
/// As [`send_unpooled`].
pub async fn send_guarded(
    address: SocketAddr,
    mut request: Request<HttpBody>,
) -> Result<(Response<Incoming>, ExchangeGuard), NetError> {
    let stream = dial(address).await?;
    let (exchange, connection) = OpenExchange::open(&stream).await?;
    let guard = ExchangeGuard {
        socket: stream,
        is_complete: false,
        driver: Some(compio::runtime::spawn(async move {
            // An error also shows in the response or its body.
            let _ = connection.await;
        })),
    };
    let close = HeaderValue::from_static("close");
    request.headers_mut().insert(CONNECTION, close);
    let response = exchange.send(request).await?;
    Ok((response, guard))
}
