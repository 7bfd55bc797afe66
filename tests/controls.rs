//! Example and property tests of quarantine, permits, retries, membership and routing.

use proptest::prelude::*;
use quetzalpin::membership::{MemberEntry, MemberRole, MemberState, MembershipView};
use quetzalpin::permits::{FallbackShare, PermitIssuer};
use quetzalpin::prelude::*;
use quetzalpin::quarantine::{
    LossTracker, QuarantineTracker, QuarantineVerdict, RequestFingerprint, UnexplainedLoss,
    crash_id,
};
use quetzalpin::retry::RetryBudget;
use quetzalpin::routing::{Locality, RouteChooser, RouteContext, RouteReason, RouteTarget};
use quetzalpin::rpc::ReplicaState;

const HOLD_MS: u64 = 1_000;

const fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn a_request_is_quarantined_after_two_crashes_until_the_hold_time_ends() {
    let mut tracker = QuarantineTracker::open();
    let request = RequestFingerprint(1);
    assert!(tracker.record(at(0), request, 10));
    assert!(!tracker.record(at(0), request, 10), "one crash counts once");
    assert_eq!(
        tracker.verdict(at(1), request, HOLD_MS),
        QuarantineVerdict::Suspect
    );
    tracker.record(at(5), request, 11);
    assert_eq!(
        tracker.verdict(at(6), request, HOLD_MS),
        QuarantineVerdict::Quarantined
    );
    assert_eq!(
        tracker.verdict(at(1_006), request, HOLD_MS),
        QuarantineVerdict::Clear
    );
}

#[test]
fn a_forgiven_crash_never_counts_again() {
    let mut tracker = QuarantineTracker::open();
    let request = RequestFingerprint(1);
    tracker.record(at(0), request, 10);
    tracker.record(at(0), request, 11);
    assert_eq!(tracker.release(at(1), request).len(), 2);
    tracker.record(at(2), request, 10);
    assert_eq!(
        tracker.verdict(at(3), request, HOLD_MS),
        QuarantineVerdict::Clear
    );
}

#[test]
fn permits_are_granted_by_rank_then_deadline() {
    let mut issuer = PermitIssuer::open(at(0), 1_000_000, 1);
    let late = issuer.request(1, at(100));
    let soon = issuer.request(1, at(50));
    let urgent = issuer.request(0, at(900));
    let mut order = Vec::new();
    for step in 1..=3 {
        for (ticket, permit) in issuer.grant(at(step * 10)) {
            order.push(ticket);
            issuer.release(permit);
        }
    }
    assert_eq!(order, [urgent, soon, late]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Neither the rate limit nor the concurrency limit is ever exceeded.
    #[test]
    fn permits_stay_within_the_limits(steps in proptest::collection::vec((0..3_u8, 0..400_u64), 1..200)) {
        let mut issuer = PermitIssuer::open(at(0), 10_000, 4);
        let mut held = Vec::new();
        let mut granted = 0;
        let mut now = 0;
        for (kind, millis) in steps {
            now += millis;
            match kind {
                0 => { issuer.request(0, at(now)); }
                1 => {
                    if let Some(permit) = held.pop() {
                        issuer.release(permit);
                    }
                }
                _ => {}
            }
            let grants = issuer.grant(at(now));
            granted += grants.len() as u64;
            held.extend(grants.into_iter().map(|(_, permit)| permit));
            prop_assert!(held.len() <= 4);
            prop_assert!(granted <= now / 100 + 1, "{granted} loads in {now} ms");
        }
    }
}

#[test]
fn the_fallback_share_divides_the_rate() {
    let mut share = FallbackShare::default();
    assert!(share.try_acquire(at(0), 10_000, 20));
    share.release();
    assert!(
        !share.try_acquire(at(1_000), 10_000, 20),
        "one load in two seconds"
    );
    assert!(share.try_acquire(at(2_000), 10_000, 20));
    assert!(
        !share.try_acquire(at(9_000), 10_000, 20),
        "one load at a time"
    );
}

#[test]
fn retries_stay_within_a_fifth_of_requests() {
    let mut budget = RetryBudget::open();
    let team = TeamName::from("a");
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn(&team);
        while budget.try_spend(&team) {
            retries += 1;
        }
    }
    assert!(retries <= 220, "{retries} retries for 1000 requests");
}

fn member(name: &str, state: MemberState) -> MemberEntry {
    MemberEntry {
        instance: InstanceName::from(name),
        role: MemberRole::Agent,
        address: ([127, 0, 0, 1], 1).into(),
        state,
    }
}

#[test]
fn an_instance_is_gone_only_after_the_lag_and_only_by_successful_reads() {
    let mut view = MembershipView::open();
    let name = InstanceName::from("a");
    view.apply(
        at(0),
        vec![
            member("a", MemberState::Live),
            member("b", MemberState::Live),
        ],
    );
    view.apply(at(1_000), vec![member("b", MemberState::Live)]);
    assert!(!view.is_gone(&name, 10_000));
    view.apply(at(9_000), vec![member("b", MemberState::Live)]);
    assert!(!view.is_gone(&name, 10_000));
    view.apply(at(60_000), vec![member("b", MemberState::Live)]);
    assert!(view.is_gone(&name, 10_000));
    view.apply(
        at(61_000),
        vec![
            member("a", MemberState::Live),
            member("b", MemberState::Live),
        ],
    );
    assert!(!view.is_gone(&name, 10_000), "it came back");
}

#[test]
fn an_empty_member_list_is_ignored() {
    let mut view = MembershipView::open();
    view.apply(at(0), vec![member("a", MemberState::Leaving)]);
    view.apply(at(60_000), Vec::new());
    assert!(view.is_leaving(&InstanceName::from("a")));
    assert!(!view.is_gone(&InstanceName::from("a"), 1_000));
}

