//! Which upstream may hold which replica, and what it loads within that right.

mod demand_tracker;
mod placement_planner;
mod placement_row;
mod planner_input;
mod residency_policy;
mod upstream_holder;

pub use demand_tracker::DemandTracker;
pub use placement_planner::{PlacementChange, PlacementPlanner};
pub use placement_row::{PLACEMENT_PREFIX, PlacementRow, SlotGrant, SlotState, partition_of};
pub use planner_input::{PlannerInput, ReplicaDemand, UpstreamView};
pub use residency_policy::{HoldingPolicy, ResidencyPolicy};
pub use upstream_holder::{
    EngineHolding, EngineOrder, OrderOutcome, ReplicaStatus, UpstreamHolder,
};
