//! Which requests give way while upstreams are full. Load: twice as much work as the upstreams carry,
//! from requests of three ranks, a tenth of them nine times as large as the others.

use proptest::prelude::*;
use quetzalpin::prelude::*;
use quetzalpin::shedding::{LoadShedder, RequestWork, ShedVerdict};

const SMALL_TOKENS: u32 = 300;
const LARGE_TOKENS: u32 = 2_700;
const PATIENCE_MS: u64 = 4_000;

/// Requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    arrived: u32,
    served: u32,
}

impl Outcome {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.arrived.max(1))
    }
}

/// Requests of a run by kind.
#[derive(Debug, Default)]
struct Outcomes {
    all: Outcome,
    ranks: [Outcome; 3],
    large: Outcome,
    refused: u32,
}

impl Outcomes {
    fn count(&mut self, rank: u8, tokens: u32, change: impl Fn(&mut Outcome)) {
        change(&mut self.all);
        change(&mut self.ranks[usize::from(rank)]);
        if tokens == LARGE_TOKENS {
            change(&mut self.large);
        }
    }
}

/// Sends `per_s` requests a second for 60 s through a shedder to upstreams that carry
/// `tokens_per_s`. The first 10 s are not counted.
fn run_overload(per_s: u64, tokens_per_s: f64) -> Outcomes {
    let mut shedder = LoadShedder::default();
    let mut random = fastrand::Rng::with_seed(7);
    let mut outcomes = Outcomes::default();
    let mut backlog = 0.0;
    let mut waiting: Vec<(u64, u8, u32, bool)> = Vec::new();
    for now_ms in (0..60_000_u64).step_by(20) {
        let now = MonoTime::from_millis(now_ms);
        let is_counted = now_ms >= 10_000;
        backlog = f64::max(0.0, backlog - tokens_per_s / 50.0);
        if random.u64(..50) < per_s {
            let rank = random.u8(..3);
            let is_large = random.u8(..10) == 0;
            let tokens = if is_large { LARGE_TOKENS } else { SMALL_TOKENS };
            waiting.push((now_ms + PATIENCE_MS, rank, tokens, true));
            if is_counted {
                outcomes.count(rank, tokens, |outcome| outcome.arrived += 1);
            }
        }
        for (ends_ms, rank, tokens, is_first) in std::mem::take(&mut waiting) {
            let left_ms = ends_ms.saturating_sub(now_ms);
            let work = RequestWork {
                rank,
                tokens,
                left_ms,
            };
            if is_first {
                shedder.record_arrived(now, work);
            }
            match shedder.verdict(now, work) {
                ShedVerdict::Send => {
                    shedder.record_sent(now, work);
                    if backlog < tokens_per_s {
                        backlog += f64::from(tokens);
                        if is_counted {
                            outcomes.count(rank, tokens, |outcome| outcome.served += 1);
                        }
                    } else {
                        shedder.record_full(now, work);
                        if left_ms > 0 {
                            waiting.push((ends_ms, rank, tokens, false));
                        }
                    }
                }
                ShedVerdict::Delay(wait_ms) => {
                    assert!((1..=100).contains(&wait_ms));
                    waiting.push((ends_ms, rank, tokens, false));
                }
                ShedVerdict::Refuse { retry_ms } => {
                    assert!((1..=5_000).contains(&retry_ms), "{retry_ms} ms");
                    outcomes.refused += 1;
                }
            }
        }
    }
    outcomes
}

/// Guards against delays and refusals where upstreams turn no request away.
#[test]
fn nothing_gives_way_while_room_is_enough() {
    let outcomes = run_overload(25, 60_000.0);
    assert_eq!(outcomes.refused, 0);
    assert!(outcomes.all.share() > 0.99, "{outcomes:?}");
}

/// Guards against overload whose cost falls on a rank or on large requests alone.
#[test]
fn each_rank_and_large_requests_have_a_floor() {
    let outcomes = run_overload(40, 10_000.0);
    let all = outcomes.all.share();
    assert!(all < 0.9, "no overload: {outcomes:?}");
    for rank in outcomes.ranks {
        assert!(rank.share() >= all * 0.25, "{outcomes:?}");
    }
    assert!(outcomes.large.share() >= all * 0.5, "{outcomes:?}");
}

/// Guards against a shedder that serves urgent requests no better than others, or that wastes what
/// the upstreams carry.
#[test]
fn urgent_and_small_requests_are_served_first() {
    let outcomes = run_overload(40, 10_000.0);
    assert!(
        outcomes.ranks[0].share() > outcomes.ranks[2].share(),
        "{outcomes:?}"
    );
    assert!(
        outcomes.large.share() < outcomes.all.share(),
        "{outcomes:?}"
    );
    let small = outcomes.all.served - outcomes.large.served;
    let served = f64::from(small * SMALL_TOKENS + outcomes.large.served * LARGE_TOKENS);
    assert!(
        served > 0.7 * 10_000.0 * 50.0,
        "{served} tokens: {outcomes:?}"
    );
}

/// Guards against a request that takes the place of one that can't wait, although it could.
#[test]
fn what_can_still_wait_waits() {
    let now = MonoTime::from_millis(1_000);
    let mut shedder = LoadShedder::default();
    let work = |left_ms| RequestWork {
        rank: 0,
        tokens: SMALL_TOKENS,
        left_ms,
    };
    shedder.record_arrived(now, work(0));
    while shedder.price(now) < 0.7 {
        shedder.record_full(now, work(0));
    }
    assert_eq!(shedder.verdict(now, work(0)), ShedVerdict::Send);
    let patient = shedder.verdict(now, work(20_000));
    assert!(matches!(patient, ShedVerdict::Delay(_)), "{patient:?}");
    let later = now + 10_000;
    assert!(!shedder.is_active(later));
    assert_eq!(shedder.verdict(later, work(20_000)), ShedVerdict::Send);
}

proptest! {
    /// Guards against a panic or an endless wait for any sizes, ranks and times.
    #[test]
    fn any_request_gets_a_usable_verdict(
        requests in prop::collection::vec((any::<u8>(), any::<u32>(), any::<u32>(), 0_u64..500), 1..80),
    ) {
        let mut shedder = LoadShedder::default();
        let mut now = MonoTime::default();
        for (rank, tokens, left_ms, pause_ms) in requests {
            now = now + pause_ms;
            let work = RequestWork { rank, tokens, left_ms: u64::from(left_ms) };
            shedder.record_arrived(now, work);
            match shedder.verdict(now, work) {
                ShedVerdict::Send => {
                    shedder.record_sent(now, work);
                    shedder.record_full(now, work);
                }
                ShedVerdict::Delay(wait_ms) => prop_assert!((1..=100).contains(&wait_ms)),
                ShedVerdict::Refuse { retry_ms } => prop_assert!((1..=5_000).contains(&retry_ms)),
            }
        }
    }
}
