//! The planner under the loads that it is made for, with engines that behave like real ones.

mod planner_sim;

use planner_sim::{EngineFleet, FleetShape, rare_models};
use proptest::prelude::*;
use quetzalpin::prelude::*;
use rstest::rstest;

/// Milliseconds between two steps of the simulated fleet.
const STEP_MS: u64 = 20;

/// Rank of chats, the most urgent work.
const CHAT_RANK: u8 = 0;

/// Rank of work that can wait for a swap.
const PATIENT_RANK: u8 = 2;

/// Load pattern: two models take nearly all requests while a rare one is waited for that only
/// fits in place of either. Both stay.
#[test]
fn busy_copies_do_not_make_room_for_a_rare_model() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 1,
        models: 4,
        held: 3,
        ..FleetShape::default()
    });
    let held = fleet.held_at(0);
    let rare = rare_models(&fleet)[0].clone();
    for _ in 0..400 {
        fleet.ask(&held[0], 1);
        fleet.ask(&held[1], 1);
        fleet.step(STEP_MS);
        let still_held = fleet.held_at(0);
        assert!(still_held.contains(&held[0]) && still_held.contains(&held[1]));
        if fleet.has_run_ms(2_000) {
            fleet.want(&rare, PATIENT_RANK);
        }
    }
}

/// Load pattern: a rare model is waited for while the engine's other models are idle. It comes.
#[test]
fn idle_copies_make_room_for_a_rare_model() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 1,
        models: 4,
        held: 3,
        ..FleetShape::default()
    });
    let rare = rare_models(&fleet)[0].clone();
    for _ in 0..500 {
        fleet.want(&rare, PATIENT_RANK);
        fleet.step(STEP_MS);
    }
    assert!(
        fleet.held_at(0).contains(&rare),
        "the rare model never came"
    );
}

/// Load pattern: demand moves to a model with a single copy. It gets further copies without
/// being waited for.
#[test]
fn a_model_that_becomes_popular_gets_further_copies() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 6,
        models: 12,
        held: 2,
        ..FleetShape::default()
    });
    let popular = fleet.held_at(0)[0].clone();
    for _ in 0..1_200 {
        fleet.ask_each(&popular, 100);
        fleet.step(STEP_MS);
    }
    assert!(
        fleet.copies(&popular) >= 2,
        "{} copies",
        fleet.copies(&popular)
    );
}

/// Load pattern: many rare models are asked for at once. Loads from the weight store, those
/// that still wait for room included, stay within what it serves at full speed.
#[test]
fn waiting_for_room_counts_as_a_load_from_the_store() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 10,
        models: 40,
        held: 2,
        ..FleetShape::default()
    });
    let rare = rare_models(&fleet);
    for _ in 0..1_000 {
        for model in &rare {
            if fleet.copies(model) == 0 {
                fleet.want(model, PATIENT_RANK);
            }
        }
        fleet.step(STEP_MS);
        assert!(
            fleet.store_loads() <= 4,
            "{} loads at once",
            fleet.store_loads()
        );
    }
}

/// Load pattern: the weight store is busy with loads ahead of need when a chat needs a model
/// that no engine has. The chat's load begins at once.
#[test]
fn a_chat_does_not_wait_for_loads_ahead_of_need() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 10,
        models: 40,
        held: 1,
        ..FleetShape::default()
    });
    fleet.run(1_000, STEP_MS);
    let ahead = fleet.store_loads();
    assert!(ahead > 0, "nothing was loaded ahead");
    let wanted = rare_models(&fleet).pop().expect("a rare model");
    for _ in 0..20 {
        fleet.want(&wanted, CHAT_RANK);
        fleet.step(STEP_MS);
    }
    assert!(
        fleet.is_loading(&wanted),
        "the chat's model is not being loaded"
    );
}

