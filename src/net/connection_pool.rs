//! Pool of idle HTTP/1 connections to one address.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};

use super::unpooled_call::connect;
use super::{HttpBody, NetError};

/// Largest number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Seconds after which an idle connection is dropped.
const IDLE_TIMEOUT_S: u64 = 5;

type IdleSender = (SendRequest<HttpBody>, Instant);

/// Reuses connections to one address. Only for requests whose loss on a connection that went
/// silent is detected and repaired; others go through [`super::send_unpooled`].
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<IdleSender>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Rc::default(),
        }
    }

    /// Sends a request and returns when the response head has arrived. The connection returns
    /// to the pool once the body has been read to its end.
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
            if sender.ready().await.is_ok() && idle.borrow().len() < MAX_IDLE_CONNECTIONS {
                idle.borrow_mut().push((sender, Instant::now()));
            }
        })
        .detach();
        Ok(response)
    }

    fn take_idle(&self) -> Option<SendRequest<HttpBody>> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(sender, since)| {
            !sender.is_closed() && since.elapsed() < Duration::from_secs(IDLE_TIMEOUT_S)
        });
        idle.pop().map(|(sender, _)| sender)
    }
}
