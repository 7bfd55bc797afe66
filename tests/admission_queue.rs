//! Property and example tests of the admission queue, the wait forecast and the concurrency
//! limiter.

use proptest::prelude::*;
use quetzalpin::admission::{
    ConcurrencyLimiter, ForecastInput, QueueFull, QueuePolicy, RankKey, RankShare, WaitForecast,
    WorkItem, WorkQueue,
};
use quetzalpin::prelude::*;
use rstest::rstest;

fn ranks() -> Vec<RankShare> {
    let rank = |name: &str, floor_percent| RankShare {
        name: RankName::from(name),
        floor_percent,
    };
    vec![
        rank("urgent", 0),
        rank("normal", 20),
        rank("background", 10),
    ]
}

fn item(rank: usize, team: &str, deadline_ms: u64) -> WorkItem {
    WorkItem {
        rank: RankKey(rank),
        team: TeamName::from(team),
        share: 1,
        deadline: MonoTime::from_millis(deadline_ms),
        service_ms: 10,
        needed_ms: 10,
        replica: None,
        is_suspect: false,
    }
}

fn open(capacity: usize, policy: QueuePolicy) -> WorkQueue<u64> {
    WorkQueue::open(ranks(), capacity, policy)
}

/// Pops `count` requests from a queue that is refilled so that no rank is ever empty; returns
/// how many of each rank were served.
fn serve_flooded(policy: QueuePolicy, count: usize) -> [usize; 3] {
    let mut queue = open(1_000, policy);
    let mut served = [0; 3];
    for number in 0..count {
        for rank in 0..3 {
            queue
                .push(item(rank, "a", 1_000 + number as u64), 0)
                .expect("the queue has room");
        }
        let (popped, _) = queue.pop(|_| true).expect("requests wait");
        served[popped.rank.0] += 1;
        if queue.len() > 900 {
            queue = open(1_000, policy);
        }
    }
    served
}

#[test]
fn each_rank_keeps_its_floor_under_a_flood_of_urgent_work() {
    let mut queue = open(10_000, QueuePolicy::RankFloors);
    for number in 0..2_000 {
        for rank in 0..3 {
            queue
                .push(item(rank, "a", number), 0)
                .expect("the queue has room");
        }
    }
    let mut served = [0; 3];
    for _ in 0..1_000 {
        let (popped, _) = queue.pop(|_| true).expect("requests wait");
        served[popped.rank.0] += 1;
    }
    assert!(served[1] >= 180, "normal work kept {} of 200", served[1]);
    assert!(served[2] >= 90, "background work kept {} of 100", served[2]);
    assert!(served[0] >= 650, "urgent work got {}", served[0]);
}

#[rstest]
#[case(QueuePolicy::StrictRanks, [100, 0, 0])]
#[case(QueuePolicy::RoundRobin, [34, 33, 33])]
fn baseline_policies_serve_ranks_as_named(
    #[case] policy: QueuePolicy,
    #[case] expected: [usize; 3],
) {
    assert_eq!(serve_flooded(policy, 100), expected);
}

