//! HTTP/1 exchanges that each use a new connection.

use std::net::SocketAddr;

use cyper_core::HyperStream;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};

use super::tcp_dial::dial;
use super::{HttpBody, NetError};

/// Connects and performs the HTTP/1 handshake.
pub(super) async fn connect(address: SocketAddr) -> Result<SendRequest<HttpBody>, NetError> {
    let stream = dial(address).await?;
    let (sender, connection) = http1::handshake(HyperStream::new_plain(stream))
        .await
        .map_err(NetError::Http)?;
    compio::runtime::spawn(async move {
        let _ = connection.await;
    })
    .detach();
    Ok(sender)
}

/// Sends a request on a new connection and returns when the response head has arrived. A
/// pooled connection may have gone silent since its last exchange; a new one has not.
///
/// # Errors
/// [`NetError::Socket`] or [`NetError::ConnectTimeout`] if nothing was sent, else
/// [`NetError::Http`].
pub async fn send_unpooled(
    address: SocketAddr,
    mut request: Request<HttpBody>,
) -> Result<Response<Incoming>, NetError> {
    let mut sender = connect(address).await?;
    let close = HeaderValue::from_static("close");
    request.headers_mut().insert(CONNECTION, close);
    sender.send_request(request).await.map_err(NetError::Http)
}
