//! The daemon's own settings file.

mod account_settings;
mod client_limits;
mod daemon_config;
mod decimal_value;
mod errors;

pub use account_settings::{AccountSettings, UnitCount};
pub use client_limits::ClientLimits;
pub use daemon_config::{
    AgentConfig, DaemonConfig, DaemonRole, EntryConfig, GatewayConfig, NodeConfig, RoleConfig,
    UpstreamKind,
};
pub use decimal_value::{DecimalError, DecimalValue};
pub use errors::ConfigError;
