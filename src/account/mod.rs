//! Client accounts: who a caller's key belongs to, and what the account may use.

mod account_directory;
mod account_limit;
mod caller_credential;
mod client_account;
mod errors;
mod key_digest;
mod key_fault;

pub use account_directory::{AccountDirectory, AccountKey};
pub use account_limit::{AccountLimit, LimitUnit};
pub use caller_credential::CallerCredential;
pub use client_account::ClientAccount;
pub use errors::AccountError;
pub use key_digest::KeyDigest;
pub use key_fault::KeyFault;
