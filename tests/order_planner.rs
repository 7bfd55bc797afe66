//! Tests of the planner under typical load patterns, with simulated engines.

mod planner_sim;

use planner_sim::sim_engine::DISK_LOAD_MS;
use planner_sim::{EngineFleet, FleetSetup, rare_models};
use proptest::prelude::*;
use quetzalpin::prelude::*;
use rstest::rstest;

/// Milliseconds between steps of the simulated fleet.
const STEP_MS: u64 = 20;

/// Rank of chats, the most urgent requests.
const CHAT_RANK: u8 = 0;

/// Rank of requests that can wait until other models are evicted.
const LESS_URGENT_RANK: u8 = 2;

/// Guards against evicting a busy model for a rare one. Two models take nearly all requests, and
/// a request waits for a rare model that fits only if either is evicted.
#[test]
fn busy_models_are_not_evicted_for_a_rare_model() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 1,
        models: 4,
        held: 3,
        ..FleetSetup::default()
    });
    let held = fleet.held_at(0);
    let rare = rare_models(&fleet)[0].clone();
    for _ in 0..400 {
        fleet.add_arrivals(&held[0], 1);
        fleet.add_arrivals(&held[1], 1);
        fleet.step(STEP_MS);
        let still_held = fleet.held_at(0);
        assert!(still_held.contains(&held[0]) && still_held.contains(&held[1]));
        if fleet.has_run_ms(2_000) {
            fleet.wait_for_model(&rare, LESS_URGENT_RANK);
        }
    }
}

/// Guards against a request that waits forever for a rare model although the engine's other models
/// are idle and can be evicted.
#[test]
fn idle_models_are_evicted_for_a_rare_model() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 1,
        models: 4,
        held: 3,
        ..FleetSetup::default()
    });
    let rare = rare_models(&fleet)[0].clone();
    for _ in 0..500 {
        fleet.wait_for_model(&rare, LESS_URGENT_RANK);
        fleet.step(STEP_MS);
    }
    assert!(
        fleet.held_at(0).contains(&rare),
        "the rare model was never loaded"
    );
}

/// Guards against a model with a single copy that gets no extra copies when demand shifts to it.
/// No request waits for the model, so only its request rate shows the demand.
#[test]
fn a_model_that_becomes_popular_gets_extra_copies() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 6,
        models: 12,
        held: 2,
        ..FleetSetup::default()
    });
    let popular = fleet.held_at(0)[0].clone();
    for _ in 0..1_200 {
        fleet.add_arrival_every(&popular, 100);
        fleet.step(STEP_MS);
    }
    assert!(
        fleet.copies(&popular) >= 2,
        "{} copies",
        fleet.copies(&popular)
    );
}

/// Engine that gets the first extra copy of a crowded model, if work at one engine takes `factor` times
/// as long as at the others.
fn first_extra_copy(uneven: Option<(usize, f64)>) -> usize {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 6,
        models: 12,
        held: 2,
        ..FleetSetup::default()
    });
    if let Some((engine, factor)) = uneven {
        fleet.set_duration(engine, factor);
    }
    let popular = fleet.held_at(0)[0].clone();
    for _ in 0..2_000 {
        fleet.add_arrival_every(&popular, 100);
        fleet.step(STEP_MS);
        let holders = (1..6).find(|engine| fleet.held_at(*engine).contains(&popular));
        if let Some(engine) = holders {
            return engine;
        }
    }
    panic!("no extra copy");
}

/// Guards against extra copies of busy models at slow engines while faster ones could hold them.
#[test]
fn extra_copies_go_to_faster_engines() {
    let usual = first_extra_copy(None);
    let other = if usual == 5 { 4 } else { 5 };
    assert_eq!(first_extra_copy(Some((other, 0.4))), other);
    assert_ne!(first_extra_copy(Some((usual, 3.0))), usual);
}

