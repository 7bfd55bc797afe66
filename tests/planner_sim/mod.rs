//! A fleet of engines without sockets.

mod engine_fleet;
pub mod sim_engine;

pub use engine_fleet::{EngineFleet, FleetSetup, rare_models};
