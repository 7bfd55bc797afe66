//! Sets of clients that a process cannot control, and the bounds that it must keep to.

mod client_set;
mod set_trial;

pub use client_set::{ClientSet, TargetRequest};
pub use set_trial::{assert_excess_is_not_read, assert_large_is_served_beside, try_clients};
