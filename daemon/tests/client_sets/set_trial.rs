//! A set of clients at one process, and what the process must keep to.

use std::time::{Duration, Instant};

use quetzalpin_standins::DaemonProcess;

use super::{ClientSet, TargetRequest};
use crate::limited::{DESCRIPTORS, MEMORY_MB};

/// Time for which the clients send after they have connected, before the ordinary request.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// Longest time for the clients to connect. The kernel queues few connections at a time, and the
/// packets of the others are repeated after a second or two.
const CONNECT_LIMIT: Duration = Duration::from_secs(8);

/// Longest time in which an ordinary request, sent again after each refusal, must be answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// Time between two looks at the process, and between two ordinary requests.
const POLL: Duration = Duration::from_millis(100);

/// Time for which a client sends a body over the limit.
const EXCESS_TIME: Duration = Duration::from_secs(2);

/// Bytes that the kernel buffers of a body at most, at both ends of a loopback connection.
const KERNEL_BYTES: usize = 8 * 1024 * 1024;

/// Largest number of descriptors that callers may make a process open. The rest is for calls to
/// the table, peers and upstreams.
const MAX_DESCRIPTORS: usize = DESCRIPTORS / 8 * 7;

/// Starts a set of clients at a process and checks that the process stays within its instance, and
/// that an ordinary request is answered beside them and after them.
pub async fn try_clients(
    set: ClientSet,
    target: &TargetRequest,
    process: &DaemonProcess,
    is_answered: impl AsyncFn() -> bool,
) {
    assert!(is_answered_in_time(&is_answered).await, "not ready");
    let clients = set.start(target);
    let deadline = Instant::now() + CONNECT_LIMIT;
    let mut descriptors = 0;
    while clients.progress.connections.get() < clients.count && Instant::now() < deadline {
        compio::time::sleep(POLL).await;
        descriptors = descriptors.max(open_descriptors(process));
    }
    compio::time::sleep(HOLD_TIME).await;
    descriptors = descriptors.max(open_descriptors(process));
    let is_answered_beside = is_answered_in_time(&is_answered).await;
    descriptors = descriptors.max(open_descriptors(process));
    let memory_kb = process.peak_memory_kb();
    drop(clients);
    let is_answered_after = is_answered_in_time(&is_answered).await;
    let figures = format!(
        "{set:?} at {}: {memory_kb:?} kB, {descriptors} descriptors, answered beside: \
         {is_answered_beside}, after: {is_answered_after}",
        target.head.lines().next().unwrap_or_default()
    );
    eprintln!("{figures}");
    assert!(process.peak_memory_kb().is_some(), "ended: {figures}");
    assert!(
        memory_kb.is_some_and(|memory_kb| memory_kb < MEMORY_MB * 1_000),
        "{figures}"
    );
    assert!(descriptors <= MAX_DESCRIPTORS, "{figures}");
    assert!(is_answered_beside && is_answered_after, "{figures}");
}

/// Checks that a large body within the limits is served while others stop short of their end.
pub async fn assert_large_is_served_beside(
    set: ClientSet,
    target: &TargetRequest,
    is_large_answered: impl AsyncFn() -> bool,
) {
    let clients = set.start(target);
    compio::time::sleep(HOLD_TIME).await;
    assert!(is_answered_in_time(&is_large_answered).await, "not served");
    drop(clients);
}

/// Checks that a body over the limit is not read to its end.
pub async fn assert_excess_is_not_read(set: ClientSet, target: &TargetRequest) {
    let clients = set.start_clients(target, 1);
    compio::time::sleep(EXCESS_TIME).await;
    let sent_bytes = clients.progress.sent_bytes.get();
    eprintln!("{set:?}: {sent_bytes} bytes");
    assert!(
        sent_bytes < target.limit_bytes + KERNEL_BYTES,
        "{sent_bytes} bytes"
    );
}

/// Sends an ordinary request until it is answered.
pub async fn is_answered_in_time(is_answered: &impl AsyncFn() -> bool) -> bool {
    let deadline = Instant::now() + ANSWER_LIMIT;
    while Instant::now() < deadline {
        if compio::time::timeout(ANSWER_LIMIT, is_answered()).await == Ok(true) {
            return true;
        }
        compio::time::sleep(POLL).await;
    }
    false
}

fn open_descriptors(process: &DaemonProcess) -> usize {
    let id = process.id().unwrap_or_default();
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}
