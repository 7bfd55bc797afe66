//! What one engine holds, and the orders it gets.

mod engine_order;
mod held_replica;
mod holder_forecast;
mod holder_orders;
mod holder_outcomes;
mod upstream_holder;

pub use engine_order::{EngineHolding, EngineOrder, OrderOutcome};
pub use holder_forecast::ReplicaStatus;
pub use upstream_holder::UpstreamHolder;
