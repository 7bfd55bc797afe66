//! Placement: which upstream is granted which replica slots, and what it loads within them.

mod demand_tracker;
mod placement_planner;
mod placement_row;
mod planner_input;
mod residency;
mod residency_policy;

pub use demand_tracker::DemandTracker;
pub use placement_planner::{PlacementChange, PlacementPlanner};
pub use placement_row::{PLACEMENT_PREFIX, PlacementRow, SlotGrant, SlotState, partition_of};
pub use planner_input::{PlannerInput, ReplicaDemand, UpstreamView};
pub use residency::{EngineHolding, EngineOrder, OrderOutcome, ReplicaStatus, ResidencyManager};
pub use residency_policy::{HoldingPolicy, ResidencyPolicy};
