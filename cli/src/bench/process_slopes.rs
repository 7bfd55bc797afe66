//! Cost of idle daemons as processes, by the number of agents.

use std::time::{Duration, Instant};

use quetzalpin_standins::{DaemonProcess, ProcessFleet};

use super::example_fleet::{ExampleFleet, FleetSize};
use super::slope_fit::{SlopePoint, print_slope};
use crate::errors::ToolError;

/// Agents beside engines.
const AGENT_COUNTS: [usize; 4] = [5, 10, 20, 40];

/// Entries.
const ENTRIES: usize = 2;

/// Milliseconds for a fleet's start.
const START_MS: u64 = 120_000;

/// Seconds after the start before the measurement.
const CALM_S: u64 = 3;

/// Seconds of the measurement.
const MEASURE_S: u64 = 10;

/// Ticks of processor time per second, as the kernel reports them.
const TICKS_PER_S: f64 = 100.0;

/// Kilobytes of a page.
const PAGE_KB: f64 = 4.0;

/// Cost of one daemon.
#[derive(Debug, Clone, Copy, Default)]
struct DaemonCost {
    cpu_percent: f64,
    resident_mb: f64,
    control_bytes_s: f64,
    table_calls_s: f64,
}

/// Measures fleets of growing size.
pub async fn run() -> Result<(), ToolError> {
    let mut entries = Vec::new();
    let mut agents = Vec::new();
    for count in AGENT_COUNTS {
        let (entry, agent) = measure(count).await?;
        entries.push((count, entry));
        agents.push((count, agent));
    }
    print_costs("an idle entry", &entries);
    print_costs("an idle agent", &agents);
    Ok(())
}

fn print_costs(name: &str, costs: &[(usize, DaemonCost)]) {
    let series = |value: fn(&DaemonCost) -> f64| -> Vec<SlopePoint> {
        let point = |(count, cost): &(usize, DaemonCost)| SlopePoint {
            #[allow(clippy::cast_precision_loss)]
            size: *count as f64,
            cost: value(cost),
        };
        costs.iter().map(point).collect()
    };
    let percent = "% of a core";
    print_slope(
        &format!("{name}: processor"),
        percent,
        "agent",
        &series(|c| c.cpu_percent),
    );
    print_slope(
        &format!("{name}: memory"),
        "MB",
        "agent",
        &series(|c| c.resident_mb),
    );
    let bytes = series(|c| c.control_bytes_s);
    print_slope(&format!("{name}: control sent"), "bytes/s", "agent", &bytes);
    let calls = series(|c| c.table_calls_s);
    print_slope(&format!("{name}: table calls"), "calls/s", "agent", &calls);
}

async fn measure(count: usize) -> Result<(DaemonCost, DaemonCost), ToolError> {
    let example = ExampleFleet::Office;
    let plan = example.plan(FleetSize {
        engines: count,
        services: 0,
        entries: ENTRIES,
    });
    let daemon = std::env::current_exe()?.with_file_name("quetzalpind");
    let mut fleet = ProcessFleet::spawn(&daemon, &plan).await?;
    fleet.wait_ready(example.model_count(), START_MS).await?;
    compio::time::sleep(Duration::from_secs(CALM_S)).await;
    let client = cyper::Client::new()?;
    let before = Snapshot::take(&client, &fleet).await;
    let began_at = Instant::now();
    compio::time::sleep(Duration::from_secs(MEASURE_S)).await;
    let after = Snapshot::take(&client, &fleet).await;
    let seconds = began_at.elapsed().as_secs_f64();
    let entry = before.entries.cost(&after.entries, seconds, ENTRIES);
    let agent = before.agents.cost(&after.agents, seconds, count);
    Ok((entry, agent))
}

/// Sums over the processes of a role.
#[derive(Debug, Clone, Copy, Default)]
struct RoleSums {
    cpu_ticks: f64,
    resident_kb: f64,
    control_bytes: f64,
    table_calls: f64,
}

struct Snapshot {
    entries: RoleSums,
    agents: RoleSums,
}

impl Snapshot {
    async fn take(client: &cyper::Client, fleet: &ProcessFleet) -> Self {
        Self {
            entries: RoleSums::of(client, &fleet.entries).await,
            agents: RoleSums::of(client, &fleet.agents).await,
        }
    }
}

impl RoleSums {
    async fn of(client: &cyper::Client, processes: &[DaemonProcess]) -> Self {
        let mut sums = Self::default();
        for process in processes {
            let Some(id) = process.id() else {
                continue;
            };
            sums.cpu_ticks += cpu_ticks(id);
            sums.resident_kb += resident_kb(id);
            let text = metrics_text(client, process).await.unwrap_or_default();
            sums.control_bytes += metric_sum(&text, "quetzalpin_control_bytes_total");
            sums.table_calls += metric_sum(&text, "quetzalpin_table_calls_total");
        }
        sums
    }

    #[allow(clippy::cast_precision_loss)]
    fn cost(&self, after: &Self, seconds: f64, processes: usize) -> DaemonCost {
        let each = processes.max(1) as f64;
        let ticks = after.cpu_ticks - self.cpu_ticks;
        DaemonCost {
            cpu_percent: ticks / TICKS_PER_S / seconds * 100.0 / each,
            resident_mb: after.resident_kb / 1_024.0 / each,
            control_bytes_s: (after.control_bytes - self.control_bytes) / seconds / each,
            table_calls_s: (after.table_calls - self.table_calls) / seconds / each,
        }
    }
}

async fn metrics_text(client: &cyper::Client, process: &DaemonProcess) -> Option<String> {
    let url = format!("http://{}/metrics", process.address);
    client.get(url).ok()?.send().await.ok()?.text().await.ok()
}

/// Sum of a metric over all its labels.
fn metric_sum(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Processor ticks that a process has used.
fn cpu_ticks(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)
}

/// Kilobytes resident in a process.
pub fn resident_kb(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|f| f.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_KB
}
