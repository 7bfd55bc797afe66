//! Typed refusals and their problem documents (RFC 9457).

mod problem_document;
mod refusal_reason;
mod request_refusal;

pub use problem_document::ProblemDocument;
pub use refusal_reason::RefusalReason;
pub use request_refusal::{RefusalOutcome, RequestRefusal};
