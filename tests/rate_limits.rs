//! Rate limits of upstreams: tokens that the planner issues, and what entries do without a planner.

use quetzalpin::fleet::UpstreamKey;
use quetzalpin::prelude::*;
use quetzalpin::rate_limit::{
    LimitHearing, RateLimiter, RequestRate, TokenIssuer, TokenNeed, TokenRequest, WaitTurn,
};
use rstest::rstest;
use slotmap::SlotMap;

/// Milliseconds between two steps of the simulated time.
const STEP_MS: u64 = 10;

/// Milliseconds between two reports of an entry.
const REPORT_MS: u64 = 500;

/// The same while its requests wait for tokens.
const WAITING_REPORT_MS: u64 = 150;

/// Milliseconds from a report to its answer.
const ROUND_TRIP_MS: u64 = 60;

/// Milliseconds after which a waiting request is refused.
const MAX_WAIT_MS: u64 = 1_500;

/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time from which a limit counts after it was first named, in milliseconds.
const LIMIT_DELAY_MS: u64 = 4_000;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a rate")
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn turn(rank: u8, arrived_ms: u64) -> WaitTurn {
    WaitTurn {
        rank,
        arrived_at: at(arrived_ms),
    }
}

fn one_key() -> UpstreamKey {
    SlotMap::<UpstreamKey, ()>::with_key().insert(())
}

fn request(need: TokenNeed) -> TokenRequest {
    TokenRequest {
        upstream: UpstreamId::from("i-1"),
        started_at_ms: 5,
        hearing: need.hearing,
        waiting: need.waiting,
        expected: need.expected,
        returned: need.returned,
    }
}

/// An entry whose requests all go to one limited upstream.
struct SimEntry {
    name: InstanceName,
    limiter: RateLimiter,
    key: UpstreamKey,
    per_s: f64,
    waiting: Vec<WaitTurn>,
    report_at: MonoTime,
}

impl SimEntry {
    fn open(number: usize, per_s: f64, report_ms: u64) -> Self {
        Self {
            name: InstanceName::from(format!("entry-{number}").as_str()),
            limiter: RateLimiter::open(),
            key: one_key(),
            per_s,
            waiting: Vec::new(),
            report_at: at(report_ms),
        }
    }

    /// Sends or queues the requests of one step; returns the number sent.
    fn step(&mut self, now: MonoTime, limit: RequestRate, random: &mut fastrand::Rng) -> usize {
        self.limiter.advance(now);
        let mut turns = std::mem::take(&mut self.waiting);
        for turn in &turns {
            self.limiter.end_wait(self.key, *turn);
        }
        #[allow(clippy::cast_precision_loss)]
        let expected = self.per_s * STEP_MS as f64 / 1_000.0;
        if random.f64() < expected {
            turns.push(WaitTurn {
                rank: random.u8(..3),
                arrived_at: now,
            });
        }
        turns.sort_unstable();
        let mut sent = 0;
        for turn in turns {
            let may_send = self.limiter.may_send(now, self.key, turn);
            if may_send && self.limiter.take(now, self.key) {
                self.limiter.record_answer(now, self.key, Some(limit));
                sent += 1;
            } else if now.millis_since(turn.arrived_at) < MAX_WAIT_MS {
                self.limiter.begin_wait(self.key, turn);
                self.waiting.push(turn);
            } else {
                self.limiter.record_refused(now, self.key);
            }
        }
        sent
    }

    /// Reports to the planner and applies its answer; without a planner, nothing comes back.
    fn report(&mut self, now: MonoTime, issuer: Option<&mut TokenIssuer>, entries: u32) {
        let is_waiting = !self.waiting.is_empty();
        self.report_at = now
            + if is_waiting {
                WAITING_REPORT_MS
            } else {
                REPORT_MS
            };
        let needs = self.limiter.take_needs(now);
        let requests: Vec<TokenRequest> = needs.into_iter().map(request).collect();
        let Some(issuer) = issuer else { return };
        let answered_at = now + ROUND_TRIP_MS;
        let grants = issuer.exchange(now, &self.name, &requests);
        self.limiter.record_planner_answer(answered_at, entries);
        for grant in grants {
            self.limiter.adopt(answered_at, self.key, grant.hearing);
            self.limiter
                .grant(answered_at, self.key, grant.count, grant.queue);
        }
    }
}

/// Times in milliseconds of all requests that reach an upstream with a limit, sent by entries that
/// want to send `demand` times as many. The planner is away from 10 s to 15 s.
fn simulate(entries: usize, limit: f64, demand: f64, seed: u64) -> Vec<u64> {
    let mut random = fastrand::Rng::with_seed(seed);
    fastrand::seed(seed);
    #[allow(clippy::cast_precision_loss)]
    let mean_per_s = limit * demand / entries as f64;
    let mut sims: Vec<SimEntry> = (0..entries)
        .map(|number| {
            let per_s = mean_per_s * 2.0 * random.f64();
            SimEntry::open(number, per_s, random.u64(..REPORT_MS))
        })
        .collect();
    let mut issuer = TokenIssuer::open();
    let mut sent_at = Vec::new();
    let entry_count = u32::try_from(entries).expect("a small number");
    for step in 0..3_000 {
        let now = at(step * STEP_MS);
        let is_away = (10_000..15_000).contains(&now.as_millis());
        if now == at(15_000) {
            issuer = TokenIssuer::open();
        }
        for sim in &mut sims {
            let sent = sim.step(now, rate(limit), &mut random);
            sent_at.extend(std::iter::repeat_n(now.as_millis(), sent));
            if now >= sim.report_at {
                sim.report(now, (!is_away).then_some(&mut issuer), entry_count);
            }
        }
    }
    sent_at
}