/// Guards against too many concurrent loads from the weight store when requests wait for many rare
/// models at once. Loads that still wait for evictions count toward the limit up to which the
/// store serves at full speed.
#[test]
fn planned_loads_count_toward_the_store_load_limit() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 10,
        models: 40,
        held: 2,
        ..FleetSetup::default()
    });
    let rare = rare_models(&fleet);
    for _ in 0..1_000 {
        for model in &rare {
            if fleet.copies(model) == 0 {
                fleet.wait_for_model(model, LESS_URGENT_RANK);
            }
        }
        fleet.step(STEP_MS);
        assert!(
            fleet.store_loads() <= 4,
            "{} concurrent loads",
            fleet.store_loads()
        );
    }
}

/// Guards against a chat that waits for prefetches. The weight store is busy with prefetches when a
/// chat needs a model that no engine has; the load for the chat starts at once.
#[test]
fn a_chat_does_not_wait_for_prefetches() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 10,
        models: 40,
        held: 1,
        ..FleetSetup::default()
    });
    fleet.run(1_000, STEP_MS);
    let prefetches = fleet.store_loads();
    assert!(prefetches > 0, "nothing was prefetched");
    let wanted = rare_models(&fleet).pop().expect("a rare model");
    for _ in 0..20 {
        fleet.wait_for_model(&wanted, CHAT_RANK);
        fleet.step(STEP_MS);
    }
    assert!(
        fleet.is_loading(&wanted),
        "the chat's model is not being loaded"
    );
}

/// Guards against a needless load from the weight store. Demand returns to a model that is on the
/// disk of an engine that is busy for a moment; the planner waits for this engine.
#[test]
fn a_load_waits_for_a_busy_engine_with_a_local_copy() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 3,
        models: 6,
        held: 2,
        ..FleetSetup::default()
    });
    fleet.run(1_500, STEP_MS);
    let held = fleet.held_at(0);
    let (other, model) = (held[0].clone(), held[1].clone());
    fleet.drop_model(0, &other);
    fleet.drop_model(0, &model);
    fleet.report_lacking(0);
    fleet.run(300, STEP_MS);
    while !fleet.is_loading(&other) {
        fleet.wait_for_model(&other, CHAT_RANK);
        fleet.step(STEP_MS);
    }
    for _ in 0..100 {
        if fleet.copies(&model) > 0 {
            return;
        }
        fleet.wait_for_model(&model, CHAT_RANK);
        fleet.step(STEP_MS);
        assert!(
            !fleet.is_store_loading(&model),
            "loaded from the weight store"
        );
    }
    panic!("the model was never loaded");
}

/// Guards against a model that stays unusable because the only engine with it is dead but still
/// listed. Once entries report that engine as unreachable, the model is loaded at another one.
#[test]
fn a_model_of_an_unreachable_engine_is_loaded_elsewhere() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 4,
        models: 8,
        held: 2,
        ..FleetSetup::default()
    });
    let model = fleet.held_at(0)[0].clone();
    fleet.disconnect(0);
    for _ in 0..800 {
        fleet.wait_for_model(&model, CHAT_RANK);
        fleet.step(STEP_MS);
    }
    let elsewhere = (1..4).any(|engine| fleet.held_at(engine).contains(&model));
    assert!(elsewhere, "the model was not loaded at another engine");
}

/// Guards against a model that stays listed at an engine which lost it without an order. When the
/// engine answers that it lacks the model, its report is read again at once.
#[test]
fn a_model_that_an_engine_lacks_is_loaded_again() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 2,
        models: 4,
        held: 2,
        ..FleetSetup::default()
    });
    fleet.run(500, STEP_MS);
    let model = fleet.held_at(0)[0].clone();
    fleet.drop_model(0, &model);
    for _ in 0..150 {
        fleet.wait_for_model(&model, CHAT_RANK);
        fleet.report_lacking(0);
        fleet.step(STEP_MS);
    }
    assert!(fleet.copies(&model) > 0, "the model was never loaded again");
}

