//! Calls to entries: the operators' interface and a caller's.

mod caller_client;
mod operator_client;

pub use caller_client::{CallOutcome, CallerClient, ChatCall, ServiceCall};
pub use operator_client::OperatorClient;
