//! Single rules of the issuer, the limiter and the guard.

use std::cell::RefCell;
use std::rc::Rc;

use quetzalpin::account::AccountDirectory;
use quetzalpin::account_limit::{
    AccountIssuer, AccountLimiter, AccountWait, AllowanceGrant, AllowanceGuard, AllowanceReport,
    AllowanceRequest, LEASE_MS, PlannerAnswer, WaitingCost,
};
use quetzalpin::prelude::*;
use quetzalpin::rate_limit::WaitTurn;

use super::fleet_sim::{BOUNDS, account, at, directory, limit};

const RATE: f64 = 4_200.0;

fn wait(rank: u8, arrived_ms: u64, number: u64, cost: u32) -> AccountWait {
    AccountWait {
        turn: WaitTurn {
            rank,
            arrived_at: at(arrived_ms),
        },
        number,
        cost,
    }
}

fn ask(waiting: &[WaitingCost], returned: u32, held: u32) -> AllowanceReport {
    let request = AllowanceRequest {
        account: account(),
        waiting: waiting.to_vec(),
        expected: 0,
        returned,
        held,
    };
    AllowanceReport {
        requests: vec![request],
        is_stopping: false,
    }
}

fn gateway(number: u32) -> InstanceName {
    InstanceName::from(format!("gateway-{number}").as_str())
}

fn units(grants: &[AllowanceGrant]) -> u32 {
    grants.iter().map(|grant| grant.units).sum()
}

fn grant(
    limiter: &mut AccountLimiter,
    sent_ms: u64,
    now_ms: u64,
    account: AccountName,
    units: u32,
) {
    let grants = [AllowanceGrant {
        account,
        units,
        wait_ms: 0,
        pace_per_s: 0,
    }];
    let answer = PlannerAnswer {
        sent_at: at(sent_ms),
        gateway_count: 2,
        version: 1,
        grants: &grants,
    };
    limiter.record_answer(at(now_ms), &answer);
}

/// A limiter with units in hand that were asked for at 0.
fn limiter_with(held: u32) -> AccountLimiter {
    let mut limiter = AccountLimiter::open(at(0), BOUNDS);
    let first = limiter.take(at(0), &account(), limit(RATE), wait(1, 0, 0, 500));
    assert_eq!(
        first, None,
        "a gateway that has just started has no allowance"
    );
    grant(&mut limiter, 0, 10, account(), held);
    limiter
}

/// Guards against allowance that is lost with a request which is never sent, and against one that is
/// given back although it was spent.
#[test]
fn guard_gives_back_unless_spent() {
    let limiter = Rc::new(RefCell::new(limiter_with(700)));
    let take = |number| {
        let request = wait(1, 20, number, 700);
        let allowance = limiter
            .borrow_mut()
            .take(at(20), &account(), limit(RATE), request);
        allowance.map(|taken| AllowanceGuard::open(Rc::clone(&limiter), account(), taken))
    };
    let guard = take(1).expect("allowance");
    assert!(take(2).is_none());
    drop(guard);
    let spent = take(3).expect("allowance that was given back").spend();
    assert!(take(4).is_none());
    // The request turned out not to have run.
    let guard = spent.refund();
    assert!(!guard.is_expired(at(20)) && guard.is_expired(at(LEASE_MS)));
    drop(guard);
    assert!(take(5).is_some());
}

/// Guards against a refund that arrives after the lease's end and is used once more instead of going
/// back to the planner.
#[test]
fn expired_allowance_goes_back_to_the_planner_once() {
    let mut limiter = limiter_with(700);
    let request = wait(1, 20, 1, 500);
    let taken = limiter.take(at(20), &account(), limit(RATE), request);
    grant(&mut limiter, 1_200, 1_210, AccountName::from("none"), 0);
    limiter.give_back(&account(), taken.expect("allowance"));
    let late = limiter.take(at(1_300), &account(), limit(RATE), wait(1, 1_300, 2, 100));
    assert_eq!(late, None);
    let report = limiter.take_report(at(1_400));
    assert_eq!(
        (report.requests[0].returned, report.requests[0].held),
        (700, 0)
    );
    assert!(limiter.take_report(at(1_410)).is_empty());
}

/// Guards against an answer that a frozen process reads late and then spends.
#[test]
fn late_answer_gives_nothing() {
    let mut limiter = limiter_with(0);
    grant(&mut limiter, 100, 100 + LEASE_MS, account(), 5_000);
    let now = 100 + LEASE_MS;
    let taken = limiter.take(at(now), &account(), limit(RATE), wait(1, now, 1, 100));
    assert_eq!(taken, None);
}

