//! HTTP/1 connections kept for further exchanges with one address.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};

use super::unpooled_call::connect;
use super::{HttpBody, NetError};

/// Idle connections kept at most.
const MAX_IDLE: usize = 64;

/// Seconds after which an idle connection is dropped.
const IDLE_S: u64 = 5;

type IdleSender = (SendRequest<HttpBody>, Instant);

/// Keeps connections to one address. For requests whose loss on a connection that went
/// silent is found and mended; others go through [`super::send_unpooled`].
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<IdleSender>>>,
}

impl ConnectionPool {
    /// Opens a pool without connections.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Rc::default(),
        }
    }

    /// Sends a request and returns once the response head is there. The connection is kept
    /// once the body has been read to its end.
    ///
    /// # Errors
    /// [`NetError`] if there is no connection or it breaks.
    pub async fn send(&self, request: Request<HttpBody>) -> Result<Response<Incoming>, NetError> {
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => connect(self.address).await?,
        };
        let response = sender.send_request(request).await;
        let response = response.map_err(NetError::Http)?;
        let idle = Rc::clone(&self.idle);
        compio::runtime::spawn(async move {
            if sender.ready().await.is_ok() && idle.borrow().len() < MAX_IDLE {
                idle.borrow_mut().push((sender, Instant::now()));
            }
        })
        .detach();
        Ok(response)
    }

    fn take_idle(&self) -> Option<SendRequest<HttpBody>> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(sender, since)| {
            !sender.is_closed() && since.elapsed() < Duration::from_secs(IDLE_S)
        });
        idle.pop().map(|(sender, _)| sender)
    }
}
