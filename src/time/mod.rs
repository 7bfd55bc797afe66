//! Monotonic time for the state machines.

mod delay_watch;
mod mono_clock;
mod mono_time;
mod rate_meter;

pub use delay_watch::DelayWatch;
pub use mono_clock::MonoClock;
pub use mono_time::MonoTime;
pub use rate_meter::RateMeter;
