//! Integration tests with real daemon processes behind fault proxies.

mod process_cases;

use std::future::Future;
use std::path::Path;

use process_cases::FaultCase;
use quetzalpin_standins::{ProcessFleet, SMALL_MODELS, small_plan};

/// Milliseconds for a fleet's start.
const START_MS: u64 = 60_000;

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
            .wait_ready(SMALL_MODELS, START_MS)
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

fault_case!(a_cold_model_answers_and_explains_itself);
fault_case!(a_burst_at_all_entries_makes_one_load);
fault_case!(a_stamp_runs_once_through_lost_table_answers);
fault_case!(a_stamp_is_refused_while_the_table_is_down_and_runs_later);
fault_case!(a_stamp_whose_agent_dies_never_runs_twice);
fault_case!(two_entries_get_the_same_stamp_at_once);
fault_case!(cold_starts_go_on_while_the_table_is_down);
fault_case!(a_frozen_agent_loses_no_idempotent_request);
fault_case!(silent_connections_are_found);
fault_case!(a_leaving_agent_cuts_no_stream_and_gets_no_new_work);
fault_case!(a_crashing_request_is_held_back);
fault_case!(a_crashing_request_sent_many_times_at_once_is_held_back);
fault_case!(a_stream_goes_on_when_its_agent_dies);
fault_case!(a_second_agent_cannot_start_beside_a_frozen_one);
fault_case!(a_lost_engine_connection_is_not_a_crash);
fault_case!(settings_race_and_reach_everyone);
fault_case!(an_entry_starts_from_peers_while_the_table_is_down);
fault_case!(bad_input_gets_its_own_refusal);
fault_case!(slow_and_oversized_senders_are_refused);
fault_case!(a_new_version_rolls_forward);
