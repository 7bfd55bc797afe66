//! The platform's lagging list of instances.

mod errors;
mod list_client;
mod member_entry;
mod membership_view;

pub use errors::MembershipError;
pub use list_client::ListClient;
pub use member_entry::{MemberEntry, MemberRole, MemberState};
pub use membership_view::MembershipView;
