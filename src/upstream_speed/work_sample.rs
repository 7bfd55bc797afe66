//! Measurements of an upstream's work.

use crate::prelude::*;

/// Work whose duration is compared between upstreams. Models differ by a factor of up to 9 in the
/// time per event, so each has a norm of its own.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WorkClass {
    /// The service.
    pub service: ServiceName,
    /// The model; `None` at plain services.
    pub model: Option<ModelName>,
    /// Whether the time is that of one event of a stream; otherwise it is that of a whole request.
    pub is_stream: bool,
}

/// Duration of one piece of work at an upstream.
#[derive(Debug, Clone, Copy)]
pub struct WorkSample<'a> {
    /// The kind of work.
    pub class: &'a WorkClass,
    /// Number of requests that ran beside it.
    pub load: u32,
    /// Milliseconds for each event, or for the request.
    pub work_ms: f64,
}
