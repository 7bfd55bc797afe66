//! Typed settings of a daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use derive_more::{Display, FromStr};
use ini::{Ini, Properties};

use super::{AccountSettings, ClientLimits, ConfigError, DecimalValue};
use crate::admission::QueuePolicy;
use crate::placement::HoldingPolicy;
use crate::prelude::*;
use crate::settings::{FaultCause, SectionReader, SettingsFault};

const EXPECTED_ADDRESS: &str = "an IP address with port, such as 127.0.0.1:7100";
const EXPECTED_NAME: &str = "a name";
const EXPECTED_MILLIS: &str = "a whole number of milliseconds";
const EXPECTED_SECONDS: &str = "a number of seconds such as 7.5";
const EXPECTED_COUNT: &str = "a whole number";
const EXPECTED_DECIMAL: &str = "a number such as 0.25";

/// Milliseconds that a shutdown waits for work in flight unless a setting says otherwise.
const DEFAULT_DRAIN_MS: u64 = 30_000;

/// Memory in megabytes of the smallest instance that a gateway is made for.
const SMALLEST_MEMORY_MB: DecimalValue = DecimalValue::of_whole(160);

/// Environment variable with the memory in megabytes of the instance. A setting goes before it.
const MEMORY_VARIABLE: &str = "QUETZALPIN_MEMORY_MB";

/// Part of the memory that messages may use, as a divisor. The rest is for connections, for what the
/// process knows of the fleet, and for the kernel's buffers.
const BUFFER_DIVISOR: u64 = 4;

/// Role of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, FromStr, Display)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum DaemonRole {
    /// Takes callers' requests.
    Entry,
    /// Runs beside one upstream.
    Agent,
    /// Takes callers' requests on a platform that lists routes and upstreams.
    Gateway,
}

/// Kind of an agent's upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// Accelerator memory in megabytes.
        memory_mb: u64,
    },
    /// A plain service.
    Service(ServiceName),
}

/// Settings that all roles have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeConfig {
    /// The instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address at which peers reach the process, if it is not `listen`.
    pub advertise: Option<SocketAddr>,
    /// Milliseconds that a shutdown waits for work in flight.
    pub drain_ms: u64,
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the list of instances.
    pub members: SocketAddr,
    /// Timeout of a platform call in milliseconds.
    pub timeout_ms: u64,
    /// Milliseconds between polls of the settings and the list of instances.
    pub poll_ms: u64,
    /// Limits on clients.
    pub clients: ClientLimits,
}

impl NodeConfig {
    /// Bytes that all messages which an entry or agent holds may use together.
    #[must_use]
    pub fn buffer_bytes(&self) -> usize {
        usize::try_from(self.clients.memory_bytes() / BUFFER_DIVISOR).unwrap_or(usize::MAX)
    }
}

/// Settings of the entry role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryConfig {
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Largest number of requests in this process.
    pub max_waiting: usize,
    /// Milliseconds within which a request body must arrive.
    pub body_ms: u64,
    /// SHA-256 of the credential that may apply the first settings.
    pub first_operator_sha256: Option<String>,
}

/// Settings of the agent role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentConfig {
    /// Kind of the upstream.
    pub upstream: UpstreamKind,
    /// Address on which the upstream listens.
    pub upstream_address: SocketAddr,
    /// Largest number of waiting requests.
    pub queue_capacity: usize,
    /// Limit of concurrent requests, if the upstream does not report one.
    pub concurrency: u32,
    /// Target microseconds per token, or per call of a plain service.
    pub target_unit_us: u64,
    /// How the queue picks the next request.
    pub queue_policy: QueuePolicy,
    /// How long replicas stay loaded.
    pub holding_policy: HoldingPolicy,
    /// Milliseconds between reports to entries.
    pub report_ms: u64,
}

