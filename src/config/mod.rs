//! The daemon's own settings file.

mod daemon_config;
mod decimal_value;
mod errors;

pub use daemon_config::{
    AgentConfig, DaemonConfig, DaemonRole, EntryConfig, GatewayConfig, NodeConfig, RoleConfig,
    UpstreamKind,
};
pub use decimal_value::{DecimalError, DecimalValue};
pub use errors::ConfigError;
