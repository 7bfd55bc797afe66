//! Limits of client accounts, with the planner's issuer and the gateways' limiters stepped over simulated
//! time, without a network.

mod fleet_sim;
mod limit_bound;
mod small_cases;
mod usual_rate;
