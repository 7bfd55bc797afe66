//! A time limit that leaves out time in which the process got no processor time.

use std::pin::pin;
use std::time::Duration;

use crate::time::MonoClock;

/// Number of parts in which a limit is waited for; each shows how late this process is.
const PARTS: u64 = 4;

/// Longest total time, as a multiple of the limit.
const MAX_FACTOR: u64 = 4;

/// Waits for a future for at most `limit_ms`, without the time by which this process's own timers
/// are late. `None` if the time is over.
pub async fn scheduled_timeout<T>(limit_ms: u64, future: impl Future<Output = T>) -> Option<T> {
    let clock = MonoClock::open();
    let began_at = clock.now();
    let part_ms = (limit_ms / PARTS).max(1);
    let mut left_ms = limit_ms;
    let mut future = pin!(future);
    while left_ms > 0 {
        let wait_ms = part_ms.min(left_ms);
        let waiting = compio::time::timeout(Duration::from_millis(wait_ms), future.as_mut());
        if let Ok(output) = waiting.await {
            return Some(output);
        }
        left_ms -= wait_ms;
        if clock.now().millis_since(began_at) >= limit_ms.saturating_mul(MAX_FACTOR) {
            return None;
        }
    }
    None
}
