//! HTTP/1 exchanges that each use a new connection.

use std::net::SocketAddr;

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};

use super::head_limit::{HeadGate, HeadLimit};
use super::tcp_dial::dial;
use super::{HttpBody, NetError};

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
    /// [`NetError::Http`] if the handshake fails; nothing was sent then.
    pub async fn open(
        stream: TcpStream,
    ) -> Result<
        (
            Self,
            Connection<HeadLimit<HyperStream<TcpStream>>, HttpBody>,
        ),
        NetError,
    > {
        let (limited, gate) = HeadLimit::open(HyperStream::new_plain(stream));
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

/// Sends a request on a new connection and returns when the response head has arrived. A
/// reused connection may have gone silent since its last exchange, or still deliver a late copy
/// of an earlier response; a new one does neither.
///
/// # Errors
/// [`NetError::Socket`] or [`NetError::ConnectTimeout`] if nothing was sent, else
/// [`NetError::Http`].
pub async fn send_unpooled(
    address: SocketAddr,
    mut request: Request<HttpBody>,
) -> Result<Response<Incoming>, NetError> {
    let (exchange, connection) = OpenExchange::open(dial(address).await?).await?;
    compio::runtime::spawn(async move {
        // An error also shows in the response or its body.
        let _ = connection.await;
    })
    .detach();
    let close = HeaderValue::from_static("close");
    request.headers_mut().insert(CONNECTION, close);
    exchange.send(request).await
}
