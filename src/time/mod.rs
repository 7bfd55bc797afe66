//! Monotonic time for the state machines.

mod delay_watch;
mod mono_clock;
mod mono_time;

pub use delay_watch::DelayWatch;
pub use mono_clock::MonoClock;
pub use mono_time::MonoTime;
