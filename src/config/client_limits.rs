//! Limits on clients that a process cannot control.

use std::num::{NonZeroU64, NonZeroUsize};

use rustix::process::{Resource, getrlimit};

use super::DecimalValue;
use crate::net::{BodyPace, ConnectionLimits};
use crate::settings::SectionReader;

const EXPECTED_COUNT: &str = "a whole number above zero";
const EXPECTED_MILLIS: &str = "a whole number of milliseconds above zero";
const EXPECTED_BYTES: &str = "a whole number of bytes above zero";
const EXPECTED_DECIMAL: &str = "a number such as 0.25";

/// Part of the descriptors that connections of clients may take. The rest is for the table, peers,
/// upstreams and files.
const DESCRIPTOR_SHARE: (usize, usize) = (3, 4);

/// Part of the connections that may come from one address, which several load balancers may share.
const ADDRESS_SHARE: (usize, usize) = (3, 4);

/// Part of the memory that connections may take, as a divisor. Messages and requests in flight take
/// a quarter, and the rest is for what the process knows of the fleet.
const MEMORY_DIVISOR: u64 = 3;

/// Memory in bytes that a connection takes with the buffers of the HTTP server. A connection with part
/// of a head was measured at 27 KB.
const CONNECTION_BYTES: u64 = 32 * 1024;

/// Descriptors that are assumed if the system states no limit.
const ASSUMED_DESCRIPTORS: u64 = 4_096;

/// Memory in megabytes of an entry or agent if nothing states it.
const ASSUMED_MEMORY_MB: DecimalValue = DecimalValue::of_whole(512);

/// Limits on clients, as the section `[clients]` states them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory in megabytes that the process may use; `None` if the section does not state it.
    pub memory_mb: Option<DecimalValue>,
    /// Largest number of open connections; `None` to derive it from memory and descriptors.
    pub max_connections: Option<NonZeroUsize>,
    /// Largest number of open connections from one address; `None` for three quarters of all.
    pub max_connections_per_address: Option<NonZeroUsize>,
    /// Milliseconds from the first byte of a request head to its end.
    pub head_ms: NonZeroU64,
    /// Milliseconds before the progress of a body is looked at.
    pub body_grace_ms: NonZeroU64,
    /// Milliseconds over which the progress of a body is measured.
    pub body_window_ms: NonZeroU64,
    /// Bytes per second that a body must bring.
    pub body_bytes_per_s: NonZeroU64,
    /// Milliseconds for which a client may read nothing of what is ready for it.
    pub unread_ms: NonZeroU64,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            memory_mb: None,
            max_connections: None,
            max_connections_per_address: None,
            head_ms: non_zero(5_000),
            body_grace_ms: non_zero(5_000),
            body_window_ms: non_zero(5_000),
            body_bytes_per_s: non_zero(256),
            unread_ms: non_zero(15_000),
        }
    }
}

impl ClientLimits {
    /// Reads the section.
    pub(super) fn read(reader: &mut SectionReader<'_>) -> Self {
        let default = Self::default();
        Self {
            memory_mb: reader.optional("memory_mb", EXPECTED_DECIMAL),
            max_connections: reader.optional("max_connections", EXPECTED_COUNT),
            max_connections_per_address: reader
                .optional("max_connections_per_address", EXPECTED_COUNT),
            head_ms: reader.or_default("head_ms", EXPECTED_MILLIS, default.head_ms),
            body_grace_ms: reader.or_default(
                "body_grace_ms",
                EXPECTED_MILLIS,
                default.body_grace_ms,
            ),
            body_window_ms: reader.or_default(
                "body_window_ms",
                EXPECTED_MILLIS,
                default.body_window_ms,
            ),
            body_bytes_per_s: reader.or_default(
                "body_bytes_per_s",
                EXPECTED_BYTES,
                default.body_bytes_per_s,
            ),
            unread_ms: reader.or_default("unread_ms", EXPECTED_MILLIS, default.unread_ms),
        }
    }

    /// Bytes of memory that the process may use.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        let memory_mb = self.memory_mb.unwrap_or(ASSUMED_MEMORY_MB);
        u64::from(memory_mb.thousandths()) * 1_000
    }

    /// Limits on the connections of callers, for a process with this much memory.
    #[must_use]
    pub fn connection_limits(&self, memory_bytes: u64) -> ConnectionLimits {
        let of_memory = memory_bytes / MEMORY_DIVISOR / CONNECTION_BYTES;
        let of_memory = usize::try_from(of_memory).unwrap_or(usize::MAX).max(1);
        let of_descriptors = share(descriptors(), DESCRIPTOR_SHARE);
        let max_open = self
            .max_connections
            .map_or_else(|| of_memory.min(of_descriptors), NonZeroUsize::get);
        let max_per_address = self
            .max_connections_per_address
            .map_or_else(|| share(max_open, ADDRESS_SHARE), NonZeroUsize::get);
        ConnectionLimits {
            max_open,
            max_per_address,
            head_ms: self.head_ms.get(),
            unread_ms: self.unread_ms.get(),
        }
    }

    /// Pace that bodies of callers must keep.
    #[must_use]
    pub const fn body_pace(&self) -> BodyPace {
        BodyPace {
            grace_ms: self.body_grace_ms.get(),
            window_ms: self.body_window_ms.get(),
            bytes_per_s: self.body_bytes_per_s.get(),
        }
    }
}

fn share(whole: usize, (part, of): (usize, usize)) -> usize {
    (whole / of * part).max(1)
}

/// File descriptors that the process may have open.
fn descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    usize::try_from(limit.unwrap_or(ASSUMED_DESCRIPTORS)).unwrap_or(usize::MAX)
}

const fn non_zero(value: u64) -> NonZeroU64 {
    match NonZeroU64::new(value) {
        Some(value) => value,
        None => NonZeroU64::MIN,
    }
}
