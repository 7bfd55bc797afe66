//! Daemons and coordination logic of a serving system for rarely used models.
//!
//! Decisions are made by state machines without I/O: they take events and a
//! [`time::MonoTime`] and return actions. Sockets and clocks stay in [`entry`], [`agent`],
//! [`gateway`] and [`net`].

pub mod account;
pub mod account_limit;
pub mod admission;
pub mod agent;
pub mod config;
pub mod daemon;
pub mod decision;
pub mod engine;
pub mod entry;
pub mod fleet;
pub mod gateway;
pub mod ids;
pub mod lease;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod net;
pub mod orders;
pub mod permits;
pub mod placement;
pub mod planner_rpc;
pub mod prelude;
pub mod quarantine;
pub mod rate_limit;
pub mod refusal;
pub mod retry;
pub mod routing;
pub mod rpc;
pub mod run_once;
pub mod settings;
pub mod shedding;
pub mod stream_origin;
pub mod table;
pub mod time;
pub mod upstream_speed;
