//! The accounts of one version of the configuration, and their keys.

use std::collections::HashMap;
use std::collections::hash_map::Entry;

use super::{AccountError, CallerCredential, ClientAccount, KeyDigest, KeyFault};
use crate::prelude::*;

/// Position of an account in the [`AccountDirectory`] that returned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AccountKey(u32);

/// Accounts and keys of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountDirectory {
    /// Each name is listed once.
    accounts: Vec<ClientAccount>,
    by_name: HashMap<AccountName, AccountKey>,
    by_key: HashMap<KeyDigest, AccountKey>,
}

impl AccountDirectory {
    /// Adds an account and its keys. A directory that has refused an account must not be used.
    ///
    /// # Errors
    /// [`AccountError`] if the name is known, or a key belongs to another account.
    pub fn add(
        &mut self,
        account: ClientAccount,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) -> Result<AccountKey, AccountError> {
        let key = AccountKey(u32::try_from(self.accounts.len()).unwrap_or(u32::MAX));
        match self.by_name.entry(account.name.clone()) {
            Entry::Occupied(_) => return Err(AccountError::DuplicateName(account.name)),
            Entry::Vacant(entry) => entry.insert(key),
        };
        for digest in keys {
            let owner = *self.by_key.entry(digest).or_insert(key);
            if owner != key {
                let first = self.account(owner).map(|owner| owner.name.clone());
                return Err(AccountError::SharedKey {
                    first: first.unwrap_or_default(),
                    other: account.name,
                });
            }
        }
        self.accounts.push(account);
        Ok(key)
    }

    /// Whether the configuration lists no accounts: requests then need no key.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Number of accounts.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Number of keys of all accounts.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// The account that a request belongs to.
    ///
    /// # Errors
    /// [`KeyFault`] if the request has no key that an account holds.
    pub fn identify(&self, credential: CallerCredential) -> Result<&ClientAccount, KeyFault> {
        let digest = match credential {
            CallerCredential::Missing => return Err(KeyFault::Missing),
            CallerCredential::Unreadable => return Err(KeyFault::Unreadable),
            CallerCredential::Digest(digest) => digest,
        };
        let key = self.find(&digest);
        key.and_then(|key| self.account(key))
            .ok_or(KeyFault::Unknown)
    }

    /// The account that a key belongs to.
    #[must_use]
    pub fn find(&self, digest: &KeyDigest) -> Option<AccountKey> {
        self.by_key.get(digest).copied()
    }

    /// An account by its key in this directory.
    #[must_use]
    pub fn account(&self, key: AccountKey) -> Option<&ClientAccount> {
        self.accounts.get(usize::try_from(key.0).ok()?)
    }

    /// An account by name.
    #[must_use]
    pub fn named(&self, name: &AccountName) -> Option<&ClientAccount> {
        self.account(*self.by_name.get(name)?)
    }

    /// All accounts, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &ClientAccount> {
        self.accounts.iter()
    }
}
