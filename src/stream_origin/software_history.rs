//! Software versions of the upstreams that a process has lately known.

use std::collections::HashMap;

use super::ORIGIN_TTL_MS;
use crate::fleet::{UpstreamEntry, UpstreamRoster};
use crate::prelude::*;

/// When each version of a service was last listed; `None` stands for upstreams that name no version.
type ListedVersions = HashMap<Option<SoftwareVersion>, MonoTime>;

/// The versions of each service that were listed while a stream may have begun that is taken up now.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    listed: HashMap<ServiceName, ListedVersions>,
}

impl SoftwareHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Records the versions that are listed now.
    pub fn observe(&mut self, now: MonoTime, roster: &UpstreamRoster) {
        for versions in self.listed.values_mut() {
            versions.retain(|_, at| now.millis_since(*at) < ORIGIN_TTL_MS);
        }
        for (_, entry) in roster.iter() {
            self.observe_entry(now, entry);
        }
    }

    /// Records the version of an upstream that is listed now.
    pub fn observe_entry(&mut self, now: MonoTime, entry: &UpstreamEntry) {
        let versions = self.listed.entry(entry.service.clone()).or_default();
        versions.insert(entry.software.clone(), now);
    }

    /// The version of a service if no other one was listed lately.
    #[must_use]
    pub fn only_version(&self, service: &ServiceName) -> Option<&SoftwareVersion> {
        let versions = self.listed.get(service)?;
        let mut names = versions.keys();
        let only = names.next()?.as_ref();
        only.filter(|_| names.next().is_none())
    }
}
