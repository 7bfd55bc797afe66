//! `quetzalpin bench capacity`: control-plane cost by size of settings and fleet.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Instant;

use quetzalpin::placement::{PlacementPlanner, PlannerInput, UpstreamView};
use quetzalpin::prelude::*;
use quetzalpin::routing::{Locality, RouteChooser, RouteContext, RouteTarget};
use quetzalpin::rpc::{AgentReport, RankWait, ReplicaReport, ReplicaState};
use quetzalpin::settings::{SettingsRow, SubtreeName, parse_tree};

use super::process_slopes;
use super::slope_fit::{SlopePoint, print_slope};
use crate::errors::ToolError;

/// Repetitions of each measured step; the median is used.
const RUN_COUNT: usize = 9;

/// Replicas for which an agent holds slots; covers the planned size with a margin.
const REPLICA_COUNTS: [usize; 4] = [1, 4, 16, 64];

/// Numbers of adapters in the settings tree.
const ADAPTER_COUNTS: [usize; 4] = [1_000, 5_000, 20_000, 49_000];

/// Numbers of upstreams that the planner considers.
const UPSTREAM_COUNTS: [usize; 4] = [20, 80, 320, 670];

/// Models in a fleet of the planned size.
const MODEL_COUNT: usize = 97;

/// Measures and prints the cost slopes of reports, settings, planner, routing and processes.
pub async fn run() -> Result<ExitCode, ToolError> {
    measure_reports();
    measure_settings();
    measure_planner();
    measure_routing();
    process_slopes::run().await?;
    Ok(ExitCode::SUCCESS)
}

#[allow(clippy::cast_precision_loss)]
fn slope_point(size: usize, cost: f64) -> SlopePoint {
    SlopePoint {
        size: size as f64,
        cost,
    }
}

/// Median duration of a step in microseconds.
fn median_us(mut step: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..RUN_COUNT)
        .map(|_| {
            let began_at = Instant::now();
            step();
            began_at.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUN_COUNT / 2]
}

fn replica_name(number: usize) -> ReplicaName {
    ReplicaName::of(&ModelName::from(format!("model-{number}").as_str()), 1)
}

fn agent_report(instance: usize, replicas: usize) -> AgentReport {
    let rank = |name: &str| RankWait {
        rank: RankName::from(name),
        wait_ms: 120,
    };
    let replica_reports = (0..replicas).map(|number| ReplicaReport {
        replica: replica_name(number),
        state: ReplicaState::Granted,
        ready_ms: 800,
        running: 0,
        waiting: 0,
        arrived: 1_000,
    });
    AgentReport {
        instance: InstanceName::from(format!("worker-{instance}").as_str()),
        start_id: 1 << 60,
        sequence: 100_000,
        address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        zone: ZoneName::from("armor-a"),
        region: RegionName::from("armor"),
        service: None,
        leaving: false,
        healthy: true,
        boot_id: Some(1 << 40),
        memory_mb: 80_000,
        settings_revision: 3_500,
        running: 8,
        limit: 16,
        first_ms: 40,
        token_us: 13_000,
        mean_ms: 450,
        ranks: vec![rank("urgent"), rank("normal"), rank("background")],
        replicas: replica_reports.collect(),
        cached: (0..6).map(replica_name).collect(),
        crashes: Vec::new(),
    }
}

#[allow(clippy::cast_precision_loss)]
fn measure_reports() {
    let size_of = |count: &usize| {
        let text = serde_json::to_vec(&agent_report(0, *count)).unwrap_or_default();
        slope_point(*count, text.len() as f64)
    };
    let sizes: Vec<SlopePoint> = REPLICA_COUNTS.iter().map(size_of).collect();
    print_slope("agent's report", "bytes", "replica slot", &sizes);
    let times: Vec<SlopePoint> = REPLICA_COUNTS
        .iter()
        .map(|count| {
            let text = serde_json::to_vec(&agent_report(0, *count)).unwrap_or_default();
            let cost_us = median_us(|| {
                let decoded: Result<AgentReport, _> = serde_json::from_slice(&text);
                std::hint::black_box(decoded.is_ok());
            });
            slope_point(*count, cost_us)
        })
        .collect();
    print_slope("reading a report", "us", "replica slot", &times);
}

