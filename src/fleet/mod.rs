//! The fleet as the platform describes it: routes, services, models and upstreams.

mod fleet_catalog;
mod fleet_source;
mod model_need;
mod route_rule;
mod service_config;
mod upstream_entry;
mod upstream_roster;

pub use fleet_catalog::{CallerLimits, FleetCatalog};
pub use fleet_source::{
    AnswerSize, CatalogUpdate, FeedVersion, FleetSource, SourceError, UpstreamChange,
    UpstreamUpdate,
};
pub use model_need::ModelNeed;
pub use route_rule::{RouteKind, RouteRule, WeightedService};
pub use service_config::{EngineConfig, ModelConfig, ServiceConfig};
pub use upstream_entry::{HeldModel, UpstreamEntry, UpstreamPhase};
pub use upstream_roster::{RosterChange, UpstreamKey, UpstreamRoster};
