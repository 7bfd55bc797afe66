//! What one process concludes from the list.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::{MemberEntry, MemberRole, MemberState};
use crate::prelude::*;

/// Newest list, and since when known instances are missing from it.
#[derive(Debug, Default)]
pub struct MembershipView {
    members: Vec<MemberEntry>,
    /// Instances once listed and now missing, with the first read that missed them.
    missing_since: HashMap<InstanceName, MonoTime>,
    last_read: Option<MonoTime>,
}

impl MembershipView {
    /// Opens a view before the first read.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Takes a list that was read successfully. An empty list after a filled one is taken
    /// for a fault of the list and ignored.
    pub fn apply(&mut self, now: MonoTime, members: Vec<MemberEntry>) {
        if members.is_empty() && !self.members.is_empty() {
            return;
        }
        for known in &self.members {
            let listed = members.iter().any(|m| m.instance == known.instance);
            if !listed {
                self.missing_since
                    .entry(known.instance.clone())
                    .or_insert(now);
            }
        }
        for member in &members {
            self.missing_since.remove(&member.instance);
        }
        self.members = members;
        self.last_read = Some(now);
    }

    /// Notes an instance that rows name, so that its absence is timed from now on.
    pub fn track(&mut self, now: MonoTime, instance: &InstanceName) {
        if self.last_read.is_some() && !self.is_listed(instance) {
            self.missing_since.entry(instance.clone()).or_insert(now);
        }
    }

    /// Whether the instance has been missing for longer than the list may lag. Time without
    /// successful reads does not count.
    #[must_use]
    pub fn is_gone(&self, instance: &InstanceName, gone_after_ms: u64) -> bool {
        let missing = self.missing_since.get(instance);
        match (missing, self.last_read) {
            (Some(since), Some(read)) => read.millis_since(*since) > gone_after_ms,
            _ => false,
        }
    }

    /// Whether the platform says that the instance is about to go.
    #[must_use]
    pub fn is_leaving(&self, instance: &InstanceName) -> bool {
        let mut members = self.members.iter();
        members.any(|m| m.instance == *instance && m.state == MemberState::Leaving)
    }

    /// Whether the instance is on the newest list.
    #[must_use]
    pub fn is_listed(&self, instance: &InstanceName) -> bool {
        self.members.iter().any(|m| m.instance == *instance)
    }

    /// Instances of a role on the newest list.
    pub fn of_role(&self, role: MemberRole) -> impl Iterator<Item = &MemberEntry> {
        self.members.iter().filter(move |m| m.role == role)
    }

    /// Addresses of all listed entries.
    #[must_use]
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.of_role(MemberRole::Entry).map(|m| m.address).collect()
    }
}