fn busiest_window(sent_at: &[u64]) -> usize {
    let counted = sent_at.iter().filter(|ms| **ms >= LIMIT_DELAY_MS);
    let in_window = |start: &u64| {
        let window = *start..*start + WINDOW_MS;
        sent_at.iter().filter(|ms| window.contains(ms)).count()
    };
    counted.map(in_window).max().unwrap_or(0)
}

/// Guards against LIMIT: entries together send more than a limit allows, also while the planner is
/// away and when a new one begins.
#[rstest]
#[case::five_entries(5)]
#[case::thirty_entries(30)]
#[case::hundred_entries(100)]
fn entries_together_keep_within_a_limit(#[case] entries: usize) {
    for (seed, limit) in [(1, 0.5), (2, 1.0), (3, 4.0), (4, 20.0)] {
        for demand in [0.7, 1.5, 6.0] {
            let sent_at = simulate(entries, limit, demand, seed);
            let most = busiest_window(&sent_at);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let allowed = (limit * 6.0) as usize + 5;
            assert!(
                most <= allowed,
                "{most} of {allowed} with limit {limit} and demand {demand}"
            );
        }
    }
}

/// Guards against tokens that nobody uses: with more demand than the limit, entries send nearly as
/// much as it allows.
#[rstest]
#[case::five_entries(5, 1.0)]
#[case::thirty_entries(30, 4.0)]
fn entries_use_what_a_limit_allows(#[case] entries: usize, #[case] limit: f64) {
    let sent_at = simulate(entries, limit, 4.0, 9);
    let steady = sent_at.iter().filter(|ms| (4_000..10_000).contains(*ms));
    #[allow(clippy::cast_precision_loss)]
    let per_s = steady.count() as f64 / 6.0;
    assert!(per_s >= limit * 0.8, "{per_s} of {limit} a second");
}

/// Guards against less urgent requests that use up the tokens.
#[test]
fn a_token_goes_to_the_most_urgent_waiting_request() {
    let (mut limiter, key) = (RateLimiter::open(), one_key());
    limiter.record_answer(at(0), key, Some(rate(4.0)));
    limiter.record_planner_answer(at(0), 1);
    limiter.begin_wait(key, turn(0, 50));
    limiter.grant(
        at(60),
        key,
        1,
        quetzalpin::rate_limit::TokenQueue::default(),
    );
    assert!(!limiter.may_send(at(60), key, turn(2, 10)));
    limiter.end_wait(key, turn(0, 50));
    assert!(limiter.may_send(at(60), key, turn(0, 50)));
    assert!(limiter.take(at(60), key));
    assert!(!limiter.may_send(at(60), key, turn(2, 10)));
}

/// Guards against a limit that stays after the upstream has ended it: the newest answer of any
/// entry counts.
#[test]
fn an_answer_without_a_limit_ends_it_at_all_entries() {
    let mut issuer = TokenIssuer::open();
    let mut one = SimEntry::open(1, 0.0, 0);
    let mut other = SimEntry::open(2, 0.0, 0);
    one.limiter.record_answer(at(100), one.key, Some(rate(1.0)));
    one.report(at(200), Some(&mut issuer), 2);
    other.report(at(300), Some(&mut issuer), 2);
    assert_eq!(other.limiter.limit(other.key), Some(rate(1.0)));
    other.limiter.record_answer(at(400), other.key, None);
    other.report(at(500), Some(&mut issuer), 2);
    one.report(at(600), Some(&mut issuer), 2);
    assert_eq!(one.limiter.limit(one.key), None);
    assert_eq!(issuer.limits().count(), 0);
}

/// Guards against a limit of an earlier start of an upstream.
#[test]
fn a_report_on_an_earlier_start_does_not_limit_the_present_one() {
    let mut issuer = TokenIssuer::open();
    let need = |started_at_ms, limit| TokenRequest {
        started_at_ms,
        ..request(TokenNeed {
            key: one_key(),
            hearing: LimitHearing { limit, age_ms: 0 },
            waiting: 1,
            expected: 0,
            returned: 0,
        })
    };
    let name = InstanceName::from("entry-1");
    issuer.exchange(at(10), &name, &[need(9, None)]);
    let grants = issuer.exchange(at(20), &name, &[need(5, Some(rate(1.0)))]);
    assert_eq!(issuer.limits().count(), 0);
    assert!(grants.iter().all(|grant| grant.started_at_ms == 9));
}

/// Guards against a limit of zero that nobody would ever hear the end of.
#[test]
fn a_limit_of_zero_lets_a_request_through_now_and_then() {
    let mut sims: Vec<SimEntry> = (0..3)
        .map(|number| SimEntry::open(number, 5.0, 0))
        .collect();
    let mut issuer = TokenIssuer::open();
    let mut random = fastrand::Rng::with_seed(1);
    let mut sent = 0;
    for step in 0..3_000 {
        let now = at(step * STEP_MS);
        for sim in &mut sims {
            sent += sim.step(now, rate(0.0), &mut random);
            if now >= sim.report_at {
                sim.report(now, Some(&mut issuer), 3);
            }
        }
    }
    assert!((3..=12).contains(&sent), "{sent} requests in 30 s");
}
