//! Accounts, their keys, and what a request is planned with for them.

use quetzalpin::account::{
    AccountDirectory, AccountError, AccountLimit, CallerCredential, ClientAccount, KeyDigest,
    KeyFault, LimitUnit,
};
use quetzalpin::fleet::{RouteKind, RouteRule, WeightedService};
use quetzalpin::gateway::{CallHead, CallPlan};
use quetzalpin::metrics::{AccountOutcome, NodeMetrics};
use quetzalpin::prelude::*;
use rstest::rstest;
use sha2::{Digest, Sha256};

const KEY: &[u8] = b"k-4f1e77a0c2";
const ROUTE_RANK: u8 = 2;

fn account(name: &str) -> ClientAccount {
    ClientAccount {
        name: AccountName::from(name),
        rank: None,
        limit: None,
    }
}

fn directory(accounts: &[(&str, &[&[u8]])]) -> AccountDirectory {
    let mut directory = AccountDirectory::default();
    for (name, keys) in accounts {
        let digests = keys.iter().map(|key| KeyDigest::of(key));
        let added = directory.add(account(name), digests);
        added.expect("a valid account");
    }
    directory
}

/// Guards against a request that is served without a key of the configuration in force, or for the
/// wrong account.
#[rstest]
#[case::none(CallerCredential::Missing, Err(KeyFault::Missing))]
#[case::unreadable(CallerCredential::Unreadable, Err(KeyFault::Unreadable))]
#[case::unknown(
    CallerCredential::Digest(KeyDigest::of(b"k-4f1e77a0c3")),
    Err(KeyFault::Unknown)
)]
#[case::first_key(CallerCredential::Digest(KeyDigest::of(KEY)), Ok("first"))]
#[case::second_key(CallerCredential::Digest(KeyDigest::of(b"k-2")), Ok("first"))]
#[case::other_account(CallerCredential::Digest(KeyDigest::of(b"k-3")), Ok("second"))]
fn a_request_belongs_to_the_account_that_holds_its_key(
    #[case] credential: CallerCredential,
    #[case] expected: Result<&str, KeyFault>,
) {
    let directory = directory(&[
        ("first", &[KEY, b"k-2"]),
        ("second", &[b"k-3"]),
        ("idle", &[]),
    ]);
    let found = directory.identify(credential);
    assert_eq!(found.map(|account| account.name.as_str()), expected);
}

/// Guards against a key that identifies two accounts, and an account with two limits.
#[test]
fn a_name_or_a_key_of_two_accounts_is_refused() {
    let mut directory = directory(&[("first", &[KEY])]);
    let again = directory.add(account("first"), [KeyDigest::of(b"k-9")]);
    assert_eq!(again, Err(AccountError::DuplicateName("first".into())));
    let shared = directory.add(account("second"), [KeyDigest::of(KEY)]);
    let expected = AccountError::SharedKey {
        first: "first".into(),
        other: "second".into(),
    };
    assert_eq!(shared, Err(expected));
}

/// Guards against a configuration that is rejected because one account lists a key twice, which has
/// only one meaning.
#[test]
fn a_key_that_one_account_lists_twice_counts_once() {
    let directory = directory(&[("first", &[KEY, KEY])]);
    assert_eq!((directory.len(), directory.key_count()), (1, 1));
}

/// Guards against keys or digests in logs, through the `Debug` output of what holds them.
#[test]
fn debug_output_names_no_key_and_no_digest() {
    let head = CallHead {
        credential: CallerCredential::Digest(KeyDigest::of(KEY)),
        ..CallHead::default()
    };
    let texts = [
        format!("{:?}", directory(&[("first", &[KEY])])),
        format!("{head:?}"),
    ];
    let key = String::from_utf8_lossy(KEY);
    let digest: [u8; 32] = Sha256::digest(KEY).into();
    let numbers = format!("{}, {}, {}", digest[0], digest[1], digest[2]);
    for text in texts {
        assert!(!text.contains(&*key) && !text.contains(&numbers), "{text}");
        assert!(text.contains("KeyDigest(..)"), "{text}");
    }
}

