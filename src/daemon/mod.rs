//! Start and shutdown of daemons, logging, and parts that the roles share.

mod broadcast_signal;
mod common_routes;
mod crash_records;
mod daemon_handle;
mod errors;
mod line_writer;
mod log_line;
mod logging;
mod metered_table;
mod node_context;
mod node_loops;
mod settings_pull;
mod wake_signal;

pub use broadcast_signal::BroadcastSignal;
pub use common_routes::{bearer_token, common_route, decision_page, text_response};
pub use crash_records::{delete_crash, store_crash};
pub use daemon_handle::DaemonHandle;
pub use errors::DaemonError;
pub use line_writer::LineWriter;
pub use log_line::log_line;
pub use logging::open_logging;
pub use metered_table::MeteredTable;
pub use node_context::NodeContext;
pub use node_loops::spawn_node_loops;
pub use settings_pull::pull_settings;
pub use wake_signal::WakeSignal;
