//! Permits to load from the rate-limited weight store.

mod fallback_share;
mod permit_issuer;

pub use fallback_share::FallbackShare;
pub use permit_issuer::{PermitIssuer, PermitKey, TicketKey};