fn planned(account: &ClientAccount, token_count: Option<u32>) -> CallPlan {
    let rule = RouteRule {
        name: "notes".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_ms: 100,
        rank: ROUTE_RANK,
        services: vec![WeightedService {
            service: ServiceName::from("desk"),
            weight: 1,
        }],
        max_attempts: 1,
        is_key_exempt: false,
    };
    let mut plan = CallPlan::open(MonoTime::default(), CallHead::default(), &rule, 1);
    plan.assign(account, token_count);
    plan
}

/// Guards against a route's rank that wins over the account's, also where the account's is 0.
#[rstest]
#[case::none(None, ROUTE_RANK)]
#[case::more_urgent(Some(0), 0)]
#[case::less_urgent(Some(7), 7)]
fn the_rank_of_an_account_replaces_the_route_s(#[case] rank: Option<u8>, #[case] expected: u8) {
    let account = ClientAccount {
        rank,
        ..account("first")
    };
    let plan = planned(&account, None);
    assert_eq!(plan.rank, expected);
    assert_eq!(plan.account, Some("first".into()));
}

const TOKENS: LimitUnit = LimitUnit::Tokens { plain_tokens: 30 };

/// Guards against requests that a limit counts with the wrong number of units.
#[rstest]
#[case::no_limit(None, Some(500), 0)]
#[case::requests(Some(LimitUnit::Requests), Some(500), 1)]
#[case::tokens(Some(TOKENS), Some(500), 500)]
#[case::tokens_not_stated(Some(TOKENS), None, 30)]
fn a_request_costs_what_the_unit_counts(
    #[case] unit: Option<LimitUnit>,
    #[case] token_count: Option<u32>,
    #[case] cost: u32,
) {
    let account = ClientAccount {
        limit: unit.map(|unit| AccountLimit {
            per_s: 10.0,
            burst: 10.0,
            unit,
        }),
        ..account("first")
    };
    assert_eq!(planned(&account, token_count).cost, cost);
}

/// Guards against metrics that grow with the number of accounts, and against requests that are not
/// counted at all.
#[test]
fn only_the_first_accounts_are_labels() {
    const NAMED: usize = 64;
    const ACCOUNTS: usize = 200;
    let metrics = NodeMetrics::open();
    for round in 0..2 {
        for number in 0..ACCOUNTS {
            let name = AccountName::from(format!("a{number}").as_str());
            let outcome = [AccountOutcome::Arrived, AccountOutcome::Refused][round];
            metrics.accounts.count_request(Some(&name), outcome);
        }
    }
    metrics
        .accounts
        .count_request(None, AccountOutcome::Arrived);
    let text = metrics.encode();
    let count = |outcome: &str, account: &str| {
        let prefix = format!(
            "quetzalpin_account_requests_total{{account=\"{account}\",outcome=\"{outcome}\"}} "
        );
        let line = text.lines().find_map(|line| line.strip_prefix(&prefix));
        line.map(ToOwned::to_owned)
    };
    for outcome in ["arrived", "refused"] {
        assert_eq!(count(outcome, "a0").as_deref(), Some("1"));
        assert_eq!(count(outcome, "a63").as_deref(), Some("1"));
        assert_eq!(count(outcome, "a64"), None);
        let others = (ACCOUNTS - NAMED).to_string();
        assert_eq!(count(outcome, "other"), Some(others));
    }
}

/// Guards against checks of keys that are counted under the wrong outcome.
#[test]
fn checks_of_keys_are_counted_by_outcome() {
    let metrics = NodeMetrics::open();
    let checks = [
        (None, false),
        (None, true),
        (Some(KeyFault::Missing), false),
        (Some(KeyFault::Unreadable), false),
        (Some(KeyFault::Unknown), false),
        (Some(KeyFault::Unknown), true),
    ];
    for (fault, is_exempt) in checks {
        metrics.accounts.count_check(fault, is_exempt);
    }
    let text = metrics.encode();
    let expected = [
        ("known_key", 2),
        ("missing_key", 1),
        ("unreadable_key", 1),
        ("unknown_key", 1),
        ("exempt", 1),
    ];
    for (outcome, count) in expected {
        let line = format!("quetzalpin_key_checks_total{{outcome=\"{outcome}\"}} {count}\n");
        assert!(text.contains(&line), "{text}");
    }
}
