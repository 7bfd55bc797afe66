//! One client account.

use super::AccountLimit;
use crate::prelude::*;

/// A client account as one version of the configuration lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAccount {
    /// Its name.
    pub name: AccountName,
    /// Rank of its requests instead of their route's; `None` leaves the route's.
    pub rank: Option<u8>,
    /// Its rate limit; `None` without one.
    pub limit: Option<AccountLimit>,
}