/// Settings of the gateway role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayConfig {
    /// Address of the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Path of the readiness check.
    pub ready_path: String,
    /// Address for the other processes of the system.
    pub peers: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Milliseconds after which an idle connection of a caller is closed.
    pub idle_ms: u64,
    /// Term of the planner's lease in milliseconds.
    pub lease_term_ms: u64,
    /// Milliseconds between the last order of one planner and the first of the next.
    pub order_turn_ms: u64,
    /// Share of a processor core that the process may use.
    pub processor_share: DecimalValue,
    /// Speed of that core, as a multiple of a usual one.
    pub processor_speed: DecimalValue,
    /// Memory in megabytes that the process may use; `None` if nothing states it.
    pub memory_mb: Option<DecimalValue>,
    /// Concurrent loads from the weight store.
    pub store_loads: usize,
    /// Retry budget: requests of one service that the whole fleet may retry in ten seconds, in
    /// addition to a percentage.
    pub resend_reserve: usize,
    /// How far accounts may exceed their limits.
    pub accounts: AccountSettings,
    /// The region of each availability zone.
    pub regions: BTreeMap<ZoneName, RegionName>,
}

impl GatewayConfig {
    /// Processor capacity in thousandths of a usual core.
    #[must_use]
    pub fn processor_capacity(&self) -> u64 {
        let share = u64::from(self.processor_share.thousandths());
        share * u64::from(self.processor_speed.thousandths()) / 1_000
    }

    /// Bytes that all messages which the process holds may use together.
    #[must_use]
    pub fn buffer_bytes(&self) -> usize {
        usize::try_from(self.memory_bytes() / BUFFER_DIVISOR).unwrap_or(usize::MAX)
    }

    /// Bytes of memory that the process may use.
    #[must_use]
    pub fn memory_bytes(&self) -> u64 {
        let memory_mb = self.memory_mb.unwrap_or(SMALLEST_MEMORY_MB);
        u64::from(memory_mb.thousandths()) * 1_000
    }
}

/// The role with its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoleConfig {
    /// Entry.
    Entry(EntryConfig),
    /// Agent.
    Agent(AgentConfig),
    /// Gateway.
    Gateway(GatewayConfig),
}

/// All settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonConfig {
    /// Settings that all roles have.
    pub node: NodeConfig,
    /// The role's own settings.
    pub role: RoleConfig,
}

impl DaemonConfig {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`ConfigError`] with every fault found.
    pub fn open(path: &Path) -> Result<Self, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: file.clone(),
            source,
        })?;
        let mut config = Self::parse(&file, &text)?;
        let clients = &mut config.node.clients;
        if let RoleConfig::Gateway(gateway) = &mut config.role {
            gateway.memory_mb = gateway.memory_mb.or(clients.memory_mb);
            if gateway.memory_mb.is_none() {
                gateway.memory_mb = memory_of_environment()?;
            }
        } else if clients.memory_mb.is_none() {
            clients.memory_mb = memory_of_environment()?;
        }
        Ok(config)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// [`ConfigError::Faulty`] with every fault found.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let document = Ini::load_from_str(text).map_err(|error| {
            ConfigError::Faulty(vec![SettingsFault {
                file: file.to_owned(),
                line: None,
                section: String::new(),
                key: String::new(),
                cause: FaultCause::Syntax(error.to_string()),
            }])
        })?;
        let mut parser = ConfigParser {
            file,
            document: &document,
            faults: Vec::new(),
        };
        let config = parser.read();
        if parser.faults.is_empty() {
            Ok(config)
        } else {
            let faults = parser.faults.into_iter();
            let placed = faults.map(|fault| fault.with_line_in(text)).collect();
            Err(ConfigError::Faulty(placed))
        }
    }
}

struct ConfigParser<'a> {
    file: &'a str,
    document: &'a Ini,
    faults: Vec<SettingsFault>,
}