/// Guards against an adapter that is never loaded because all adapter slots are in use. Adapters
/// are loaded at an engine that holds their model, and an idle one is evicted.
#[test]
fn idle_adapters_are_evicted_when_slots_are_full() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 1,
        models: 1,
        held: 1,
        ..FleetSetup::default()
    });
    let model = fleet.held_at(0)[0].clone();
    for number in 0..20 {
        let adapter = AdapterName::from(format!("a{number}").as_str());
        for _ in 0..60 {
            fleet.wait_for_adapter(&model, &adapter);
            fleet.step(STEP_MS);
        }
        assert!(
            fleet.has_adapter(0, &model, &adapter),
            "adapter {number} is missing"
        );
    }
}

/// Guards against LOST: requests are refused although a load from a disk, which is faster than a constant
/// forecast, would end in their time (review/8, and the soaks' refusals of the rarest model).
#[test]
fn the_forecast_for_a_copy_on_a_disk_follows_its_load_time() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 2,
        models: 8,
        held: 2,
        ..FleetSetup::default()
    });
    let rare = rare_models(&fleet)[0].clone();
    fleet.put_on_disk(0, &rare);
    fleet.run(1_000, STEP_MS);
    let calls_ms = fleet.forecast_ms(&rare).checked_sub(DISK_LOAD_MS);
    assert!(calls_ms.is_some_and(|ms| ms <= 250), "{calls_ms:?} ms");
}

/// Guards against a wrong guess about an order whose answer was lost: it may or may not have been
/// carried out, so the engine's report decides.
#[rstest]
#[case::carried_out(true)]
#[case::lost(false)]
fn the_report_resolves_an_unanswered_order(#[case] is_carried_out: bool) {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 1,
        models: 3,
        held: 1,
        ..FleetSetup::default()
    });
    fleet.lose_next_answer(is_carried_out);
    let wanted = rare_models(&fleet)[0].clone();
    for _ in 0..1_500 {
        fleet.wait_for_model(&wanted, LESS_URGENT_RANK);
        fleet.step(STEP_MS);
    }
    assert!(fleet.held_at(0).contains(&wanted));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against orders that exceed an engine's memory or adapter slots under random demand
    /// and lost answers. The simulated engine refuses orders with an outdated precondition.
    #[test]
    fn engines_are_never_overcommitted(
        seed in any::<u64>(),
        engines in 1_usize..5,
        held in 0_usize..3,
    ) {
        let mut fleet = EngineFleet::open(FleetSetup {
            engines,
            models: 9,
            held,
            seed,
            loss_percent: 10,
            ..FleetSetup::default()
        });
        for _ in 0..600 {
            fleet.random_demand();
            fleet.step(STEP_MS);
            fleet.assert_within_limits();
        }
    }
}

/// Guards against orders of a new planner that overlap with those of the previous one, which may
/// have sent an order a moment ago. During the pause the planner only reads the engines' reports,
/// so that it knows their local copies afterwards, and its forecasts include the pause.
#[test]
fn a_new_planner_only_reads_engines_during_its_pause() {
    const PAUSE_MS: u64 = 3_250;
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 2,
        models: 8,
        held: 2,
        orders_from_ms: PAUSE_MS,
        ..FleetSetup::default()
    });
    let rare = rare_models(&fleet)[0].clone();
    fleet.put_on_disk(0, &rare);
    while !fleet.has_run_ms(1_000) {
        fleet.wait_for_model(&rare, CHAT_RANK);
        fleet.step(STEP_MS);
    }
    assert_eq!(fleet.orders(), 0);
    let forecast_ms = fleet.forecast_ms(&rare);
    assert!(
        (PAUSE_MS - 1_100..5_000).contains(&forecast_ms),
        "{forecast_ms} ms for a copy on a disk"
    );
    while !fleet.has_run_ms(PAUSE_MS + 1_000) {
        fleet.wait_for_model(&rare, CHAT_RANK);
        fleet.step(STEP_MS);
    }
    assert!(fleet.copies(&rare) > 0, "the copy on the disk was not used");
}

