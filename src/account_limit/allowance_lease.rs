//! Allowance in hand of a gateway.

use std::collections::VecDeque;

use crate::prelude::*;

/// Allowance for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Units.
    pub units: u32,
    /// When it expires; `None` if no planner granted it, so that it cannot be given back to one.
    pub expires_at: Option<MonoTime>,
}

/// Units in hand, by the time at which they expire.
#[derive(Debug, Default)]
pub(super) struct LeasedUnits {
    /// Earliest first; each count is above zero.
    leases: VecDeque<(MonoTime, u32)>,
    /// Sum of the counts.
    held: u32,
    /// Units that expired since the last report.
    returned: u32,
}

impl LeasedUnits {
    /// Units in hand.
    pub const fn held(&self) -> u32 {
        self.held
    }

    /// Adds units that may be spent until a time.
    pub fn add(&mut self, expires_at: MonoTime, units: u32) {
        let units = units.min(u32::MAX - self.held);
        if units == 0 {
            return;
        }
        let position = self.leases.partition_point(|(at, _)| *at <= expires_at);
        self.leases.insert(position, (expires_at, units));
        self.held += units;
    }

    /// Takes units; they expire as the earliest of them does. `None` if there are too few.
    pub fn take(&mut self, units: u32) -> Option<MonoTime> {
        if self.held < units {
            return None;
        }
        let (earliest, _) = *self.leases.front()?;
        self.held -= units;
        let mut left = units;
        while let Some((_, count)) = self.leases.front_mut() {
            let taken = left.min(*count);
            *count -= taken;
            left -= taken;
            if *count > 0 {
                break;
            }
            self.leases.pop_front();
        }
        Some(earliest)
    }

    /// Counts units that come back after they expired.
    pub const fn add_returned(&mut self, units: u32) {
        self.returned = self.returned.saturating_add(units);
    }

    /// Drops what has expired.
    pub fn drop_expired(&mut self, now: MonoTime) {
        while let Some((at, units)) = self.leases.front().copied() {
            if now < at {
                return;
            }
            self.leases.pop_front();
            self.held -= units;
            self.add_returned(units);
        }
    }

    /// The units that expired since the last call.
    pub const fn take_returned(&mut self) -> u32 {
        std::mem::replace(&mut self.returned, 0)
    }

    /// Whether there are units to report.
    pub const fn is_empty(&self) -> bool {
        self.held == 0 && self.returned == 0
    }

    /// Keeps a part of each lease; the rest is lost.
    pub fn scale(&mut self, part: f64) {
        for (_, units) in &mut self.leases {
            *units = super::whole_units(f64::from(*units) * part);
        }
        self.leases.retain(|(_, units)| *units > 0);
        self.held = self.leases.iter().map(|(_, units)| *units).sum();
    }
}