impl ConfigParser<'_> {
    fn read(&mut self) -> DaemonConfig {
        let (role, node) = self.read_node();
        let role = match role {
            DaemonRole::Entry => RoleConfig::Entry(self.read_entry()),
            DaemonRole::Agent => RoleConfig::Agent(self.read_agent()),
            DaemonRole::Gateway => RoleConfig::Gateway(self.read_gateway()),
        };
        self.reject_unknown_sections(&role);
        DaemonConfig { node, role }
    }

    fn read_node(&mut self) -> (DaemonRole, NodeConfig) {
        let unset = unset_address();
        let (role, mut node) = self.section("daemon", |reader| {
            let role = reader.required("role", "entry, agent or gateway", DaemonRole::Entry);
            let node = NodeConfig {
                instance: read_name(reader, "instance"),
                zone: read_name(reader, "zone"),
                region: read_name(reader, "region"),
                listen: reader.required("listen", EXPECTED_ADDRESS, unset),
                advertise: reader.optional("advertise", EXPECTED_ADDRESS),
                drain_ms: read_drain_ms(reader),
                table: unset,
                members: unset,
                timeout_ms: 0,
                poll_ms: 0,
                clients: ClientLimits::default(),
            };
            (role, node)
        });
        self.section("platform", |reader| {
            node.table = reader.required("table", EXPECTED_ADDRESS, unset);
            node.members = if role == DaemonRole::Gateway {
                unset
            } else {
                reader.required("members", EXPECTED_ADDRESS, unset)
            };
            node.timeout_ms = reader.or_default("timeout_ms", EXPECTED_MILLIS, 1_000);
            node.poll_ms = reader.or_default("poll_ms", EXPECTED_MILLIS, 1_000);
        });
        node.clients = self.section("clients", ClientLimits::read);
        (role, node)
    }

    fn read_entry(&mut self) -> EntryConfig {
        self.section("entry", |reader| EntryConfig {
            max_body_bytes: reader.or_default("max_body_bytes", "bytes", 1_048_576),
            max_waiting: reader.or_default("max_waiting", EXPECTED_COUNT, 4_096),
            body_ms: reader.or_default("body_ms", EXPECTED_MILLIS, 10_000),
            first_operator_sha256: reader
                .optional("first_operator_sha256", "a SHA-256 in hexadecimal"),
        })
    }

    fn read_agent(&mut self) -> AgentConfig {
        self.section("upstream", |reader| {
            let kind = reader.text("kind", "engine or service");
            let upstream = match kind.as_str() {
                "engine" => UpstreamKind::Engine {
                    memory_mb: reader.required("memory_mb", "megabytes", 1),
                },
                "service" => UpstreamKind::Service(read_name(reader, "service")),
                _ => {
                    let cause = FaultCause::WrongValue("engine or service".to_owned());
                    reader.record_fault("kind", cause);
                    UpstreamKind::Engine { memory_mb: 1 }
                }
            };
            AgentConfig {
                upstream,
                upstream_address: reader.required("address", EXPECTED_ADDRESS, unset_address()),
                queue_capacity: reader.or_default("queue_capacity", EXPECTED_COUNT, 1_024),
                concurrency: reader.or_default("concurrency", EXPECTED_COUNT, 16),
                target_unit_us: reader.or_default("target_unit_us", "microseconds", 52_000),
                queue_policy: read_queue_policy(reader),
                holding_policy: read_holding_policy(reader),
                report_ms: reader.or_default("report_ms", EXPECTED_MILLIS, 500),
            }
        })
    }

    fn read_gateway(&mut self) -> GatewayConfig {
        let unset = unset_address();
        let regions = self.read_regions();
        self.section("gateway", |reader| GatewayConfig {
            ready: reader.required("ready", EXPECTED_ADDRESS, unset),
            ready_path: reader.text("ready_path", "a path"),
            peers: reader.required("peers", EXPECTED_ADDRESS, unset),
            metrics: reader.required("metrics", EXPECTED_ADDRESS, unset),
            idle_ms: reader.or_default("idle_ms", EXPECTED_MILLIS, 15_000),
            lease_term_ms: reader.or_default("lease_term_ms", EXPECTED_MILLIS, 5_000),
            order_turn_ms: read_decimal(reader, "order_turn_ms", 3_000, DecimalValue::rounded_up),
            processor_share: reader.or_default(
                "processor_share",
                EXPECTED_DECIMAL,
                DecimalValue::ONE,
            ),
            processor_speed: reader.or_default(
                "processor_speed",
                EXPECTED_DECIMAL,
                DecimalValue::ONE,
            ),
            memory_mb: reader.optional("memory_mb", EXPECTED_DECIMAL),
            store_loads: reader.or_default("store_loads", EXPECTED_COUNT, 4),
            resend_reserve: read_decimal(reader, "resend_reserve", 50, DecimalValue::rounded_down),
            accounts: AccountSettings::read(reader),
            regions,
        })
    }

    fn read_regions(&mut self) -> BTreeMap<ZoneName, RegionName> {
        let Some(section) = self.document.section(Some("regions")) else {
            return BTreeMap::new();
        };
        section
            .iter()
            .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
            .collect()
    }

    fn section<R>(
        &mut self,
        section: &'static str,
        read: impl FnOnce(&mut SectionReader<'_>) -> R,
    ) -> R {
        let empty = Properties::default();
        let properties = self.document.section(Some(section)).unwrap_or(&empty);
        let mut reader = SectionReader::open(self.file, section, properties, &mut self.faults);
        let value = read(&mut reader);
        reader.reject_unknown_keys();
        value
    }

    fn reject_unknown_sections(&mut self, role: &RoleConfig) {
        let role_sections: &[&str] = match role {
            RoleConfig::Entry(_) => &["entry"],
            RoleConfig::Agent(_) => &["upstream"],
            RoleConfig::Gateway(_) => &["gateway", "regions"],
        };
        for section in self.document.sections().flatten() {
            if !["daemon", "platform", "clients"].contains(&section)
                && !role_sections.contains(&section)
            {
                self.faults.push(SettingsFault {
                    file: self.file.to_owned(),
                    line: None,
                    section: section.to_owned(),
                    key: String::new(),
                    cause: FaultCause::UnknownSection,
                });
            }
        }
    }
}

