//! The agent: the process that runs next to one upstream. It queues requests, keeps run
//! records, loads models and takes part in placement planning.

mod adapter_limiter;
mod admission_controller;
mod agent_context;
mod agent_handle;
mod agent_rpc;
mod agent_server;
mod answer_relay;
mod attempt_registry;
mod dispatch_controller;
mod engine_monitor;
mod engine_run;
mod engine_view;
mod lease_controller;
mod order_controller;
mod permit_broker;
mod permit_controller;
mod planner_controller;
mod record_sweeper;
mod report_controller;
mod run_controller;
mod run_recorder;
mod service_run;
mod slot_controller;

pub use agent_handle::AgentHandle;
pub use attempt_registry::{AttemptRegistry, AttemptStatus};
pub use record_sweeper::sweep_shard;
pub use run_recorder::{RunRecorder, StartVerdict, VoidVerdict, void_attempt};
