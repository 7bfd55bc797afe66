//! What an entry knows of all agents, from their reports.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::prelude::*;
use crate::routing::{Locality, RouteTarget};
use crate::rpc::{AgentHeartbeat, AgentReport, RankWait, ReplicaReport, ReplicaState};

/// Milliseconds after which an agent that stopped reporting gets no requests.
const STALE_MS: u64 = 2_500;

/// Milliseconds after which an agent that stopped reporting is forgotten.
const FORGET_MS: u64 = 60_000;

#[derive(Debug, Clone)]
struct KnownAgent {
    report: AgentReport,
    heard_at: MonoTime,
    /// Requests sent since the report, which it does not count yet.
    sent_since: u32,
    /// Milliseconds that these will run.
    sent_ms: u64,
}

/// What a request asks of an upstream.
#[derive(Debug, Clone, Copy)]
pub struct RequestNeeds<'a> {
    /// The rank.
    pub rank: &'a RankName,
    /// Whether the deadline is for the first token only.
    pub stream: bool,
    /// Tokens asked for.
    pub tokens: u32,
}

/// Where an entry stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPlace {
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// Address and start of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentAddress {
    /// Where it listens.
    pub address: SocketAddr,
    /// Start of the process.
    pub start_id: u64,
    /// Start of its engine, if it has one.
    pub boot_id: Option<u64>,
}

/// The newest report of each agent.
#[derive(Debug)]
pub struct AgentBook {
    place: EntryPlace,
    agents: HashMap<InstanceName, KnownAgent>,
}

impl AgentBook {
    /// Opens an empty book.
    #[must_use]
    pub fn open(place: EntryPlace) -> Self {
        Self {
            place,
            agents: HashMap::new(),
        }
    }

    /// Takes a report. One that is older than the known one is ignored; returns whether
    /// the report was taken.
    pub fn take(&mut self, now: MonoTime, report: AgentReport) -> bool {
        self.agents
            .retain(|_, known| now.millis_since(known.heard_at) < FORGET_MS);
        if let Some(known) = self.agents.get(&report.instance) {
            let known_order = (known.report.start_id, known.report.sequence);
            if (report.start_id, report.sequence) <= known_order {
                return false;
            }
        }
        let instance = report.instance.clone();
        let known = KnownAgent {
            report,
            heard_at: now,
            sent_since: 0,
            sent_ms: 0,
        };
        self.agents.insert(instance, known);
        true
    }

    /// Takes an agent's word that its last report still holds; returns whether that report
    /// is the one known here.
    pub fn heard(&mut self, now: MonoTime, heartbeat: &AgentHeartbeat) -> bool {
        let Some(known) = self.agents.get_mut(&heartbeat.instance) else {
            return false;
        };
        let report = &known.report;
        let is_same =
            (report.start_id, report.sequence) == (heartbeat.start_id, heartbeat.sequence);
        if is_same {
            known.heard_at = now;
            known.sent_since = 0;
            known.sent_ms = 0;
        }
        is_same
    }

    /// All known reports with the milliseconds since each was heard.
    #[must_use]
    pub fn reports(&self, now: MonoTime) -> Vec<(u64, AgentReport)> {
        let mut reports: Vec<(u64, AgentReport)> = self
            .agents
            .values()
            .map(|known| (now.millis_since(known.heard_at), known.report.clone()))
            .collect();
        reports.sort_by(|a, b| a.1.instance.cmp(&b.1.instance));
        reports
    }

    /// Reports that are fresh enough to plan from.
    #[must_use]
    pub fn fresh_reports(&self, now: MonoTime) -> Vec<AgentReport> {
        let reports = self.reports(now).into_iter();
        reports
            .filter(|(age_ms, _)| *age_ms < STALE_MS)
            .map(|(_, report)| report)
            .collect()
    }

    /// Upstreams that may run a request for a replica.
    #[must_use]
    pub fn replica_targets(
        &self,
        now: MonoTime,
        replica: &ReplicaName,
        needs: RequestNeeds<'_>,
    ) -> Vec<RouteTarget> {
        let usable = self.usable(now);
        let with_replica = usable.filter_map(|known| {
            let mut replicas = known.report.replicas.iter();
            let held = replicas.find(|held| held.replica == *replica)?;
            (held.state != ReplicaState::Draining).then_some((known, held))
        });
        with_replica
            .map(|(known, held)| self.target(known, Some(held), needs))
            .collect()
    }

