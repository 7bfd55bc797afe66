//! Fleet of real daemon processes behind fault proxies. The stand-ins run in the calling
//! process.

use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use quetzalpin::config::AgentConfig;
use quetzalpin::entry::EntryStatus;
use quetzalpin::membership::{MemberEntry, MemberRole, MemberState};
use quetzalpin::prelude::*;
use quetzalpin::settings::credential_digest;

use crate::daemon_process::DaemonProcess;
use crate::engine_standin::EngineStandin;
use crate::errors::StandinError;
use crate::fault_proxy::FaultProxy;
use crate::platform_standin::{PlatformStandin, StandinHandle};
use crate::service_standin::ServiceStandin;
use crate::standin_fleet::{
    FleetPlan, OPERATOR_CREDENTIAL, UpstreamPlan, UpstreamStandin, any_port, seed_settings,
};

/// Interval between checks whether a fleet is ready.
const READY_POLL_MS: u64 = 50;

/// Port of the first daemon; each further one listens on the next port.
const FIRST_PORT: u16 = 7_100;

/// Fleet of daemon processes; the platform, each upstream and each agent is behind a proxy.
pub struct ProcessFleet {
    /// Table, instance list and weight store.
    pub platform: StandinHandle<PlatformStandin>,
    /// Proxy in front of the platform.
    pub platform_proxy: FaultProxy,
    /// Upstreams in the order of the plan.
    pub upstreams: Vec<UpstreamStandin>,
    /// Proxies in front of the upstreams, in the same order.
    pub upstream_proxies: Vec<FaultProxy>,
    /// Agents of the upstreams, in the same order.
    pub agents: Vec<DaemonProcess>,
    /// Proxies in front of the agents, in the same order.
    pub agent_proxies: Vec<FaultProxy>,
    /// Entries in the order of their numbers.
    pub entries: Vec<DaemonProcess>,
    daemon: PathBuf,
    folder: PathBuf,
    ip: Ipv4Addr,
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for process in self.agents.iter_mut().chain(&mut self.entries) {
            process.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl ProcessFleet {
    /// Starts a fleet with the given daemon executable.
    ///
    /// # Errors
    /// [`StandinError`] if a part cannot start.
    pub async fn spawn(daemon: &Path, plan: &FleetPlan) -> Result<Self, StandinError> {
        let platform = PlatformStandin::spawn(any_port(), plan.weights).await?;
        seed_settings(&platform.state, &plan.settings);
        let platform_proxy = FaultProxy::spawn(platform.address()).await?;
        let folder = std::env::temp_dir().join(format!("quetzalpin-{:016x}", fastrand::u64(..)));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            platform,
            platform_proxy,
            upstreams: Vec::new(),
            upstream_proxies: Vec::new(),
            agents: Vec::new(),
            agent_proxies: Vec::new(),
            entries: Vec::new(),
            daemon: daemon.to_owned(),
            folder,
            ip: fleet_ip(),
        };
        for number in 0..plan.entries {
            fleet.add_entry(plan, number)?;
        }
        for (number, upstream) in plan.upstreams.iter().enumerate() {
            fleet.add_upstream(plan, number, upstream).await?;
        }
        Ok(fleet)
    }

    /// Waits until each running entry knows all running agents as healthy and at least the given
    /// number of replicas.
    ///
    /// # Errors
    /// [`StandinError::NotReady`] after `limit_ms`.
    pub async fn wait_ready(&mut self, replicas: usize, limit_ms: u64) -> Result<(), StandinError> {
        let client = cyper::Client::new()?;
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < deadline {
            if self.is_ready(&client, replicas).await {
                return Ok(());
            }
            compio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
        }
        self.print_exited();
        for number in 0..self.entries.len() {
            let status = self.status(&client, number).await;
            eprintln!("entry {number}: {status:?}");
        }
        Err(StandinError::NotReady(limit_ms))
    }

    /// Status of the fleet from one entry's point of view; `None` if the entry does not answer
    /// within 2 seconds.
    pub async fn status(&self, client: &cyper::Client, entry: usize) -> Option<EntryStatus> {
        Self::status_at(client, self.entries[entry].address).await
    }

    /// Like [`Self::status`], for the entry at an address.
    pub async fn status_at(client: &cyper::Client, entry: SocketAddr) -> Option<EntryStatus> {
        let url = format!("http://{entry}/ops/status");
        let fetching = async {
            let request = client
                .get(url)
                .ok()?
                .bearer_auth(OPERATOR_CREDENTIAL)
                .ok()?;
            request.send().await.ok()?.json().await.ok()
        };
        let limit = Duration::from_secs(2);
        compio::time::timeout(limit, fetching).await.ok().flatten()
    }

    /// Copies the daemons' logs to a folder, which is created if necessary.
    ///
    /// # Errors
    /// [`StandinError::Io`] if they cannot be copied.
    pub fn copy_logs(&self, folder: &Path) -> Result<(), StandinError> {
        std::fs::create_dir_all(folder)?;
        for process in self.agents.iter().chain(&self.entries) {
            if let Some(name) = process.log.file_name() {
                std::fs::copy(&process.log, folder.join(name))?;
            }
        }
        Ok(())
    }

    /// All engine stand-ins.
    pub fn engines(&self) -> impl Iterator<Item = &EngineStandin> {
        self.upstreams.iter().filter_map(|upstream| match upstream {
            UpstreamStandin::Engine(engine) => Some(engine.state.as_ref()),
            UpstreamStandin::Service(_) => None,
        })
    }

    /// All plain service stand-ins.
    pub fn services(&self) -> impl Iterator<Item = &ServiceStandin> {
        self.upstreams.iter().filter_map(|upstream| match upstream {
            UpstreamStandin::Service(service) => Some(service.state.as_ref()),
            UpstreamStandin::Engine(_) => None,
        })
    }

    /// How often a batch was stamped, over all services.
    #[must_use]
    pub fn stamps(&self, batch: &str) -> u32 {
        let audits = self.services().map(ServiceStandin::audit);
        audits
            .filter_map(|audit| audit.stamps.get(batch).copied())
            .sum()
    }

    /// Index of the agent with an instance name; `None` if the name is not an agent's.
    #[must_use]
    pub fn agent_index(instance: &str) -> Option<usize> {
        instance.strip_prefix("worker-")?.parse().ok()
    }

    async fn is_ready(&self, client: &cyper::Client, replicas: usize) -> bool {
        let running = self.agents.iter().filter(|a| a.is_running()).count();
        for number in 0..self.entries.len() {
            if !self.entries[number].is_running() {
                continue;
            }
            let Some(status) = self.status(client, number).await else {
                return false;
            };
            let reports = status.agents.iter().map(|agent| &agent.report);
            let healthy = reports.clone().filter(|r| r.healthy && !r.leaving).count();
            let mut known: Vec<&ReplicaName> = reports
                .flat_map(|report| report.replicas.iter().map(|held| &held.replica))
                .collect();
            known.sort();
            known.dedup();
            if healthy < running || known.len() < replicas {
                return false;
            }
        }
        true
    }

    fn next_address(&self) -> SocketAddr {
        let taken = self.entries.len() + self.agents.len();
        let offset = u16::try_from(taken).unwrap_or(u16::MAX);
        SocketAddr::from((self.ip, FIRST_PORT.saturating_add(offset)))
    }

    /// Prints the processes that have exited, with the last line of their logs.
    fn print_exited(&mut self) {
        for process in self.agents.iter_mut().chain(&mut self.entries) {
            if let Some(status) = process.try_wait() {
                let log = process.log();
                let last = log.lines().last().unwrap_or_default();
                eprintln!("{} exited with {status}: {last}", process.address);
            }
        }
    }

    fn add_entry(&mut self, plan: &FleetPlan, number: usize) -> Result<(), StandinError> {
        let instance = format!("entry-{number}");
        let address = self.next_address();
        let mut text = self.node_text(plan, "entry", number, &instance, address, address);
        let digest = credential_digest(OPERATOR_CREDENTIAL);
        let _ = write!(
            text,
            "\n[entry]\nfirst_operator_sha256 = {digest}\nbody_ms = 2000\n"
        );
        let process = self.write_process(&instance, &text, address)?;
        self.register_member(&instance, MemberRole::Entry, address);
        self.entries.push(process);
        Ok(())
    }

    async fn add_upstream(
        &mut self,
        plan: &FleetPlan,
        number: usize,
        upstream: &UpstreamPlan,
    ) -> Result<(), StandinError> {
        let (standin, kind_text) = match upstream {
            UpstreamPlan::Engine(options) => {
                let mut options = options.clone();
                options.weights = Some(self.platform.address());
                let kind = format!("kind = engine\nmemory_mb = {}\n", options.memory_mb);
                let engine = EngineStandin::spawn(any_port(), options).await?;
                (UpstreamStandin::Engine(engine), kind)
            }
            UpstreamPlan::Service(name, options) => {
                let service = ServiceStandin::spawn(any_port(), *options).await?;
                let kind = format!("kind = service\nservice = {name}\n");
                (UpstreamStandin::Service(service), kind)
            }
        };
        let upstream_proxy = FaultProxy::spawn(standin.address()).await?;
        let instance = format!("worker-{number}");
        let address = self.next_address();
        let agent_proxy = FaultProxy::spawn(address).await?;
        let advertised = agent_proxy.address();
        let mut text = self.node_text(plan, "agent", number, &instance, address, advertised);
        text.push_str(&upstream_text(
            &plan.agent,
            upstream_proxy.address(),
            &kind_text,
        ));
        let process = self.write_process(&instance, &text, address)?;
        self.register_member(&instance, MemberRole::Agent, advertised);
        self.upstreams.push(standin);
        self.upstream_proxies.push(upstream_proxy);
        self.agent_proxies.push(agent_proxy);
        self.agents.push(process);
        Ok(())
    }

    fn node_text(
        &self,
        plan: &FleetPlan,
        role: &str,
        number: usize,
        instance: &str,
        listen: SocketAddr,
        advertise: SocketAddr,
    ) -> String {
        let (region, zone) = &plan.zones[number % plan.zones.len()];
        let platform = self.platform_proxy.address();
        format!(
            "[daemon]\nrole = {role}\ninstance = {instance}\nzone = {zone}\nregion = {region}\n\
             listen = {listen}\nadvertise = {advertise}\ndrain_ms = 10000\n\n\
             [platform]\ntable = {platform}\nmembers = {platform}\ntimeout_ms = 500\n\
             poll_ms = {}\n",
            plan.poll_ms
        )
    }

    fn write_process(
        &self,
        instance: &str,
        text: &str,
        address: SocketAddr,
    ) -> Result<DaemonProcess, StandinError> {
        let config = self.folder.join(format!("{instance}.ini"));
        std::fs::write(&config, text)?;
        let log = self.folder.join(format!("{instance}.log"));
        let mut process = DaemonProcess::open(&self.daemon, config, log, address);
        process.start()?;
        Ok(process)
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

fn upstream_text(agent: &AgentConfig, address: SocketAddr, kind_text: &str) -> String {
    format!(
        "\n[upstream]\n{kind_text}address = {address}\nqueue_capacity = {}\n\
         concurrency = {}\ntarget_unit_us = {}\nreport_ms = {}\n",
        agent.queue_capacity, agent.concurrency, agent.target_unit_us, agent.report_ms
    )
}

/// Random loopback address, so that concurrent fleets do not compete for ports.
#[must_use]
pub fn fleet_ip() -> Ipv4Addr {
    Ipv4Addr::new(
        127,
        fastrand::u8(1..=250),
        fastrand::u8(..),
        fastrand::u8(1..=250),
    )
}
