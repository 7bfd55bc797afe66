//! One version of the fleet's configuration.

use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;

use super::{RouteRule, ServiceConfig};
use crate::account::AccountDirectory;
use crate::prelude::*;

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request body in bytes.
    pub body_bytes: usize,
}

/// Routes and services of one version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetCatalog {
    /// Increases with each change.
    pub version: u64,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    accounts: AccountDirectory,
    services: BTreeMap<ServiceName, ServiceConfig>,
    /// The routes of each host, longest prefix first.
    routes: HashMap<CompactString, Vec<RouteRule>>,
}

impl FleetCatalog {
    /// Builds the catalog of a version.
    #[must_use]
    pub fn open(
        version: u64,
        limits: CallerLimits,
        routes: Vec<RouteRule>,
        services: Vec<ServiceConfig>,
    ) -> Self {
        let mut by_host: HashMap<CompactString, Vec<RouteRule>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for rules in by_host.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.path_prefix.len()));
        }
        let services = services.into_iter();
        Self {
            version,
            limits,
            accounts: AccountDirectory::default(),
            services: services
                .map(|service| (service.name.clone(), service))
                .collect(),
            routes: by_host,
        }
    }

    /// Replaces the client accounts.
    #[must_use]
    pub fn with_accounts(mut self, accounts: AccountDirectory) -> Self {
        self.accounts = accounts;
        self
    }

    /// The client accounts; without any, requests need no key.
    #[must_use]
    pub const fn accounts(&self) -> &AccountDirectory {
        &self.accounts
    }

    /// Finds the route of a request: the longest matching path prefix among the routes of its
    /// host. Ignores the port and the case of the host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = match self.routes.get(host) {
            Some(rules) => rules,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        rules
            .iter()
            .find(|rule| path.starts_with(rule.path_prefix.as_str()))
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceConfig> {
        self.services.values()
    }
}