/// Load pattern: demand comes back to a model that lies on the disk of an engine which is busy
/// for a moment. It is not fetched from the weight store at another engine meanwhile.
#[test]
fn a_copy_on_a_disk_is_worth_a_short_wait() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 3,
        models: 6,
        held: 2,
        ..FleetShape::default()
    });
    fleet.run(1_500, STEP_MS);
    let held = fleet.held_at(0);
    let (other, model) = (held[0].clone(), held[1].clone());
    fleet.drop_model(0, &other);
    fleet.drop_model(0, &model);
    fleet.deny(0);
    fleet.run(300, STEP_MS);
    while !fleet.is_loading(&other) {
        fleet.want(&other, CHAT_RANK);
        fleet.step(STEP_MS);
    }
    for _ in 0..100 {
        if fleet.copies(&model) > 0 {
            return;
        }
        fleet.want(&model, CHAT_RANK);
        fleet.step(STEP_MS);
        assert!(!fleet.is_store_loading(&model), "fetched from the store");
    }
    panic!("the model never came");
}

/// Load pattern: the only engine with a model is dead but still listed. The model is brought
/// to another engine once entries tell that they cannot reach the first.
#[test]
fn a_model_leaves_an_unreachable_engine() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 4,
        models: 8,
        held: 2,
        ..FleetShape::default()
    });
    let model = fleet.held_at(0)[0].clone();
    fleet.cut(0);
    for _ in 0..800 {
        fleet.want(&model, CHAT_RANK);
        fleet.step(STEP_MS);
    }
    let elsewhere = (1..4).any(|engine| fleet.held_at(engine).contains(&model));
    assert!(elsewhere, "the model stayed at the dead engine only");
}

/// An engine that lost a model without an order, and denies it, is read again at once.
#[test]
fn a_denied_model_is_brought_back() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 2,
        models: 4,
        held: 2,
        ..FleetShape::default()
    });
    fleet.run(500, STEP_MS);
    let model = fleet.held_at(0)[0].clone();
    fleet.drop_model(0, &model);
    for _ in 0..150 {
        fleet.want(&model, CHAT_RANK);
        fleet.deny(0);
        fleet.step(STEP_MS);
    }
    assert!(fleet.copies(&model) > 0, "the model never came back");
}

/// Adapters are ordered at engines that hold their model, and an idle one makes room.
#[test]
fn adapters_share_the_places_of_an_engine() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 1,
        models: 1,
        held: 1,
        ..FleetShape::default()
    });
    let model = fleet.held_at(0)[0].clone();
    for number in 0..20 {
        let adapter = AdapterName::from(format!("a{number}").as_str());
        for _ in 0..60 {
            fleet.want_adapter(&model, &adapter);
            fleet.step(STEP_MS);
        }
        assert!(
            fleet.has_adapter(0, &model, &adapter),
            "adapter {number} is missing"
        );
    }
}

/// An order without an answer leaves the engine's state open until the engine itself is read.
#[rstest]
#[case::carried_out(true)]
#[case::lost(false)]
fn an_unanswered_order_is_settled_by_the_engine(#[case] is_carried_out: bool) {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 1,
        models: 3,
        held: 1,
        ..FleetShape::default()
    });
    fleet.lose_next_answer(is_carried_out);
    let wanted = rare_models(&fleet)[0].clone();
    for _ in 0..1_500 {
        fleet.want(&wanted, PATIENT_RANK);
        fleet.step(STEP_MS);
    }
    assert!(fleet.held_at(0).contains(&wanted));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever is asked for and whatever happens to orders, no engine is ordered to hold more
    /// than it can, and no order goes out with an older precondition than the engine's own.
    #[test]
    fn engines_are_never_overcommitted(
        seed in any::<u64>(),
        engines in 1_usize..5,
        held in 0_usize..3,
    ) {
        let mut fleet = EngineFleet::open(FleetShape {
            engines,
            models: 9,
            held,
            seed,
            loss_percent: 10,
            ..FleetShape::default()
        });
        for _ in 0..600 {
            fleet.random_demand();
            fleet.step(STEP_MS);
            fleet.check();
        }
    }
}

