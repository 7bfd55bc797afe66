//! Faults in a configuration's list of accounts.

use derive_more::Error;
use displaydoc::Display;

use crate::prelude::*;

/// Why a list of accounts is refused. The texts name no key.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum AccountError {
    /// account {0} is listed twice
    DuplicateName(#[error(not(source))] AccountName),
    /// a key of account {other} belongs to account {first}, too
    SharedKey {
        /// The account that is listed first.
        first: AccountName,
        /// The other account.
        other: AccountName,
    },
    /// account {account}: {field} is negative or not a number
    InvalidLimit {
        /// The account.
        account: AccountName,
        /// Name of the limit.
        field: &'static str,
    },
}