#[test]
fn the_earliest_deadline_of_a_rank_goes_first() {
    let mut queue = open(10, QueuePolicy::RankFloors);
    queue.push(item(1, "a", 300), 1).expect("room");
    queue.push(item(1, "a", 100), 2).expect("room");
    queue.push(item(1, "a", 200), 3).expect("room");
    let order: Vec<u64> = std::iter::from_fn(|| queue.pop(|_| true).map(|(_, p)| p)).collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn teams_of_a_rank_share_fairly() {
    let mut queue = open(1_000, QueuePolicy::RankFloors);
    for number in 0..100 {
        queue.push(item(1, "loud", number), 0).expect("room");
    }
    for number in 0..10 {
        queue
            .push(item(1, "quiet", 10_000 + number), 1)
            .expect("room");
    }
    let first: Vec<u64> = (0..20)
        .filter_map(|_| queue.pop(|_| true).map(|(_, payload)| payload))
        .collect();
    let quiet = first.iter().filter(|payload| **payload == 1).count();
    assert_eq!(quiet, 10, "the quiet team got {quiet} of the first 20");
}

#[test]
fn a_full_queue_makes_room_for_more_urgent_work_only() {
    let mut queue = open(10, QueuePolicy::RankFloors);
    for number in 0..10 {
        queue.push(item(2, "a", number), number).expect("room");
    }
    let outcome = queue
        .push(item(0, "a", 5), 99)
        .expect("urgent work is admitted");
    let evicted = outcome.evicted.expect("a request is evicted");
    assert_eq!(queue.remove(evicted).map(|(_, payload)| payload), Some(9));
    assert_eq!(queue.push(item(2, "a", 1), 100), Err(QueueFull));
}

#[test]
fn requests_that_would_miss_their_deadline_are_listed() {
    let mut queue = open(10, QueuePolicy::RankFloors);
    queue.push(item(0, "a", 100), 1).expect("room");
    queue.push(item(0, "a", 200), 2).expect("room");
    let infeasible = queue.infeasible(MonoTime::from_millis(95), |_| 0);
    assert_eq!(infeasible.len(), 1);
    let infeasible = queue.infeasible(MonoTime::from_millis(95), |_| 100);
    assert_eq!(infeasible.len(), 2);
}

#[test]
fn the_forecast_counts_the_floor_under_urgent_pressure() {
    let mut forecast = WaitForecast::open();
    for _ in 0..40 {
        forecast.record(RankKey(0), 1_000);
        forecast.close_window(1_000);
    }
    let input = ForecastInput {
        rank: RankKey(1),
        floor_percent: 20,
        urgent_ms: 0,
        own_ms: 1_000,
        running: 10,
        limit: 10,
        service_ms: 100,
    };
    let wait_ms = forecast.wait_ms(input);
    assert!(
        (450..=560).contains(&wait_ms),
        "waits {wait_ms} ms for a fifth of the service"
    );
}

#[test]
fn the_limiter_follows_the_upstream() {
    let mut limiter = ConcurrencyLimiter::open(32, 50_000);
    for step in 0..40 {
        limiter.sample(MonoTime::from_millis(step * 600), 90_000, 32);
    }
    let lowered = limiter.limit();
    assert!(lowered < 8, "slow tokens lower the limit, got {lowered}");
    for step in 0..2_000 {
        limiter.sample(
            MonoTime::from_millis(30_000 + step * 10),
            20_000,
            limiter.limit(),
        );
    }
    assert_eq!(limiter.limit(), 32);
}

#[derive(Debug, Clone)]
enum Step {
    Push(usize, u8, u64),
    Pop,
    PopReadyTeam(u8),
    Remove(usize),
    Expire(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..3_usize, 0..4_u8, 0..500_u64).prop_map(|(r, t, d)| Step::Push(r, t, d)),
        2 => Just(Step::Pop),
        1 => (0..4_u8).prop_map(Step::PopReadyTeam),
        1 => (0..20_usize).prop_map(Step::Remove),
        1 => (0..500_u64).prop_map(Step::Expire),
    ]
}

fn policy() -> impl Strategy<Value = QueuePolicy> {
    prop_oneof![
        Just(QueuePolicy::RankFloors),
        Just(QueuePolicy::ArrivalOrder),
        Just(QueuePolicy::StrictRanks),
        Just(QueuePolicy::RoundRobin),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Every admitted request leaves the queue exactly once, whatever the policy.
    #[test]
    fn no_request_is_lost_or_duplicated(
        policy in policy(),
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let mut queue = open(24, policy);
        let mut queued = std::collections::BTreeMap::new();
        let mut number = 0;
        for step in steps {
            let mut removed = Vec::new();
            match step {
                Step::Push(rank, team, deadline) => {
                    number += 1;
                    if let Ok(outcome) = queue.push(item(rank, &team.to_string(), deadline), number) {
                        queued.insert(number, outcome.key);
                        removed.extend(outcome.evicted.and_then(|key| queue.remove(key)));
                    }
                }
                Step::Pop => {
                    let popped = queue.pop(|_| true);
                    prop_assert_eq!(popped.is_none(), queued.is_empty());
                    removed.extend(popped);
                }
                Step::PopReadyTeam(team) => {
                    let name = TeamName::from(team.to_string().as_str());
                    let any_ready = queue.items().any(|item| item.team == name);
                    let popped = queue.pop(|item| item.team == name);
                    prop_assert_eq!(popped.is_some(), any_ready);
                    removed.extend(popped);
                }
                Step::Remove(index) => {
                    let key = queued.values().nth(index).copied();
                    removed.extend(key.and_then(|key| queue.remove(key)));
                }
                Step::Expire(now) => {
                    for key in queue.infeasible(MonoTime::from_millis(now), |_| 0) {
                        removed.extend(queue.remove(key));
                    }
                }
            }
            for (_, payload) in removed {
                prop_assert!(queued.remove(&payload).is_some(), "{} left the queue twice", payload);
            }
            prop_assert_eq!(queue.len(), queued.len());
            prop_assert!(queue.len() <= 25);
        }
    }
}
