//! The platform's list of instances, which lags behind their real state.

mod errors;
mod member_entry;
mod membership_client;
mod membership_view;

pub use errors::MembershipError;
pub use member_entry::{MemberEntry, MemberRole, MemberState};
pub use membership_client::MembershipClient;
pub use membership_view::MembershipView;
