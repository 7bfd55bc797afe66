//! Client accounts: who a caller's key belongs to, and what the account may use.

mod account_directory;
mod account_limit;
mod client_account;
mod errors;
mod key_digest;

pub use account_directory::{AccountDirectory, AccountKey};
pub use account_limit::{AccountLimit, LimitUnit};
pub use client_account::ClientAccount;
pub use errors::AccountError;
pub use key_digest::KeyDigest;