fn settings_rows(adapters: usize) -> Vec<SettingsRow> {
    let mut root = "[fleet]\noperator_sha256 = x\n[rank.normal]\norder = 0\ndeadline_ms = 980\n\
                    [team.a]\ncredential_sha256 = y\n"
        .to_owned();
    for number in 0..MODEL_COUNT {
        let _ = write!(
            root,
            "[model.model-{number}]\nmemory_mb = 16000\nload_ms = 800\n"
        );
    }
    let mut team = String::new();
    for number in 0..adapters {
        let model = number % MODEL_COUNT;
        let _ = write!(
            team,
            "[team.a.adapter.adapter-{number}]\nmodel = model-{model}\n"
        );
    }
    let row = |subtree, revision, text| SettingsRow {
        subtree,
        revision,
        text,
        author: String::new(),
        attempt: AttemptId::new(1),
    };
    vec![
        row(SubtreeName::Root, 1, root),
        row(SubtreeName::Team(TeamName::from("a")), 2, team),
    ]
}

/// Resident memory of this process in megabytes.
fn resident_mb() -> f64 {
    process_slopes::resident_kb(std::process::id()) / 1_024.0
}

fn measure_settings() {
    let mut sizes = Vec::new();
    let mut times = Vec::new();
    let mut memories = Vec::new();
    for adapters in ADAPTER_COUNTS {
        let rows = settings_rows(adapters);
        let bytes: usize = rows.iter().map(|row| row.text.len()).sum();
        #[allow(clippy::cast_precision_loss)]
        sizes.push(slope_point(adapters, bytes as f64 / 1_024.0));
        let before_mb = resident_mb();
        let tree = parse_tree(&rows);
        memories.push(slope_point(adapters, resident_mb() - before_mb));
        drop(tree);
        let cost_us = median_us(|| {
            std::hint::black_box(parse_tree(&rows).is_ok());
        });
        times.push(slope_point(adapters, cost_us / 1_000.0));
    }
    print_slope("settings text", "KB", "adapter", &sizes);
    print_slope("parsing the tree", "ms", "adapter", &times);
    print_slope(
        "tree in memory (growth of the process)",
        "MB",
        "adapter",
        &memories,
    );
}

fn measure_planner() {
    let Ok(settings) = parse_tree(&settings_rows(1)) else {
        return;
    };
    let mut first_rounds = Vec::new();
    let mut steady_rounds = Vec::new();
    for upstreams in UPSTREAM_COUNTS {
        let mut input = PlannerInput {
            upstreams: (0..upstreams).map(upstream_view).collect(),
            ..PlannerInput::default()
        };
        let now = MonoTime::from_millis(1_000);
        let mut partitions: Vec<PlacementPlanner> = (0..settings.limits.partitions)
            .map(PlacementPlanner::open)
            .collect();
        let first_us = median_us(|| {
            let changes = partitions[0].plan(now, &settings, &input);
            std::hint::black_box(changes.len());
        });
        first_rounds.push(slope_point(upstreams, first_us / 1_000.0));
        let mut rows = BTreeMap::new();
        for planner in &mut partitions {
            for change in planner.plan(now, &settings, &input) {
                let entry = (change.expected, change.row.clone());
                rows.insert(change.row.replica, entry);
            }
        }
        input.rows = rows;
        let steady_us = median_us(|| {
            let changes = partitions[0].plan(now, &settings, &input);
            std::hint::black_box(changes.len());
        });
        steady_rounds.push(slope_point(upstreams, steady_us / 1_000.0));
    }
    print_slope(
        "a planner's first round, one partition of 97 models",
        "ms",
        "upstream",
        &first_rounds,
    );
    print_slope("a planner's steady round", "ms", "upstream", &steady_rounds);
}

fn upstream_view(number: usize) -> UpstreamView {
    UpstreamView {
        instance: InstanceName::from(format!("worker-{number}").as_str()),
        zone: ZoneName::from(format!("zone-{}", number % 7).as_str()),
        region: RegionName::from(format!("region-{}", number % 2).as_str()),
        memory_mb: 320_000,
        is_usable: true,
        cached: Vec::new(),
        states: BTreeMap::new(),
    }
}

fn measure_routing() {
    let times: Vec<SlopePoint> = REPLICA_COUNTS
        .iter()
        .map(|count| {
            let targets: Vec<RouteTarget> = (0..*count).map(route_target).collect();
            let context = RouteContext {
                remaining_ms: 5_000,
                affinity_key: "prompt",
                wake_key: "model-0@1",
                suspect_key: None,
            };
            let cost_us = median_us(|| {
                std::hint::black_box(RouteChooser.choose(&targets, context).is_ok());
            });
            slope_point(*count, cost_us)
        })
        .collect();
    print_slope(
        "choosing an upstream",
        "us",
        "holder of the replica",
        &times,
    );
}

fn route_target(number: usize) -> RouteTarget {
    RouteTarget {
        instance: InstanceName::from(format!("worker-{number}").as_str()),
        locality: Locality::Region,
        state: ReplicaState::Loaded,
        ready_ms: 0,
        wait_ms: 0,
        needed_ms: 400,
        load: u32::try_from(number % 5).unwrap_or(0),
        limit: 16,
    }
}
