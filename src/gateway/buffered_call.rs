//! A client request that can be sent more than once.

use std::rc::Rc;

use bytes::Bytes;
use hyper::http::request::Parts;

use super::CallPlan;
use crate::quarantine::RequestFingerprint;

/// A client request with its body buffered, so that it can be sent more than once.
pub struct BufferedCall {
    /// Request head as received, without hop-by-hop headers.
    pub parts: Parts,
    /// The whole body.
    pub body: Bytes,
    /// Route, service and deadlines of the request.
    pub plan: Rc<CallPlan>,
    /// Identical for each copy of the request.
    pub fingerprint: RequestFingerprint,
}
