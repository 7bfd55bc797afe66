//! JSON-RPC client to one peer.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use jsonrpsee::core::client::{BatchResponse, ClientT, Error};
use jsonrpsee::core::params::BatchRequestBuilder;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::types::{Id, Request as RpcRequest, Response as RpcResponse, ResponseSuccess};
use send_wrapper::SendWrapper;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::net::{BufferBudget, BufferPurpose, PeerClient, full_body, read_body, read_leased};

/// Largest JSON-RPC response in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Calls the control interface of one peer.
#[derive(Clone)]
pub struct PeerRpc {
    client: SendWrapper<Rc<PeerClient>>,
    address: SocketAddr,
    timeout_ms: u64,
    /// Memory for responses; `None` if nothing limits their sum.
    buffers: Option<SendWrapper<Rc<BufferBudget>>>,
}

impl PeerRpc {
    /// Creates a client for the peer at `address`; each call takes at most `timeout_ms`.
    #[must_use]
    pub fn open(client: Rc<PeerClient>, address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            client: SendWrapper::new(client),
            address,
            timeout_ms,
            buffers: None,
        }
    }

    /// Holds responses within a budget.
    #[must_use]
    pub fn within(mut self, buffers: Rc<BufferBudget>) -> Self {
        self.buffers = Some(SendWrapper::new(buffers));
        self
    }

    async fn call<R: DeserializeOwned>(
        &self,
        method: &str,
        params: Option<Box<RawValue>>,
    ) -> Result<R, Error> {
        let limit = Duration::from_millis(self.timeout_ms);
        compio::time::timeout(limit, self.call_without_timeout(method, params))
            .await
            .map_err(|_| Error::RequestTimeout)?
    }

    async fn call_without_timeout<R: DeserializeOwned>(
        &self,
        method: &str,
        params: Option<Box<RawValue>>,
    ) -> Result<R, Error> {
        let message = RpcRequest::borrowed(method, params.as_deref(), Id::Number(0));
        let text = serde_json::to_vec(&message)?;
        let request = Request::post(format!("http://{}/rpc", self.address))
            .body(full_body(text))
            .map_err(|error| Error::Transport(Box::new(error)))?;
        let response = self
            .client
            .send(self.address, request)
            .await
            .map_err(|error| Error::Transport(error.to_string().into()))?;
        let (body, limit_ms) = (response.into_body(), self.timeout_ms);
        let buffers = self.buffers.as_ref();
        let mut lease = buffers.map(|buffers| buffers.lease(BufferPurpose::Control));
        let read = match &mut lease {
            Some(lease) => read_leased(body, MAX_RESPONSE_BYTES, limit_ms, lease).await,
            None => read_body(body, MAX_RESPONSE_BYTES, limit_ms).await,
        };
        let body = read.map_err(|error| Error::Transport(Box::new(error)))?;
        let reply: RpcResponse<'_, Box<RawValue>> = serde_json::from_slice(&body)?;
        let success = ResponseSuccess::try_from(reply)?;
        Ok(serde_json::from_str(success.result.get())?)
    }
}

impl ClientT for PeerRpc {
    fn notification<Params>(
        &self,
        method: &str,
        params: Params,
    ) -> impl Future<Output = Result<(), Error>> + Send
    where
        Params: ToRpcParams + Send,
    {
        SendWrapper::new(async move {
            let params = params.to_rpc_params()?;
            self.call::<serde_json::Value>(method, params).await?;
            Ok(())
        })
    }

    fn request<R, Params>(
        &self,
        method: &str,
        params: Params,
    ) -> impl Future<Output = Result<R, Error>> + Send
    where
        R: DeserializeOwned,
        Params: ToRpcParams + Send,
    {
        SendWrapper::new(async move {
            let params = params.to_rpc_params()?;
            self.call(method, params).await
        })
    }

    async fn batch_request<'a, R>(
        &self,
        _batch: BatchRequestBuilder<'a>,
    ) -> Result<BatchResponse<'a, R>, Error>
    where
        R: DeserializeOwned + std::fmt::Debug + 'a,
    {
        Err(Error::HttpNotImplemented)
    }
}