    /// Upstreams of a plain service.
    #[must_use]
    pub fn service_targets(
        &self,
        now: MonoTime,
        service: &ServiceName,
        needs: RequestNeeds<'_>,
    ) -> Vec<RouteTarget> {
        let usable = self.usable(now);
        usable
            .filter(|known| known.report.service.as_ref() == Some(service))
            .map(|known| self.target(known, None, needs))
            .collect()
    }

    /// Versions of a model that are loaded somewhere.
    #[must_use]
    pub fn loaded_versions(&self, now: MonoTime, model: &ModelName) -> Vec<ReplicaName> {
        let held = self.usable(now).flat_map(|known| &known.report.replicas);
        let mut loaded: Vec<ReplicaName> = held
            .filter(|held| held.state == ReplicaState::Loaded && held.replica.model() == *model)
            .map(|held| held.replica.clone())
            .collect();
        loaded.sort();
        loaded.dedup();
        loaded
    }

    /// Where to reach an agent.
    #[must_use]
    pub fn address(&self, instance: &InstanceName) -> Option<AgentAddress> {
        let known = self.agents.get(instance)?;
        Some(AgentAddress {
            address: known.report.address,
            start_id: known.report.start_id,
            boot_id: known.report.boot_id,
        })
    }

    /// Counts a request sent to an agent.
    pub fn note_sent(&mut self, instance: &InstanceName, service_ms: u64) {
        if let Some(known) = self.agents.get_mut(instance) {
            known.sent_since += 1;
            known.sent_ms += service_ms;
        }
    }

    /// Takes an agent's word that it is leaving, ahead of its next report.
    pub fn note_leaving(&mut self, instance: &InstanceName) {
        if let Some(known) = self.agents.get_mut(instance) {
            known.report.leaving = true;
        }
    }

    fn usable(&self, now: MonoTime) -> impl Iterator<Item = &KnownAgent> {
        self.agents.values().filter(move |known| {
            let is_fresh = now.millis_since(known.heard_at) < STALE_MS;
            is_fresh && known.report.healthy && !known.report.leaving
        })
    }

    fn target(
        &self,
        known: &KnownAgent,
        held: Option<&ReplicaReport>,
        needs: RequestNeeds<'_>,
    ) -> RouteTarget {
        let report = &known.report;
        let service_ms = service_ms(report, needs.tokens);
        let waiting: u32 = report.replicas.iter().map(|held| held.waiting).sum();
        let load = report.running + waiting + known.sent_since;
        let limit = report.limit.max(1);
        let extra_ms = if load >= limit {
            known.sent_ms / u64::from(limit)
        } else {
            0
        };
        RouteTarget {
            instance: report.instance.clone(),
            locality: self.locality(report),
            state: held.map_or(ReplicaState::Loaded, |held| held.state),
            ready_ms: held.map_or(0, |held| held.ready_ms),
            wait_ms: rank_wait_ms(&report.ranks, needs.rank) + extra_ms,
            needed_ms: if needs.stream {
                report.first_ms
            } else {
                service_ms
            },
            load,
            limit,
        }
    }

    fn locality(&self, report: &AgentReport) -> Locality {
        if report.zone == self.place.zone {
            Locality::Zone
        } else if report.region == self.place.region {
            Locality::Region
        } else {
            Locality::Remote
        }
    }
}

/// Milliseconds that a request with so many tokens runs at an agent's upstream.
#[must_use]
pub fn service_ms(report: &AgentReport, tokens: u32) -> u64 {
    report.first_ms + report.token_us * u64::from(tokens) / 1_000
}

fn rank_wait_ms(ranks: &[RankWait], rank: &RankName) -> u64 {
    let mut loads = ranks.iter();
    loads
        .find(|load| load.rank == *rank)
        .map_or(0, |load| load.wait_ms)
}
