//! The gateway: an entry that forwards requests directly to upstreams. The gateway that holds the
//! planner lease also plans which models the engines load.

mod buffered_call;
mod call_attempt;
mod call_flow;
mod call_guard;
mod call_plan;
mod call_refusal;
mod control_server;
mod crash_probe;
mod feed_watch;
mod fleet_follower;
mod front_server;
mod gateway_context;
mod gateway_handle;
mod header_codec;
mod load_tracker;
mod part_store;
mod part_watch;
mod placement_view;
mod planner_host;
mod planner_lease;
mod planner_link;
mod planner_orders;
mod planner_server;
mod prompt_admission;
mod stream_relay;
mod takeover_delay;
mod upstream_call;
mod upstream_choice;
mod upstream_stream;
mod wait_registry;
mod watched_feed;

pub use call_plan::CallPlan;
pub use feed_watch::FeedWatch;
pub use gateway_context::{GatewayContext, GatewayPorts};
pub use gateway_handle::GatewayHandle;
pub use header_codec::{
    AnswerHead, AttemptHead, CallHead, HeaderCodec, PromptPart, UpstreamNotice,
};
pub use load_tracker::{AttemptResult, LoadTracker};
pub use placement_view::PlacementView;
pub use prompt_admission::PromptAdmission;
pub use takeover_delay::{age_delay_ms, capacity_delay_ms};
pub use upstream_choice::{ChoiceInput, UpstreamChoice, choose_upstream};
pub use wait_registry::WaitRegistry;
pub use watched_feed::WatchedFeed;
