//! What one engine holds, and the orders it gets.

mod engine_order;
mod held_replica;
mod residency_forecast;
mod residency_manager;
mod residency_orders;
mod residency_outcomes;

pub use engine_order::{EngineHolding, EngineOrder, OrderOutcome};
pub use residency_forecast::ReplicaStatus;
pub use residency_manager::ResidencyManager;
