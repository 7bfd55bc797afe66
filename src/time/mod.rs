//! Monotonic time for the state machines.

mod mono_clock;
mod mono_time;

pub use mono_clock::MonoClock;
pub use mono_time::MonoTime;