fn target(name: &str, locality: Locality, state: ReplicaState) -> RouteTarget {
    RouteTarget {
        instance: InstanceName::from(name),
        locality,
        state,
        ready_ms: if state == ReplicaState::Loaded {
            0
        } else {
            800
        },
        wait_ms: 0,
        needed_ms: 100,
        load: 0,
        limit: 16,
    }
}

const fn context(remaining_ms: u64) -> RouteContext<'static> {
    RouteContext {
        remaining_ms,
        affinity_key: "prompt",
        wake_key: "m@1",
        suspect_key: None,
    }
}

#[test]
fn another_region_is_used_only_when_the_deadline_requires_it() {
    let mut near = target("near", Locality::Zone, ReplicaState::Loaded);
    near.wait_ms = 500;
    let far = target("far", Locality::Remote, ReplicaState::Loaded);
    let targets = [far, near];
    let relaxed = RouteChooser
        .choose(&targets, context(1_000))
        .expect("a choice");
    assert_eq!(relaxed.index, 1);
    let tight = RouteChooser
        .choose(&targets, context(300))
        .expect("a choice");
    assert_eq!(tight.index, 0);
}

#[test]
fn a_slow_upstream_gets_no_requests() {
    let mut slow = target("slow", Locality::Zone, ReplicaState::Loaded);
    slow.needed_ms = 1_000;
    let good = target("good", Locality::Region, ReplicaState::Loaded);
    for prompt in ["a", "b", "c", "d", "e", "f"] {
        let context = RouteContext {
            affinity_key: prompt,
            ..context(5_000)
        };
        let choice = RouteChooser.choose(&[slow.clone(), good.clone()], context);
        assert_eq!(choice.expect("a choice").index, 1);
    }
}

#[test]
fn affinity_gives_way_to_load() {
    let names = ["a", "b", "c"];
    let mut targets = names.map(|name| target(name, Locality::Zone, ReplicaState::Loaded));
    let first = RouteChooser
        .choose(&targets, context(5_000))
        .expect("a choice");
    assert_eq!(first.reason, RouteReason::Affinity);
    targets[first.index].load = 10;
    let second = RouteChooser
        .choose(&targets, context(5_000))
        .expect("a choice");
    assert_ne!(second.index, first.index);
}

#[test]
fn all_entries_load_a_cold_replica_at_the_same_upstream() {
    let names = ["a", "b", "c"];
    let cold = names.map(|name| target(name, Locality::Zone, ReplicaState::Granted));
    let other_view = names.map(|name| target(name, Locality::Region, ReplicaState::Granted));
    let first = RouteChooser
        .choose(&cold, context(5_000))
        .expect("a choice");
    let second = RouteChooser
        .choose(&other_view, context(5_000))
        .expect("a choice");
    assert_eq!(first.index, second.index);
    assert_eq!(first.reason, RouteReason::Wake);
}

#[test]
fn unreachable_deadlines_are_refused_as_not_run() {
    let targets = [target("a", Locality::Zone, ReplicaState::Granted)];
    let refusal = RouteChooser
        .choose(&targets, context(500))
        .expect_err("too late");
    assert_eq!(
        refusal,
        RequestRefusal::not_run(RefusalReason::DeadlineUnreachable)
    );
    let refusal = RouteChooser
        .choose(&[], context(500))
        .expect_err("no target");
    assert_eq!(refusal, RequestRefusal::not_run(RefusalReason::NoReplica));
}

#[test]
fn a_cold_replica_is_loaded_once_the_loaded_one_would_answer_much_later() {
    let mut loaded = target("loaded", Locality::Zone, ReplicaState::Loaded);
    let cold = target("cold", Locality::Zone, ReplicaState::Granted);
    loaded.wait_ms = 900;
    let choose = |loaded: &RouteTarget| {
        let targets = [loaded.clone(), cold.clone()];
        RouteChooser
            .choose(&targets, context(8_000))
            .expect("a choice")
            .index
    };
    assert_eq!(choose(&loaded), 0);
    loaded.wait_ms = 1_500;
    assert_eq!(choose(&loaded), 1);
}

#[test]
fn a_loss_is_not_a_crash_if_the_boot_id_is_unchanged() {
    let worker = InstanceName::from("worker");
    let loss = |fingerprint, boot_id| UnexplainedLoss {
        fingerprint: RequestFingerprint(fingerprint),
        instance: worker.clone(),
        boot_id,
        crash: crash_id(&worker, boot_id),
        at: at(0),
    };
    let mut tracker = LossTracker::open();
    tracker.track(loss(1, 7));
    tracker.track(loss(2, 6));
    assert_eq!(tracker.resolve_losses(&InstanceName::from("other"), 7), []);
    assert_eq!(tracker.resolve_losses(&worker, 7), [loss(1, 7)]);
    assert_eq!(tracker.resolve_losses(&worker, 7), []);
}

#[test]
fn all_entries_send_a_suspect_to_the_same_upstream() {
    let mut targets =
        ["a", "b", "c"].map(|name| target(name, Locality::Zone, ReplicaState::Loaded));
    let suspect = RouteContext {
        suspect_key: Some("fingerprint"),
        ..context(5_000)
    };
    let first = RouteChooser.choose(&targets, suspect).expect("a choice");
    targets[first.index].load = 10;
    targets[first.index].locality = Locality::Region;
    let second = RouteChooser.choose(&targets, suspect).expect("a choice");
    assert_eq!(first.index, second.index);
    assert_eq!(second.reason, RouteReason::Suspect);
}