/// Guards against a less urgent or later request that takes the allowance of the one before it, and
/// against a queue that holds up another account.
#[test]
fn requests_of_an_account_are_served_in_order() {
    let mut limiter = limiter_with(0);
    let (urgent, first, second) = (
        wait(0, 30, 3, 600),
        wait(1, 10, 1, 600),
        wait(1, 20, 2, 100),
    );
    for request in [first, second, urgent] {
        limiter.begin_wait(&account(), request);
    }
    grant(&mut limiter, 30, 40, account(), 1_000);
    let mut take = |request| {
        limiter
            .take(at(50), &account(), limit(RATE), request)
            .is_some()
    };
    assert!(!take(second), "two requests go first");
    assert!(!take(first), "a more urgent one goes first");
    assert!(take(urgent));
    limiter.end_wait(&account(), urgent);
    let other = AccountName::from("account-2");
    let _ = limiter.take(at(50), &other, limit(RATE), wait(5, 50, 9, 300));
    grant(&mut limiter, 45, 55, other.clone(), 300);
    assert!(
        limiter
            .take(at(60), &other, limit(RATE), wait(5, 50, 9, 300))
            .is_some()
    );
}

/// Guards against ranks and gateways that are served in the order of their reports only.
#[test]
fn issuer_serves_ranks_first_and_gateways_in_turn() {
    let accounts = directory(limit(RATE));
    let mut issuer = AccountIssuer::open(at(0), BOUNDS);
    // A new planner's bucket holds a quarter of 12,700 units.
    let all = vec![WaitingCost(1, 1_000); 8];
    assert_eq!(
        units(&issuer.exchange(at(0), &gateway(1), &ask(&all, 0, 0), &accounts)),
        3_000
    );
    let two = [WaitingCost(1, 1_000); 2];
    let urgent = [WaitingCost(0, 1_000)];
    assert_eq!(
        units(&issuer.exchange(at(10), &gateway(2), &ask(&two, 0, 0), &accounts)),
        0
    );
    let grants = issuer.exchange(at(20), &gateway(3), &ask(&urgent, 0, 0), &accounts);
    assert!(units(&grants) == 0 && grants[0].wait_ms > 0, "{grants:?}");
    // 0.5 s later there are two requests' units: the urgent one's, and gateway 2 has waited longer.
    let rest = vec![WaitingCost(1, 1_000); 5];
    let first = issuer.exchange(at(500), &gateway(1), &ask(&rest, 0, 0), &accounts);
    assert_eq!(units(&first), 0);
    let second = issuer.exchange(at(510), &gateway(2), &ask(&two, 0, 0), &accounts);
    assert_eq!(units(&second), 1_000);
    let third = issuer.exchange(at(520), &gateway(3), &ask(&urgent, 0, 0), &accounts);
    assert_eq!(units(&third), 1_000);
    let exhausted = issuer.take_exhausted();
    assert_eq!(
        exhausted.len(),
        1,
        "one note in some seconds: {exhausted:?}"
    );
}

/// Guards against a request above the bucket's depth that waits forever.
#[test]
fn request_above_the_depth_is_granted_from_a_full_bucket() {
    let accounts = directory(limit(RATE));
    let mut issuer = AccountIssuer::open(at(0), BOUNDS);
    let large = [WaitingCost(1, 15_000)];
    assert_eq!(
        units(&issuer.exchange(at(0), &gateway(1), &ask(&large, 0, 0), &accounts)),
        0
    );
    let mut now = 0;
    let mut granted = 0;
    while granted == 0 && now < 10_000 {
        now += 150;
        granted = units(&issuer.exchange(at(now), &gateway(1), &ask(&large, 0, 0), &accounts));
    }
    assert_eq!(granted, 15_000);
    // What it had too much is paid before the next grant.
    let next = [WaitingCost(1, 500)];
    assert_eq!(
        units(&issuer.exchange(at(now + 150), &gateway(1), &ask(&next, 0, 0), &accounts)),
        0
    );
}

/// Guards against a caller that states an absurd cost, which would be granted from a full bucket and leave
/// the account without allowance for days.
#[test]
fn request_of_absurd_cost_harms_nobody() {
    let accounts = directory(limit(RATE));
    let mut issuer = AccountIssuer::open(at(0), BOUNDS);
    let waiting = [WaitingCost(0, u32::MAX), WaitingCost(1, 500)];
    for now in [0, 10_000, 20_000] {
        let grants = issuer.exchange(at(now), &gateway(1), &ask(&waiting, 0, 0), &accounts);
        assert_eq!(units(&grants), 500);
    }
    let mut limiter = AccountLimiter::open(at(0), BOUNDS);
    let absurd = wait(0, 20_000, 1, u32::MAX);
    let usual = wait(1, 20_000, 2, 100);
    assert!(limiter.is_too_large(&limit(RATE), absurd.cost));
    assert_eq!(
        limiter.take(at(20_000), &account(), limit(RATE), absurd),
        None
    );
    // Without a planner, too.
    let _ = limiter.take(at(20_000), &account(), limit(RATE), usual);
    let taken = limiter.take(at(30_000), &account(), limit(RATE), usual);
    assert!(taken.is_some());
    // The absurd cost has not filled the gateway's own allowance.
    let large = wait(1, 30_000, 3, 20_000);
    assert_eq!(
        limiter.take(at(30_000), &account(), limit(RATE), large),
        None
    );
}

