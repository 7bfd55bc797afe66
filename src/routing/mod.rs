//! Selection of the upstream for a request.

mod rendezvous;
mod route_chooser;
mod route_target;

pub use rendezvous::rendezvous_weight;
pub use route_chooser::{RouteChoice, RouteChooser, RouteContext, RouteReason};
pub use route_target::{Locality, RouteTarget};
