//! The entry role, which callers connect to: authenticates, routes, retries and answers requests.

mod agent_registry;
mod attempt_sender;
mod caller_response;
mod dispatcher;
mod entry_context;
mod entry_handle;
mod entry_rpc;
mod entry_server;
mod filters;
mod lost_attempt;
mod quarantine_controller;
mod request_draft;
mod settings_api;
mod settings_editor;
mod status_page;
mod stream_relay;

pub use agent_registry::{AgentRegistry, EntryLocation, RequestNeeds};
pub use entry_handle::EntryHandle;
pub use settings_editor::{ApplyOutcome, SettingsConflict};
pub use status_page::{AgentStatus, EntryStatus, LeaseStatus};