/// Load pattern: a planner takes over from one that may have ordered a moment ago. Until orders
/// may be given it reads the engines, so that it knows their disks when they may, and its
/// forecast counts the pause.
#[test]
fn a_new_planner_reads_engines_before_it_may_order() {
    const PAUSE_MS: u64 = 3_250;
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 2,
        models: 8,
        held: 2,
        orders_from_ms: PAUSE_MS,
        ..FleetShape::default()
    });
    let rare = rare_models(&fleet)[0].clone();
    fleet.put_on_disk(0, &rare);
    while !fleet.has_run_ms(1_000) {
        fleet.want(&rare, CHAT_RANK);
        fleet.step(STEP_MS);
    }
    assert_eq!(fleet.orders(), 0);
    let forecast_ms = fleet.forecast_ms(&rare);
    assert!(
        (PAUSE_MS - 1_100..5_000).contains(&forecast_ms),
        "{forecast_ms} ms for a copy on a disk"
    );
    while !fleet.has_run_ms(PAUSE_MS + 1_000) {
        fleet.want(&rare, CHAT_RANK);
        fleet.step(STEP_MS);
    }
    assert!(fleet.copies(&rare) > 0, "the copy on the disk was not used");
}

/// Load pattern: rare models are asked for in turn, each in place of an idle one. The load is
/// ordered when the unload has ended, not into it.
#[test]
fn a_load_waits_for_the_unload_before_it() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 2,
        models: 12,
        held: 3,
        ..FleetShape::default()
    });
    let rare = rare_models(&fleet);
    for model in &rare {
        fleet.put_on_disk(0, model);
        fleet.put_on_disk(1, model);
    }
    for model in rare.iter().cycle().take(12) {
        for _ in 0..100 {
            if fleet.copies(model) == 0 {
                fleet.want(model, PATIENT_RANK);
            }
            fleet.step(STEP_MS);
        }
        assert!(fleet.copies(model) > 0, "{model} never came");
    }
    assert_eq!(fleet.early_orders(), 0);
}

/// Load pattern: chats crowd a model with one copy; the next one comes slowly from the weight
/// store, when an engine that has the weights on its disk becomes free. It serves meanwhile.
#[test]
fn a_copy_on_a_disk_serves_while_another_comes_from_the_store() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 3,
        models: 6,
        held: 2,
        ..FleetShape::default()
    });
    let popular = fleet.held_at(0)[0].clone();
    while !fleet.is_store_loading(&popular) {
        fleet.ask_each(&popular, 80);
        fleet.step(STEP_MS);
        assert!(!fleet.has_run_ms(20_000), "no further copy was ordered");
    }
    let other = usize::from(fleet.is_loading_at(1)) + 1;
    fleet.put_on_disk(other, &popular);
    fleet.deny(other);
    for _ in 0..100 {
        fleet.ask_each(&popular, 80);
        fleet.step(STEP_MS);
    }
    assert!(fleet.is_store_loading(&popular), "the load is over already");
    assert!(
        fleet.copies(&popular) >= 2,
        "the copy on the disk was not used"
    );
}

/// Load pattern: every model is busy, and the copies of the most popular one are crowded. Its
/// further copy takes neither the last copy of a busy model nor one that the others need.
#[test]
fn a_further_copy_takes_no_place_that_another_model_needs() {
    let mut fleet = EngineFleet::open(FleetShape {
        engines: 2,
        models: 4,
        held: 2,
        ..FleetShape::default()
    });
    let (steady, popular) = (fleet.held_at(0)[0].clone(), fleet.held_at(0)[1].clone());
    let others = fleet.held_at(1);
    fleet.put_on_disk(1, &steady);
    fleet.put_on_disk(1, &popular);
    while fleet.copies(&steady) < 2 {
        fleet.ask_each(&steady, 160);
        fleet.step(STEP_MS);
        assert!(
            !fleet.has_run_ms(20_000),
            "no second copy of the steady model"
        );
    }
    for _ in 0..1_000 {
        fleet.ask_each(&steady, 160);
        fleet.ask_each(&popular, 40);
        for model in &others {
            fleet.ask_each(model, 140);
        }
        fleet.step(STEP_MS);
        assert_eq!(fleet.copies(&steady), 2, "the steady model lost a copy");
        let held = fleet.held_at(1);
        assert!(
            others.iter().all(|model| held.contains(model)),
            "a last copy left"
        );
    }
}
