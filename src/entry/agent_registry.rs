//! Registry of the agents that an entry knows from their reports and heartbeats.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::prelude::*;
use crate::routing::{Locality, RouteTarget};
use crate::rpc::{AgentHeartbeat, AgentReport, RankWait, ReplicaReport, ReplicaState};

/// Milliseconds without a report or heartbeat after which an agent gets no requests.
const STALE_AFTER_MS: u64 = 2_500;

/// Milliseconds without a report or heartbeat after which an agent is removed.
const REMOVE_AFTER_MS: u64 = 60_000;

/// Milliseconds for which a replica that this entry has woken counts as loading although its agent
/// does not report so yet.
const WAKE_MEMORY_MS: u64 = 2_000;

#[derive(Debug, Clone)]
struct KnownAgent {
    report: AgentReport,
    last_seen_at: MonoTime,
    /// Requests sent since the last report or heartbeat, which the report does not count yet.
    sent_requests: u32,
    /// Sum of the estimated service times of these requests, in milliseconds.
    sent_service_ms: u64,
    /// Replicas that requests from this entry wake, and when the first of these was sent; counts
    /// for [`WAKE_MEMORY_MS`].
    woken: HashMap<ReplicaName, MonoTime>,
}

impl KnownAgent {
    /// State of a replica: one that this entry has woken counts as loading before the agent
    /// reports it.
    fn replica_state(&self, now: MonoTime, held: &ReplicaReport) -> ReplicaState {
        let woken_at = self.woken.get(&held.replica);
        let is_woken = woken_at.is_some_and(|at| now.millis_since(*at) < WAKE_MEMORY_MS);
        if is_woken && held.state == ReplicaState::Granted {
            ReplicaState::Loading
        } else {
            held.state
        }
    }
}

/// The properties of a request that its expected wait and service time depend on.
#[derive(Debug, Clone, Copy)]
pub struct RequestNeeds<'a> {
    /// Rank of the request.
    pub rank: &'a RankName,
    /// Whether the answer is streamed; the deadline then applies to the first token only.
    pub is_stream: bool,
    /// Output tokens requested; zero for a plain service.
    pub tokens: u32,
}

/// Location of an entry, which decides how far away an agent is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryLocation {
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Region of the entry.
    pub region: RegionName,
}

/// Address of an agent, and the process and engine starts that the address belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentAddress {
    /// Address that the agent listens on.
    pub address: SocketAddr,
    /// Identifies one start of the agent process.
    pub start_id: u64,
    /// Identifies one start of the agent's engine; `None` if it has no engine.
    pub boot_id: Option<u64>,
}

/// The newest report of each agent, with the requests sent to it since.
#[derive(Debug)]
pub struct AgentRegistry {
    location: EntryLocation,
    agents: HashMap<InstanceName, KnownAgent>,
}

impl AgentRegistry {
    /// Creates an empty registry.
    #[must_use]
    pub fn open(location: EntryLocation) -> Self {
        Self {
            location,
            agents: HashMap::new(),
        }
    }

    /// Stores a report, unless it is no newer than the stored one; returns whether it was
    /// stored.
    pub fn record_report(&mut self, now: MonoTime, report: AgentReport) -> bool {
        self.agents
            .retain(|_, known| now.millis_since(known.last_seen_at) < REMOVE_AFTER_MS);
        if let Some(known) = self.agents.get(&report.instance) {
            let known_order = (known.report.start_id, known.report.sequence);
            if (report.start_id, report.sequence) <= known_order {
                return false;
            }
        }
        let instance = report.instance.clone();
        let earlier = self.agents.remove(&instance);
        let same_start = earlier.filter(|known| known.report.start_id == report.start_id);
        let known = KnownAgent {
            report,
            last_seen_at: now,
            sent_requests: 0,
            sent_service_ms: 0,
            woken: same_start.map(|known| known.woken).unwrap_or_default(),
        };
        self.agents.insert(instance, known);
        true
    }

    /// Refreshes an agent's report, which the heartbeat says is still current; returns
    /// whether that report is the one stored here.
    pub fn record_heartbeat(&mut self, now: MonoTime, heartbeat: &AgentHeartbeat) -> bool {
        let Some(known) = self.agents.get_mut(&heartbeat.instance) else {
            return false;
        };
        let report = &known.report;
        let is_same =
            (report.start_id, report.sequence) == (heartbeat.start_id, heartbeat.sequence);
        if is_same {
            known.last_seen_at = now;
            known.sent_requests = 0;
            known.sent_service_ms = 0;
        }
        is_same
    }

    /// All stored reports, by instance name, with the milliseconds since each was last
    /// confirmed.
    #[must_use]
    pub fn reports(&self, now: MonoTime) -> Vec<(u64, AgentReport)> {
        let mut reports: Vec<(u64, AgentReport)> = self
            .agents
            .values()
            .map(|known| (now.millis_since(known.last_seen_at), known.report.clone()))
            .collect();
        reports.sort_by(|a, b| a.1.instance.cmp(&b.1.instance));
        reports
    }

