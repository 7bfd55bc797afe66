//! A process's view of the list of instances.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::{MemberEntry, MemberRole, MemberState};
use crate::prelude::*;

/// The newest list, and since when known instances are missing from it.
#[derive(Debug, Default)]
pub struct MembershipView {
    members: Vec<MemberEntry>,
    /// Known instances that are missing from the list, with the time since when they are.
    missing_since: HashMap<InstanceName, MonoTime>,
    last_read: Option<MonoTime>,
}

impl MembershipView {
    /// Creates an empty view, before the first read.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Applies a list that was read successfully. An empty list after a non-empty one is
    /// treated as a fault of the list service and ignored.
    pub fn apply(&mut self, now: MonoTime, members: Vec<MemberEntry>) {
        if members.is_empty() && !self.members.is_empty() {
            return;
        }
        for known in &self.members {
            let is_listed = members.iter().any(|m| m.instance == known.instance);
            if !is_listed {
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

    /// Starts to time the absence of an instance that table rows name, unless it is listed.
    pub fn track(&mut self, now: MonoTime, instance: &InstanceName) {
        if self.last_read.is_some() && !self.is_listed(instance) {
            self.missing_since.entry(instance.clone()).or_insert(now);
        }
    }

    /// Whether the instance has been missing for more than `gone_after_ms`, the longest lag of
    /// the list. Time without successful reads does not count.
    #[must_use]
    pub fn is_gone(&self, instance: &InstanceName, gone_after_ms: u64) -> bool {
        let missing = self.missing_since.get(instance);
        match (missing, self.last_read) {
            (Some(since), Some(read)) => read.millis_since(*since) > gone_after_ms,
            _ => false,
        }
    }

    /// Whether the platform reports the instance as leaving.
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