/// Guards against a new planner that grants what gateways still hold from the one before.
#[test]
fn new_planner_charges_what_is_in_hand() {
    let accounts = directory(limit(RATE));
    let mut issuer = AccountIssuer::open(at(0), BOUNDS);
    let waiting = [WaitingCost(1, 1_000); 3];
    let grants = issuer.exchange(at(0), &gateway(1), &ask(&waiting, 0, 2_500), &accounts);
    assert_eq!(units(&grants), 0);
}

/// Guards against messages of deployments without accounts and of accounts that are not used.
#[test]
fn nothing_is_said_without_active_accounts() {
    let mut limiter = AccountLimiter::open(at(0), BOUNDS);
    assert!(limiter.take_report(at(10)).is_empty());
    limiter.begin_stop();
    assert!(limiter.take_report(at(20)).is_empty());
    let mut issuer = AccountIssuer::open(at(0), BOUNDS);
    let report = AllowanceReport::default();
    let accounts = AccountDirectory::default();
    assert!(
        issuer
            .exchange(at(30), &gateway(1), &report, &accounts)
            .is_empty()
    );

    let mut limiter = limiter_with(700);
    let _ = limiter.take(at(20), &account(), limit(RATE), wait(1, 20, 1, 700));
    assert!(
        limiter.take_report(at(600)).is_empty(),
        "nothing expected, nothing in hand"
    );
    let _ = limiter.take_report(at(20_000));
    assert!(
        limiter.is_empty(),
        "forgotten when it was not used for long"
    );
}

/// Guards against an account that is kept at the planner for good, and against one that is forgotten and
/// gets a full bucket too early.
#[test]
fn idle_accounts_are_forgotten_once_their_bucket_is_full() {
    let accounts = directory(limit(100.0));
    let mut issuer = AccountIssuer::open(at(0), BOUNDS);
    let waiting = [WaitingCost(1, 2_000)];
    assert_eq!(
        units(&issuer.exchange(at(0), &gateway(1), &ask(&waiting, 0, 0), &accounts)),
        2_000
    );
    let report = AllowanceReport::default();
    for now in (0..80_000).step_by(500) {
        issuer.exchange(at(now), &gateway(1), &report, &accounts);
    }
    // 8,600 units of depth at 100 a second.
    assert_eq!(issuer.active_accounts(), 1);
    for now in (80_000..90_000).step_by(500) {
        issuer.exchange(at(now), &gateway(1), &report, &accounts);
    }
    assert_eq!(issuer.active_accounts(), 0);
}

/// Shows the size of the messages, which the design note states.
#[test]
fn messages_are_small() {
    let report = ask(&[WaitingCost(1, 850)], 420, 1_700);
    let text = serde_json::to_string(&report).expect("text");
    let grant = AllowanceGrant {
        account: account(),
        units: 1_700,
        wait_ms: 0,
        pace_per_s: 931,
    };
    let answer = serde_json::to_string(&grant).expect("text");
    println!(
        "{} bytes {text}\n{} bytes {answer}",
        text.len(),
        answer.len()
    );
    assert!(text.len() <= 80 && answer.len() <= 60);
    assert_eq!(
        serde_json::to_string(&AllowanceReport::default()).expect("text"),
        "{}"
    );
}

/// Load: an account at several times its limit. Guards against a queue in which every admitted request
/// waits so long that it misses its target, and against patient requests that keep the others out.
#[test]
fn request_that_would_be_late_by_its_accounts_queue_is_refused_at_once() {
    let mut limiter = limiter_with(0);
    grant(&mut limiter, 0, 10, account(), 0);
    let now = at(20);
    let (own_ms, urgent_ms, patient_ms) = (40, 400, 6_000);
    assert!(
        !limiter.is_late(now, 0, 0, own_ms, urgent_ms),
        "there is room"
    );
    assert!(!limiter.is_late(now, 0, 200, own_ms, urgent_ms));
    assert!(limiter.is_late(now, 0, 201, own_ms, urgent_ms));
    assert!(limiter.is_late(now, 150, 51, own_ms, urgent_ms));
    assert!(!limiter.is_late(now, 0, 290, own_ms, patient_ms));
    assert!(limiter.is_late(now, 0, 291, own_ms, patient_ms));
    // A large request that nobody is ahead of waits for what it costs itself.
    assert!(!limiter.is_late(now, 0, 2_000, 1_900, patient_ms));
    let after_silence = at(5_000);
    assert!(
        !limiter.is_late(after_silence, 0, 900, own_ms, urgent_ms),
        "no word of a planner"
    );
}
