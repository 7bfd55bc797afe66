//! Cases of the integration tests with real daemon processes.

mod crash_cases;
mod fault_case;
mod input_cases;
mod membership_cases;
mod outage_cases;
mod settings_cases;
mod stamp_cases;

pub use crash_cases::{
    a_crashing_request_is_quarantined, a_lost_engine_connection_is_not_a_crash,
    copies_of_a_crashing_request_crash_at_most_two_engines,
};
pub use fault_case::FaultCase;
pub use input_cases::{
    a_cold_model_answers_and_its_routing_is_logged, bad_input_gets_its_own_refusal,
    slow_and_oversized_senders_are_refused,
};
pub use membership_cases::{
    a_frozen_agent_loses_no_idempotent_request,
    a_leaving_agent_finishes_its_stream_and_gets_no_new_work,
    a_second_agent_cannot_start_beside_a_frozen_one, a_stream_resumes_when_its_agent_dies,
    silent_connections_are_detected,
};
pub use outage_cases::{
    a_burst_at_all_entries_makes_one_load, cold_starts_work_while_the_table_is_down,
};
pub use settings_cases::{
    a_new_version_rolls_forward, an_entry_starts_from_peers_while_the_table_is_down,
    concurrent_settings_changes_conflict_and_reach_all_processes,
};
pub use stamp_cases::{
    a_stamp_is_refused_while_the_table_is_down_and_runs_later,
    a_stamp_runs_once_when_table_responses_are_lost, a_stamp_whose_agent_dies_never_runs_twice,
    two_entries_get_the_same_stamp_at_once,
};
