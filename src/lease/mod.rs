//! Leases stored in table rows and timed by monotonic clocks.

mod lease_holder;
mod lease_row;
mod lease_watch;

pub use lease_holder::{LeaseHolder, LeaseIntent, LeasePredecessor};
pub use lease_row::LeaseRow;
pub use lease_watch::LeaseWatch;
