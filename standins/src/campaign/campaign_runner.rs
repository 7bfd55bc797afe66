//! Runs a fault campaign: load, faults, recovery and the check of the history.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::caller_pool::CallerPool;
use super::campaign_report::{CampaignEvidence, CampaignReport};
use super::fault_injector::FaultInjector;
use super::slot_monitor::SlotMonitor;
use crate::engine_standin::EngineStandin;
use crate::errors::StandinError;
use crate::process_fleet::ProcessFleet;
use crate::service_standin::ServiceStandin;
use crate::small_fleet::{SMALL_MODEL_COUNT, small_plan};

/// Time limit for the start of the fleet, and for its recovery after the last fault.
const READY_TIMEOUT_MS: u64 = 60_000;

/// Delay between the recovery and the resending of stamps without an answer.
const SETTLE_MS: u64 = 6_000;

/// Options of a campaign.
#[derive(Debug, Clone)]
pub struct CampaignOptions {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Seed of the random faults and calls.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Folder to which the daemons' logs are copied; they are deleted if absent.
    pub logs: Option<PathBuf>,
}

/// Runs a campaign and checks the guarantees against its history.
///
/// # Errors
/// [`StandinError`] if the fleet does not start, or does not recover once faults have ended.
pub async fn run_campaign(options: &CampaignOptions) -> Result<CampaignReport, StandinError> {
    let mut fleet = ProcessFleet::spawn(&options.daemon, &small_plan()).await?;
    fleet
        .wait_ready(SMALL_MODEL_COUNT, READY_TIMEOUT_MS)
        .await?;
    let entries = entry_addresses(&fleet);
    let fleet = Rc::new(RefCell::new(fleet));
    let monitor = Rc::new(SlotMonitor::default());
    let monitoring = compio::runtime::spawn(Rc::clone(&monitor).run(Rc::clone(&fleet)));
    let counted_fleet = Rc::clone(&fleet);
    let stamp_counter = Box::new(move |batch: &str| counted_fleet.borrow().stamps(batch));
    let pool = CallerPool::open(entries, options.seed, stamp_counter);
    let callers: Vec<_> = (0..options.callers)
        .map(|_| compio::runtime::spawn(Rc::clone(&pool).run_caller()))
        .collect();
    let mut injector = FaultInjector::open(Rc::clone(&fleet), options.seed);
    let started_at = Instant::now();
    while started_at.elapsed() < options.duration {
        injector.inject_next().await;
    }
    recover(&fleet, &injector).await?;
    pool.stop();
    for caller in callers {
        let _ = caller.await;
    }
    compio::time::sleep(Duration::from_millis(SETTLE_MS)).await;
    pool.retry_open_stamps().await?;
    monitor.stop();
    let _ = monitoring.await;
    if let Some(folder) = &options.logs {
        fleet.borrow().copy_logs(folder)?;
    }
    let evidence = collect_evidence(&fleet.borrow(), &pool, &monitor);
    Ok(CampaignReport {
        seed: options.seed,
        result_counts: evidence.result_counts(),
        faults: injector.injected,
        checks: evidence.check(),
    })
}

fn entry_addresses(fleet: &ProcessFleet) -> Vec<SocketAddr> {
    fleet.entries.iter().map(|entry| entry.address).collect()
}

/// Clears all faults repeatedly until each entry sees all agents healthy.
async fn recover(
    fleet: &Rc<RefCell<ProcessFleet>>,
    injector: &FaultInjector,
) -> Result<(), StandinError> {
    const POLL_MS: u64 = 500;
    let client = cyper::Client::new()?;
    let entries = entry_addresses(&fleet.borrow());
    let agents = fleet.borrow().agents.len();
    let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
    while Instant::now() < deadline {
        injector.clear_faults()?;
        compio::time::sleep(Duration::from_millis(POLL_MS)).await;
        if is_recovered(&client, &entries, agents).await {
            return Ok(());
        }
    }
    Err(StandinError::NotReady(READY_TIMEOUT_MS))
}

async fn is_recovered(client: &cyper::Client, entries: &[SocketAddr], agents: usize) -> bool {
    for entry in entries {
        let Some(status) = ProcessFleet::status_at(client, *entry).await else {
            return false;
        };
        let reports = status.agents.iter().filter(|agent| agent.age_ms < 2_000);
        let usable = reports.filter(|agent| agent.report.healthy && !agent.report.leaving);
        if usable.count() < agents {
            return false;
        }
    }
    true
}

fn collect_evidence(
    fleet: &ProcessFleet,
    pool: &CallerPool,
    monitor: &SlotMonitor,
) -> CampaignEvidence {
    let mut stamps: BTreeMap<String, u32> = BTreeMap::new();
    for audit in fleet.services().map(ServiceStandin::audit) {
        for (batch, runs) in audit.stamps {
            *stamps.entry(batch).or_insert(0) += runs;
        }
    }
    CampaignEvidence {
        history: pool.history.borrow().clone(),
        stamps,
        engines: fleet.engines().map(EngineStandin::audit).collect(),
        slots: (monitor.checked.get(), monitor.violations.borrow().clone()),
    }
}
