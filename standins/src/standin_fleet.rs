//! Complete fleet in one process: stand-ins and daemons on loopback.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use quetzalpin::config::{
    AgentConfig, DaemonConfig, EntryConfig, NodeConfig, RoleConfig, UpstreamKind,
};
use quetzalpin::daemon::DaemonHandle;
use quetzalpin::membership::{MemberEntry, MemberRole, MemberState};
use quetzalpin::prelude::*;
use quetzalpin::settings::{
    SETTINGS_HEAD_KEY, SettingsHead, SettingsRow, SubtreeName, credential_digest,
};
use quetzalpin::table::TableTxn;

use crate::engine_options::EngineOptions;
use crate::engine_standin::EngineStandin;
use crate::errors::StandinError;
use crate::platform_standin::{PlatformStandin, StandinHandle};
use crate::service_standin::{ServiceOptions, ServiceStandin};
use crate::weight_store::WeightLimits;

/// Interval between checks whether a fleet is ready.
const READY_POLL_MS: u64 = 50;

/// Operator credential in stand-in fleets.
pub const OPERATOR_CREDENTIAL: &str = "operator-secret";

/// Plan of one upstream.
#[derive(Debug, Clone)]
pub enum UpstreamPlan {
    /// A model engine with its options.
    Engine(EngineOptions),
    /// A plain service with its name and options.
    Service(ServiceName, ServiceOptions),
}

/// Composition and settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Availability zones, each with its region; instances are assigned to them round-robin.
    pub zones: Vec<(RegionName, ZoneName)>,
    /// Number of entries.
    pub entries: usize,
    /// Upstreams, each with one agent.
    pub upstreams: Vec<UpstreamPlan>,
    /// Limits of the weight store.
    pub weights: WeightLimits,
    /// Initial settings, as one text for each subtree.
    pub settings: Vec<(SubtreeName, String)>,
    /// Configuration shared by all agents; what depends on the upstream is filled in for each.
    pub agent: AgentConfig,
    /// Interval in milliseconds at which daemons read the settings and the instance list.
    pub poll_ms: u64,
}

/// A running upstream stand-in.
pub enum UpstreamStandin {
    /// A model engine.
    Engine(StandinHandle<EngineStandin>),
    /// A plain service.
    Service(StandinHandle<ServiceStandin>),
}

impl UpstreamStandin {
    /// Address at which the upstream listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Service(service) => service.address(),
        }
    }
}

/// Running fleet of daemons and stand-ins.
pub struct StandinFleet {
    /// Table, instance list and weight store.
    pub platform: StandinHandle<PlatformStandin>,
    /// Upstreams in the order of the plan.
    pub upstreams: Vec<UpstreamStandin>,
    /// Agents of the upstreams, in the same order; `None` once stopped.
    pub agents: Vec<Option<DaemonHandle>>,
    /// Entries in the order of their numbers; `None` once stopped.
    pub entries: Vec<Option<DaemonHandle>>,
    agent_configs: Vec<DaemonConfig>,
    entry_configs: Vec<DaemonConfig>,
}

/// Loopback address with port 0, so that the system assigns a free port.
#[must_use]
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Agent configuration of stand-in fleets; a plan may change it.
#[must_use]
pub fn default_agent() -> AgentConfig {
    AgentConfig {
        upstream: UpstreamKind::Engine { memory_mb: 0 },
        upstream_address: any_port(),
        queue_capacity: 1_024,
        concurrency: 64,
        target_unit_us: 52_000,
        queue_policy: quetzalpin::admission::QueuePolicy::RankFloors,
        holding_policy: quetzalpin::placement::HoldingPolicy::Slots,
        report_ms: 500,
    }
}

impl StandinFleet {
    /// Starts the stand-ins and daemons of a plan.
    ///
    /// # Errors
    /// [`StandinError`] if a part cannot start.
    pub async fn spawn(plan: &FleetPlan) -> Result<Self, StandinError> {
        let platform = PlatformStandin::spawn(any_port(), plan.weights).await?;
        seed_settings(&platform.state, &plan.settings);
        let mut fleet = Self {
            platform,
            upstreams: Vec::new(),
            agents: Vec::new(),
            entries: Vec::new(),
            agent_configs: Vec::new(),
            entry_configs: Vec::new(),
        };
        for number in 0..plan.entries {
            fleet.add_entry(plan, number).await?;
        }
        for (number, upstream) in plan.upstreams.iter().enumerate() {
            fleet.add_upstream(plan, number, upstream).await?;
        }
        Ok(fleet)
    }

    /// Waits until each entry knows all agents as healthy and at least the given number of
    /// replicas.
    ///
    /// # Errors
    /// [`StandinError::NotReady`] after `limit_ms`.
    pub async fn wait_ready(&self, replicas: usize, limit_ms: u64) -> Result<(), StandinError> {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < deadline {
            if self.is_ready(replicas) {
                return Ok(());
            }
            compio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
        }
        Err(StandinError::NotReady(limit_ms))
    }

    fn is_ready(&self, replicas: usize) -> bool {
        self.entries.iter().flatten().all(|handle| {
            let DaemonHandle::Entry(entry) = handle else {
                return false;
            };
            let reports = entry.fresh_reports();
            let healthy = reports.iter().filter(|report| report.healthy).count();
            let mut known: Vec<&ReplicaName> = reports
                .iter()
                .flat_map(|report| report.replicas.iter().map(|held| &held.replica))
                .collect();
            known.sort();
            known.dedup();
            healthy == self.agents.len() && known.len() >= replicas
        })
    }

    /// Address at which an entry listens.
    ///
    /// # Panics
    /// If the entry is stopped.
    #[must_use]
    pub fn entry_address(&self, number: usize) -> SocketAddr {
        self.entries[number]
            .as_ref()
            .expect("the entry runs")
            .address()
    }

