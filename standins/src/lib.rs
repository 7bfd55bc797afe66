//! Small stand-ins for the external systems that quetzalpin uses, served over real sockets.
//!
//! Each can be made slow, be taken down, or lose responses after the request took effect.

mod caller_client;
mod campaign;
mod chat_answer;
mod daemon_process;
mod engine_audit;
mod engine_options;
mod engine_standin;
mod errors;
mod fault_proxy;
mod fault_switch;
mod member_list;
mod platform_standin;
mod prefix_cache;
mod process_fleet;
mod prompt_words;
mod service_standin;
mod small_fleet;
mod standin_fleet;
mod table_standin;
mod weight_store;

pub use caller_client::{CallOutcome, CallerClient, ChatCall, ServiceCall};
pub use campaign::{CampaignOptions, CampaignReport, GuaranteeCheck, run_campaign};
pub use daemon_process::DaemonProcess;
pub use engine_audit::{EngineAudit, HoldingChange};
pub use engine_options::EngineOptions;
pub use engine_standin::EngineStandin;
pub use errors::StandinError;
pub use fault_proxy::FaultProxy;
pub use fault_switch::{FaultConfig, FaultSwitch};
pub use member_list::MemberList;
pub use platform_standin::{PlatformStandin, StandinHandle};
pub use prefix_cache::{CacheEvent, PrefixCache};
pub use process_fleet::{ProcessFleet, fleet_ip};
pub use prompt_words::{POISON_WORD, answer_word};
pub use service_standin::{ServiceAudit, ServiceOptions, ServiceStandin};
pub use small_fleet::{
    SMALL_CREDENTIAL, SMALL_MODEL_COUNT, SMALL_TEAM_TEXT, small_plan, small_root_text, small_stamp,
};
pub use standin_fleet::{
    FleetPlan, OPERATOR_CREDENTIAL, StandinFleet, UpstreamPlan, UpstreamStandin, any_port,
    default_agent,
};
pub use table_standin::TableStandin;
pub use weight_store::{WeightLimits, WeightStore};
