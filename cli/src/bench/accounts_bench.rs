//! `quetzalpin bench accounts`: time of finding the account of a request.

use std::hint::black_box;
use std::process::ExitCode;
use std::time::Instant;

use quetzalpin::account::{AccountDirectory, CallerCredential, ClientAccount, KeyDigest};
use quetzalpin::prelude::*;

use crate::flags::Accounts;

/// Number of accounts without `--accounts`.
const DEFAULT_ACCOUNTS: usize = 5_000;

/// Number of keys of all accounts without `--keys`.
const DEFAULT_KEYS: usize = 50_000;

/// Number of look-ups of each kind.
const LOOKUPS: u32 = 1_000_000;

/// Measures look-ups of known and unknown keys, without any input or output.
pub fn run(flags: &Accounts) -> ExitCode {
    let accounts = flags.accounts.unwrap_or(DEFAULT_ACCOUNTS).max(1);
    let keys = flags.keys.unwrap_or(DEFAULT_KEYS).max(1);
    let mut random = fastrand::Rng::with_seed(1);
    let known: Vec<String> = (0..keys).map(|_| key_text(&mut random)).collect();
    let unknown: Vec<String> = (0..keys).map(|_| key_text(&mut random)).collect();
    let started_at = Instant::now();
    let directory = directory(accounts, &known);
    let build_ms = started_at.elapsed().as_secs_f64() * 1e3;
    println!("{accounts} accounts, {keys} keys, {LOOKUPS} look-ups of each kind");
    println!("directory       {build_ms:8.1} ms");
    let digests = |keys: &[String]| -> Vec<KeyDigest> {
        keys.iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect()
    };
    let mut measure = |name: &str, lookup: &dyn Fn(usize) -> bool| {
        let order: Vec<usize> = (0..LOOKUPS).map(|_| random.usize(..keys)).collect();
        let started_at = Instant::now();
        let found = order.iter().filter(|index| lookup(**index)).count();
        let each_ns = started_at.elapsed().as_secs_f64() * 1e9 / f64::from(LOOKUPS);
        println!("{name:<15} {each_ns:8.1} ns each, {found} found");
    };
    let is_known = |digest: KeyDigest| {
        let credential = CallerCredential::Digest(black_box(digest));
        directory.identify(credential).is_ok()
    };
    let (known_digests, unknown_digests) = (digests(&known), digests(&unknown));
    measure("known digest", &|index| is_known(known_digests[index]));
    measure("unknown digest", &|index| is_known(unknown_digests[index]));
    let is_known_key = |key: &String| is_known(KeyDigest::of(key.as_bytes()));
    measure("known key", &|index| is_known_key(&known[index]));
    measure("unknown key", &|index| is_known_key(&unknown[index]));
    ExitCode::SUCCESS
}

fn key_text(random: &mut fastrand::Rng) -> String {
    format!("k-{:032x}", random.u128(..))
}

/// A directory in which the accounts share the keys evenly.
fn directory(accounts: usize, keys: &[String]) -> AccountDirectory {
    let mut directory = AccountDirectory::default();
    for number in 0..accounts {
        let account = ClientAccount {
            name: AccountName::from(format!("account-{number:05}").as_str()),
            rank: None,
            limit: None,
        };
        let own_keys = keys.iter().skip(number).step_by(accounts);
        let digests = own_keys.map(|key| KeyDigest::of(key.as_bytes()));
        // Each name is new; a random key that occurs twice is too improbable to matter.
        let _ = directory.add(account, digests);
    }
    directory
}