    /// The engine stand-in of an upstream.
    ///
    /// # Panics
    /// If the upstream is not an engine.
    #[must_use]
    pub fn engine(&self, number: usize) -> &Rc<EngineStandin> {
        match &self.upstreams[number] {
            UpstreamStandin::Engine(engine) => &engine.state,
            UpstreamStandin::Service(_) => panic!("upstream {number} is a service"),
        }
    }

    /// All engine stand-ins.
    pub fn engines(&self) -> impl Iterator<Item = &Rc<EngineStandin>> {
        self.upstreams.iter().filter_map(|upstream| match upstream {
            UpstreamStandin::Engine(engine) => Some(&engine.state),
            UpstreamStandin::Service(_) => None,
        })
    }

    /// All plain service stand-ins.
    pub fn services(&self) -> impl Iterator<Item = &Rc<ServiceStandin>> {
        self.upstreams.iter().filter_map(|upstream| match upstream {
            UpstreamStandin::Service(service) => Some(&service.state),
            UpstreamStandin::Engine(_) => None,
        })
    }

    /// Restarts a stopped agent on its previous address.
    ///
    /// # Errors
    /// [`StandinError`] if it cannot start.
    pub async fn restart_agent(&mut self, number: usize) -> Result<(), StandinError> {
        let config = self.agent_configs[number].clone();
        self.agents[number] = Some(DaemonHandle::spawn(config).await?);
        Ok(())
    }

    /// Restarts a stopped entry on its previous address.
    ///
    /// # Errors
    /// [`StandinError`] if it cannot start.
    pub async fn restart_entry(&mut self, number: usize) -> Result<(), StandinError> {
        let config = self.entry_configs[number].clone();
        self.entries[number] = Some(DaemonHandle::spawn(config).await?);
        Ok(())
    }

    async fn add_entry(&mut self, plan: &FleetPlan, number: usize) -> Result<(), StandinError> {
        let instance = format!("entry-{number}");
        let node = self.node_config(plan, number, &instance);
        let entry = EntryConfig {
            max_body_bytes: 1_048_576,
            max_waiting: 8_192,
            body_ms: 5_000,
            first_operator_sha256: Some(credential_digest(OPERATOR_CREDENTIAL)),
        };
        let mut config = DaemonConfig {
            node,
            role: RoleConfig::Entry(entry),
        };
        let handle = DaemonHandle::spawn(config.clone()).await?;
        config.node.listen = handle.address();
        self.register_member(&instance, MemberRole::Entry, handle.address());
        self.entries.push(Some(handle));
        self.entry_configs.push(config);
        Ok(())
    }

    async fn add_upstream(
        &mut self,
        plan: &FleetPlan,
        number: usize,
        upstream: &UpstreamPlan,
    ) -> Result<(), StandinError> {
        let mut agent = plan.agent.clone();
        let standin = match upstream {
            UpstreamPlan::Engine(options) => {
                let mut options = options.clone();
                options.weights = Some(self.platform.address());
                agent.upstream = UpstreamKind::Engine {
                    memory_mb: options.memory_mb,
                };
                UpstreamStandin::Engine(EngineStandin::spawn(any_port(), options).await?)
            }
            UpstreamPlan::Service(name, options) => {
                agent.upstream = UpstreamKind::Service(name.clone());
                agent.target_unit_us = options.call_ms * 4_000;
                UpstreamStandin::Service(ServiceStandin::spawn(any_port(), *options).await?)
            }
        };
        agent.upstream_address = standin.address();
        let instance = format!("worker-{number}");
        let mut config = DaemonConfig {
            node: self.node_config(plan, number, &instance),
            role: RoleConfig::Agent(agent),
        };
        let handle = DaemonHandle::spawn(config.clone()).await?;
        config.node.listen = handle.address();
        self.register_member(&instance, MemberRole::Agent, handle.address());
        self.upstreams.push(standin);
        self.agents.push(Some(handle));
        self.agent_configs.push(config);
        Ok(())
    }

    fn node_config(&self, plan: &FleetPlan, number: usize, instance: &str) -> NodeConfig {
        let (region, zone) = plan.zones[number % plan.zones.len()].clone();
        NodeConfig {
            instance: InstanceName::from(instance),
            zone,
            region,
            listen: any_port(),
            advertise: None,
            drain_ms: 20_000,
            table: self.platform.address(),
            members: self.platform.address(),
            timeout_ms: 1_000,
            poll_ms: plan.poll_ms,
            clients: quetzalpin::config::ClientLimits::default(),
        }
    }

    fn register_member(&self, instance: &str, role: MemberRole, address: SocketAddr) {
        self.platform.state.members.update(|members| {
            members.push(MemberEntry {
                instance: InstanceName::from(instance),
                role,
                address,
                state: MemberState::Live,
            });
        });
    }
}

/// Writes the initial settings into the table directly, one revision for each subtree.
pub fn seed_settings(platform: &PlatformStandin, texts: &[(SubtreeName, String)]) {
    let mut txn = TableTxn::default();
    for (index, (subtree, text)) in texts.iter().enumerate() {
        let row = SettingsRow {
            subtree: subtree.clone(),
            revision: index as u64 + 1,
            text: text.clone(),
            author: "first settings".to_owned(),
            attempt: AttemptId::random(),
        };
        txn = txn.write(&subtree.row_key(), &row).unwrap_or_default();
    }
    let head = SettingsHead {
        revision: texts.len() as u64,
    };
    let txn = txn.write(SETTINGS_HEAD_KEY, &head).unwrap_or_default();
    platform.table.commit(&txn);
}