/// The memory that the environment states; `None` if it states none.
fn memory_of_environment() -> Result<Option<DecimalValue>, ConfigError> {
    let text = std::env::var(MEMORY_VARIABLE).unwrap_or_default();
    if text.trim().is_empty() {
        return Ok(None);
    }
    let wrong_value = |_| {
        ConfigError::Faulty(vec![SettingsFault {
            file: "environment".to_owned(),
            line: None,
            section: String::new(),
            key: MEMORY_VARIABLE.to_owned(),
            cause: FaultCause::WrongValue(EXPECTED_DECIMAL.to_owned()),
        }])
    };
    text.parse().map(Some).map_err(wrong_value)
}

fn unset_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

/// Reads the drain time, which may be given in milliseconds or as a decimal number of seconds.
fn read_drain_ms(reader: &mut SectionReader<'_>) -> u64 {
    let seconds: Option<DecimalValue> = reader.optional("drain_s", EXPECTED_SECONDS);
    let default_ms = seconds.map_or(DEFAULT_DRAIN_MS, |seconds| u64::from(seconds.thousandths()));
    reader.or_default("drain_ms", EXPECTED_MILLIS, default_ms)
}

/// Reads a count that the platform may state as a decimal number.
fn read_decimal<T: TryFrom<u32>>(
    reader: &mut SectionReader<'_>,
    key: &'static str,
    default: T,
    whole: impl FnOnce(DecimalValue) -> u32,
) -> T {
    let value: Option<DecimalValue> = reader.optional(key, EXPECTED_DECIMAL);
    let number = value.and_then(|value| T::try_from(whole(value)).ok());
    number.unwrap_or(default)
}

fn read_name<T: for<'t> From<&'t str>>(reader: &mut SectionReader<'_>, key: &'static str) -> T {
    let text = reader.text(key, EXPECTED_NAME);
    T::from(text.as_str())
}

fn read_queue_policy(reader: &mut SectionReader<'_>) -> QueuePolicy {
    let text: Option<String> = reader.optional("queue_policy", EXPECTED_NAME);
    match text.as_deref() {
        None | Some("rank_floors") => QueuePolicy::RankFloors,
        Some("arrival_order") => QueuePolicy::ArrivalOrder,
        Some("strict_ranks") => QueuePolicy::StrictRanks,
        Some("round_robin") => QueuePolicy::RoundRobin,
        Some(_) => {
            let expected = "rank_floors, arrival_order, strict_ranks or round_robin";
            reader.record_fault("queue_policy", FaultCause::WrongValue(expected.to_owned()));
            QueuePolicy::RankFloors
        }
    }
}

fn read_holding_policy(reader: &mut SectionReader<'_>) -> HoldingPolicy {
    let text: Option<String> = reader.optional("holding_policy", EXPECTED_NAME);
    match text.as_deref() {
        None | Some("slots") => HoldingPolicy::Slots,
        Some("always_loaded") => HoldingPolicy::AlwaysLoaded,
        Some(_) => {
            let cause = FaultCause::WrongValue("slots or always_loaded".to_owned());
            reader.record_fault("holding_policy", cause);
            HoldingPolicy::Slots
        }
    }
}
