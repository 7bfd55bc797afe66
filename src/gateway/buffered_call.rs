//! A client request that can be sent more than once.

use std::rc::Rc;

use bytes::Bytes;
use hyper::http::request::Parts;

use super::{CallPlan, LargeCallGuard};
use crate::net::BufferLease;
use crate::quarantine::{RequestFingerprint, RequestSuspects};

/// A client request with its body buffered, so that it can be sent more than once.
pub struct BufferedCall {
    /// Request head as received, without hop-by-hop headers.
    pub parts: Parts,
    /// The whole body.
    pub body: Bytes,
    /// Route, service and deadlines of the request.
    pub plan: Rc<CallPlan>,
    /// Memory of the body.
    pub _memory: BodyMemory,
    /// Identical for each copy of the request.
    pub fingerprint: RequestFingerprint,
}

impl BufferedCall {
    /// What of the request may be at fault if an upstream crashes.
    pub fn suspects(&self) -> RequestSuspects<'_> {
        self.plan.suspects(self.fingerprint)
    }
}

/// Memory that the body of a request takes; dropping it returns the memory.
#[derive(Debug)]
pub struct BodyMemory {
    /// Part of the process's budget for messages.
    pub _lease: BufferLease,
    /// Set for a large body.
    pub _large: Option<LargeCallGuard>,
}
