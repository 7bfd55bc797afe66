//! Cases of the integration tests with real processes.

mod crash_cases;
mod fault_case;
mod input_cases;
mod membership_cases;
mod outage_cases;
mod settings_cases;
mod stamp_cases;

pub use crash_cases::{
    a_crashing_request_is_held_back, a_crashing_request_sent_many_times_at_once_is_held_back,
    a_lost_engine_connection_is_not_a_crash,
};
pub use fault_case::FaultCase;
pub use input_cases::{
    a_cold_model_answers_and_explains_itself, bad_input_gets_its_own_refusal,
    slow_and_oversized_senders_are_refused,
};
pub use membership_cases::{
    a_frozen_agent_loses_no_idempotent_request,
    a_leaving_agent_cuts_no_stream_and_gets_no_new_work,
    a_second_agent_cannot_start_beside_a_frozen_one, a_stream_goes_on_when_its_agent_dies,
    silent_connections_are_found,
};
pub use outage_cases::{
    a_burst_at_all_entries_makes_one_load, cold_starts_go_on_while_the_table_is_down,
};
pub use settings_cases::{
    a_new_version_rolls_forward, an_entry_starts_from_peers_while_the_table_is_down,
    settings_race_and_reach_everyone,
};
pub use stamp_cases::{
    a_stamp_is_refused_while_the_table_is_down_and_runs_later,
    a_stamp_runs_once_through_lost_table_answers, a_stamp_whose_agent_dies_never_runs_twice,
    two_entries_get_the_same_stamp_at_once,
};
