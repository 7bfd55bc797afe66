//! Integration tests with real daemon processes behind fault proxies.

mod process_cases;

use std::future::Future;
use std::path::Path;

use process_cases::FaultCase;
use quetzalpin_standins::{ProcessFleet, SMALL_MODEL_COUNT, small_plan};

/// Milliseconds within which a fleet must be ready.
const START_TIMEOUT_MS: u64 = 60_000;

/// Runs a case on a fresh fleet.
fn with_fleet<F, R>(case: F)
where
    F: FnOnce(FaultCase) -> R,
    R: Future<Output = ()>,
{
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let daemon = Path::new(env!("CARGO_BIN_EXE_quetzalpind"));
        let plan = small_plan();
        let mut fleet = ProcessFleet::spawn(daemon, &plan).await.expect("a fleet");
        fleet
            .wait_ready(SMALL_MODEL_COUNT, START_TIMEOUT_MS)
            .await
            .expect("a ready fleet");
        case(FaultCase::open(fleet)).await;
    });
}

macro_rules! fault_case {
    ($name:ident) => {
        #[test]
        fn $name() {
            with_fleet(process_cases::$name);
        }
    };
}

fault_case!(a_cold_model_answers_and_its_routing_is_logged);
fault_case!(a_burst_at_all_entries_makes_one_load);
fault_case!(a_stamp_runs_once_when_table_responses_are_lost);
fault_case!(a_stamp_is_refused_while_the_table_is_down_and_runs_later);
fault_case!(a_stamp_whose_agent_dies_never_runs_twice);
fault_case!(two_entries_get_the_same_stamp_at_once);
fault_case!(cold_starts_work_while_the_table_is_down);
fault_case!(a_frozen_agent_loses_no_idempotent_request);
fault_case!(silent_connections_are_detected);
fault_case!(a_leaving_agent_finishes_its_stream_and_gets_no_new_work);
fault_case!(a_crashing_request_is_quarantined);
fault_case!(copies_of_a_crashing_request_crash_at_most_two_engines);
fault_case!(a_stream_resumes_when_its_agent_dies);
fault_case!(a_second_agent_cannot_start_beside_a_frozen_one);
fault_case!(a_lost_engine_connection_is_not_a_crash);
fault_case!(concurrent_settings_changes_conflict_and_reach_all_processes);
fault_case!(an_entry_starts_from_peers_while_the_table_is_down);
fault_case!(bad_input_gets_its_own_refusal);
fault_case!(slow_and_oversized_senders_are_refused);
fault_case!(a_new_version_rolls_forward);