    /// Reports that are fresh enough for placement planning.
    #[must_use]
    pub fn fresh_reports(&self, now: MonoTime) -> Vec<AgentReport> {
        let reports = self.reports(now).into_iter();
        reports
            .filter(|(age_ms, _)| *age_ms < STALE_AFTER_MS)
            .map(|(_, report)| report)
            .collect()
    }

    /// Usable upstreams (fresh report, healthy, not leaving) that report the replica, except
    /// those that are draining it.
    #[must_use]
    pub fn replica_targets(
        &self,
        now: MonoTime,
        replica: &ReplicaName,
        needs: RequestNeeds<'_>,
    ) -> Vec<RouteTarget> {
        let usable = self.usable_agents(now);
        let with_replica = usable.filter_map(|known| {
            let mut replicas = known.report.replicas.iter();
            let held = replicas.find(|held| held.replica == *replica)?;
            (held.state != ReplicaState::Draining).then_some((known, held))
        });
        with_replica
            .map(|(known, held)| RouteTarget {
                state: known.replica_state(now, held),
                ..self.target(known, Some(held), needs)
            })
            .collect()
    }

    /// Usable upstreams of a plain service.
    #[must_use]
    pub fn service_targets(
        &self,
        now: MonoTime,
        service: &ServiceName,
        needs: RequestNeeds<'_>,
    ) -> Vec<RouteTarget> {
        let usable = self.usable_agents(now);
        usable
            .filter(|known| known.report.service.as_ref() == Some(service))
            .map(|known| self.target(known, None, needs))
            .collect()
    }

    /// Versions of a model that are loaded at a usable upstream, sorted by replica name.
    #[must_use]
    pub fn loaded_versions(&self, now: MonoTime, model: &ModelName) -> Vec<ReplicaName> {
        let held = self
            .usable_agents(now)
            .flat_map(|known| &known.report.replicas);
        let mut loaded: Vec<ReplicaName> = held
            .filter(|held| held.state == ReplicaState::Loaded && held.replica.model() == *model)
            .map(|held| held.replica.clone())
            .collect();
        loaded.sort();
        loaded.dedup();
        loaded
    }

    /// Address of an agent; `None` if the agent is not known.
    #[must_use]
    pub fn address(&self, instance: &InstanceName) -> Option<AgentAddress> {
        let known = self.agents.get(instance)?;
        Some(AgentAddress {
            address: known.report.address,
            start_id: known.report.start_id,
            boot_id: known.report.boot_id,
        })
    }

    /// Counts a request sent to an agent, until its next report or heartbeat.
    pub fn note_sent(&mut self, instance: &InstanceName, service_ms: u64) {
        if let Some(known) = self.agents.get_mut(instance) {
            known.sent_requests += 1;
            known.sent_service_ms += service_ms;
        }
    }

    /// Records that a request was sent to an agent to load a replica.
    pub fn note_woken(&mut self, now: MonoTime, instance: &InstanceName, replica: &ReplicaName) {
        if let Some(known) = self.agents.get_mut(instance) {
            let woken = &mut known.woken;
            woken.retain(|_, at| now.millis_since(*at) < WAKE_MEMORY_MS);
            woken.entry(replica.clone()).or_insert(now);
        }
    }

    /// Marks an agent as leaving before its next report says so.
    pub fn note_leaving(&mut self, instance: &InstanceName) {
        if let Some(known) = self.agents.get_mut(instance) {
            known.report.leaving = true;
        }
    }

    fn usable_agents(&self, now: MonoTime) -> impl Iterator<Item = &KnownAgent> {
        self.agents.values().filter(move |known| {
            let is_fresh = now.millis_since(known.last_seen_at) < STALE_AFTER_MS;
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
        let load = report.running + waiting + known.sent_requests;
        let limit = report.limit.max(1);
        let unreported_wait_ms = if load >= limit {
            known.sent_service_ms / u64::from(limit)
        } else {
            0
        };
        RouteTarget {
            instance: report.instance.clone(),
            locality: self.locality(report),
            state: held.map_or(ReplicaState::Loaded, |held| held.state),
            ready_ms: held.map_or(0, |held| held.ready_ms),
            wait_ms: rank_wait_ms(&report.ranks, needs.rank) + unreported_wait_ms,
            needed_ms: if needs.is_stream {
                report.first_ms
            } else {
                service_ms
            },
            load,
            limit,
        }
    }

    fn locality(&self, report: &AgentReport) -> Locality {
        if report.zone == self.location.zone {
            Locality::Zone
        } else if report.region == self.location.region {
            Locality::Region
        } else {
            Locality::Remote
        }
    }
}

/// Estimated service time in milliseconds of a request for `tokens` output tokens.
#[must_use]
pub fn service_ms(report: &AgentReport, tokens: u32) -> u64 {
    report.first_ms + report.token_us * u64::from(tokens) / 1_000
}

fn rank_wait_ms(ranks: &[RankWait], rank: &RankName) -> u64 {
    let mut waits = ranks.iter();
    waits
        .find(|wait| wait.rank == *rank)
        .map_or(0, |wait| wait.wait_ms)
}