/// Guards against a load that is ordered while the unload before it is still in progress. Rare
/// models are requested in turn, and an idle model is evicted for each.
#[test]
fn a_load_is_ordered_after_the_unload_ends() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 2,
        models: 12,
        held: 3,
        ..FleetSetup::default()
    });
    let rare = rare_models(&fleet);
    for model in &rare {
        fleet.put_on_disk(0, model);
        fleet.put_on_disk(1, model);
    }
    for model in rare.iter().cycle().take(12) {
        for _ in 0..100 {
            if fleet.copies(model) == 0 {
                fleet.wait_for_model(model, LESS_URGENT_RANK);
            }
            fleet.step(STEP_MS);
        }
        assert!(fleet.copies(model) > 0, "{model} was never loaded");
    }
    assert_eq!(fleet.overlapping_orders(), 0);
}

/// Guards against a crowded model that waits for a slow load from the weight store although an
/// engine with the weights on its disk becomes free. This engine loads them and serves meanwhile.
#[test]
fn a_local_copy_serves_during_a_load_from_the_store() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 3,
        models: 6,
        held: 2,
        ..FleetSetup::default()
    });
    let popular = fleet.held_at(0)[0].clone();
    while !fleet.is_store_loading(&popular) {
        fleet.add_arrival_every(&popular, 80);
        fleet.step(STEP_MS);
        assert!(!fleet.has_run_ms(20_000), "no extra copy was ordered");
    }
    let other = usize::from(fleet.is_loading_at(1)) + 1;
    fleet.put_on_disk(other, &popular);
    fleet.report_lacking(other);
    for _ in 0..100 {
        fleet.add_arrival_every(&popular, 80);
        fleet.step(STEP_MS);
    }
    assert!(
        fleet.is_store_loading(&popular),
        "the load has already finished"
    );
    assert!(
        fleet.copies(&popular) >= 2,
        "the copy on the disk was not used"
    );
}

/// Guards against an extra copy that evicts a copy another model needs. Every model is busy, and
/// the copies of the most popular one are crowded; neither the last copy of a busy model nor a
/// copy that the other models need is evicted.
#[test]
fn an_extra_copy_evicts_no_copy_that_is_needed() {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 2,
        models: 4,
        held: 2,
        ..FleetSetup::default()
    });
    let (steady, popular) = (fleet.held_at(0)[0].clone(), fleet.held_at(0)[1].clone());
    let others = fleet.held_at(1);
    fleet.put_on_disk(1, &steady);
    fleet.put_on_disk(1, &popular);
    while fleet.copies(&steady) < 2 {
        fleet.add_arrival_every(&steady, 160);
        fleet.step(STEP_MS);
        assert!(
            !fleet.has_run_ms(20_000),
            "no second copy of the steady model"
        );
    }
    for _ in 0..1_000 {
        fleet.add_arrival_every(&steady, 160);
        fleet.add_arrival_every(&popular, 40);
        for model in &others {
            fleet.add_arrival_every(model, 140);
        }
        fleet.step(STEP_MS);
        assert_eq!(fleet.copies(&steady), 2, "the steady model lost a copy");
        let held = fleet.held_at(1);
        assert!(
            others.iter().all(|model| held.contains(model)),
            "a last copy was evicted"
        );
    }
}

/// Rare models beside a crowd: one rate for all engines filled those with many slots with copies of
/// the busy model, and requests for rare models waited for memory. What a copy serves before the
/// model gets another one grows with the slots of its engine.
#[rstest]
#[case::some_slots(32, 2)]
#[case::many_slots(64, 1)]
fn a_crowd_takes_few_copies_where_engines_have_many_slots(
    #[case] slots: u32,
    #[case] copies: usize,
) {
    let mut fleet = EngineFleet::open(FleetSetup {
        engines: 4,
        models: 8,
        slots,
        held: 2,
        ..FleetSetup::default()
    });
    let busy = fleet.held_at(0)[0].clone();
    fleet.put_on_disk(1, &busy);
    for _ in 0..500 {
        fleet.add_arrival_every(&busy, 160);
        fleet.step(STEP_MS);
    }
    assert_eq!(fleet.copies(&busy), copies);
}
