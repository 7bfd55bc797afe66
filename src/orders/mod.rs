//! Model placement: one planner decides which upstream loads and unloads which models.

mod adapter_orders;
mod demand_aggregator;
mod engine_control;
mod engine_facts;
mod load_forecast;
mod load_option;
mod load_purpose;
mod load_queue;
mod load_value;
mod model_orders;
mod order_planner;
mod order_state;
mod placement_update;
mod planner_action;
mod planner_policy;
mod room_shortage;
mod short_room;
mod store_capacity;
mod tick_index;
mod upstream_report;
mod upstream_state;

pub use demand_aggregator::{
    ArrivedRequests, DemandAggregator, EntryDemand, RunningRequests, WaitingRequests,
};
pub use engine_control::{
    EngineControl, EngineOrder, EngineReport, OrderAnswer, OrderFailure, OrderVerb, ReportFailure,
    UpstreamTarget,
};
pub use order_planner::OrderPlanner;
pub use order_state::{LoadSource, OrderState, RunningOrder};
pub use placement_update::{PlacementUpdate, UpstreamHoldings};
pub use planner_action::{OrderBasis, PlannerAction};
pub use planner_policy::PlannerPolicy;
pub use room_shortage::is_room_short;
pub use store_capacity::StoreCapacity;
pub use upstream_state::UpstreamState;
