//! The daemon's own settings file.

mod daemon_config;
mod errors;

pub use daemon_config::{
    AgentConfig, DaemonConfig, DaemonRole, EntryConfig, GatewayConfig, NodeConfig, RoleConfig,
    UpstreamKind,
};
pub use errors::ConfigError;
