//! Injects random, overlapping faults into a fleet.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::errors::StandinError;
use crate::fault_switch::FaultConfig;
use crate::process_fleet::ProcessFleet;

/// Upper bound of the random delay before each fault.
const MAX_GAP_MS: u64 = 1_500;

/// Upper bound of the random duration of a fault.
const MAX_FAULT_MS: u64 = 4_000;

/// Kind of fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    KillAgent,
    KillEntry,
    PauseAgent,
    PauseEntry,
    RestartAgent,
    BlackholeAgent,
    CutAgent,
    BlackholeUpstream,
    CutUpstream,
    BlackholePlatform,
    CutPlatform,
    TableDown,
    TableSlow,
    TableLosesAnswers,
    MemberListFrozen,
    EngineCrash,
    EngineSlow,
    ServiceLosesAnswers,
    WeightStoreSlow,
}

const FAULT_KINDS: [FaultKind; 19] = [
    FaultKind::KillAgent,
    FaultKind::KillEntry,
    FaultKind::PauseAgent,
    FaultKind::PauseEntry,
    FaultKind::RestartAgent,
    FaultKind::BlackholeAgent,
    FaultKind::CutAgent,
    FaultKind::BlackholeUpstream,
    FaultKind::CutUpstream,
    FaultKind::BlackholePlatform,
    FaultKind::CutPlatform,
    FaultKind::TableDown,
    FaultKind::TableSlow,
    FaultKind::TableLosesAnswers,
    FaultKind::MemberListFrozen,
    FaultKind::EngineCrash,
    FaultKind::EngineSlow,
    FaultKind::ServiceLosesAnswers,
    FaultKind::WeightStoreSlow,
];

/// Injects a sequence of faults that a seed determines.
pub struct FaultInjector {
    fleet: Rc<RefCell<ProcessFleet>>,
    rng: fastrand::Rng,
    /// Number of faults injected so far.
    pub injected: u64,
    /// Number of engine crashes injected so far.
    pub engine_crashes: u32,
}

impl FaultInjector {
    /// Opens an injector for a fleet.
    pub fn open(fleet: Rc<RefCell<ProcessFleet>>, seed: u64) -> Self {
        Self {
            fleet,
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            injected: 0,
            engine_crashes: 0,
        }
    }

    /// Injects one random fault after a random delay. It ends by itself: a lasting fault is
    /// reverted in the background.
    pub async fn inject_next(&mut self) {
        let pause_ms = self.rng.u64(..MAX_GAP_MS);
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
        let kind = FAULT_KINDS[self.rng.usize(..FAULT_KINDS.len())];
        let duration = Duration::from_millis(self.rng.u64(100..MAX_FAULT_MS));
        self.injected += 1;
        self.inject(kind, duration);
    }

    /// Clears the platform, service and engine faults, and resumes or restarts all processes.
    ///
    /// # Errors
    /// [`StandinError::Io`] if a process cannot be started.
    pub fn clear_faults(&self) -> Result<(), StandinError> {
        let mut fleet = self.fleet.borrow_mut();
        let platform = Rc::clone(&fleet.platform.state);
        platform.table_faults.set(FaultConfig::default());
        platform.members.set_frozen(false);
        platform.weights.slowness_percent.set(100);
        for service in fleet.services() {
            service.faults.set(FaultConfig::default());
        }
        for engine in fleet.engines() {
            engine.slowness_percent.set(100);
        }
        let fleet = &mut *fleet;
        for process in fleet.agents.iter_mut().chain(&mut fleet.entries) {
            process.resume();
            process.start_if_ended()?;
        }
        Ok(())
    }

    fn inject(&mut self, kind: FaultKind, duration: Duration) {
        let fleet = Rc::clone(&self.fleet);
        let agents = fleet.borrow().agents.len();
        let entries = fleet.borrow().entries.len();
        let agent = self.rng.usize(..agents);
        let entry = self.rng.usize(..entries);
        match kind {
            FaultKind::KillAgent => {
                fleet.borrow_mut().agents[agent].kill();
                self.schedule(duration, move |fleet| {
                    let _ = fleet.agents[agent].start_if_ended();
                });
            }
            FaultKind::KillEntry => {
                fleet.borrow_mut().entries[entry].kill();
                self.schedule(duration, move |fleet| {
                    let _ = fleet.entries[entry].start_if_ended();
                });
            }
            FaultKind::PauseAgent => {
                fleet.borrow().agents[agent].pause();
                self.schedule(duration, move |fleet| fleet.agents[agent].resume());
            }
            FaultKind::PauseEntry => {
                fleet.borrow().entries[entry].pause();
                self.schedule(duration, move |fleet| fleet.entries[entry].resume());
            }
            FaultKind::RestartAgent => {
                fleet.borrow().agents[agent].terminate();
                self.schedule(Duration::from_millis(MAX_FAULT_MS * 3), move |fleet| {
                    let _ = fleet.agents[agent].start_if_ended();
                });
            }
            _ => self.inject_network_or_platform(kind, duration, agent),
        }
    }

    fn inject_network_or_platform(&mut self, kind: FaultKind, duration: Duration, agent: usize) {
        let fleet = self.fleet.borrow();
        let platform = Rc::clone(&fleet.platform.state);
        let set_table_faults = |config: FaultConfig| platform.table_faults.set(config);
        match kind {
            FaultKind::BlackholeAgent => fleet.agent_proxies[agent].blackhole(),
            FaultKind::CutAgent => fleet.agent_proxies[agent].close_connections(),
            FaultKind::BlackholeUpstream => fleet.upstream_proxies[agent].blackhole(),
            FaultKind::CutUpstream => fleet.upstream_proxies[agent].close_connections(),
            FaultKind::BlackholePlatform => fleet.platform_proxy.blackhole(),
            FaultKind::CutPlatform => fleet.platform_proxy.close_connections(),
            FaultKind::TableDown => {
                set_table_faults(FaultConfig {
                    down: true,
                    ..FaultConfig::default()
                });
                self.schedule(duration, |fleet| {
                    fleet
                        .platform
                        .state
                        .table_faults
                        .set(FaultConfig::default());
                });
            }
            FaultKind::TableSlow => {
                set_table_faults(FaultConfig {
                    delay_ms: 300,
                    ..FaultConfig::default()
                });
                self.schedule(duration, |fleet| {
                    fleet
                        .platform
                        .state
                        .table_faults
                        .set(FaultConfig::default());
                });
            }
            FaultKind::TableLosesAnswers => set_table_faults(FaultConfig {
                lose_answers: 5,
                ..FaultConfig::default()
            }),
            FaultKind::MemberListFrozen => {
                platform.members.set_frozen(true);
                self.schedule(duration, |fleet| {
                    fleet.platform.state.members.set_frozen(false);
                });
            }
            FaultKind::WeightStoreSlow => {
                platform.weights.slowness_percent.set(400);
                self.schedule(duration, |fleet| {
                    fleet.platform.state.weights.slowness_percent.set(100);
                });
            }
            _ => {
                drop(fleet);
                self.inject_upstream(kind, duration, agent);
            }
        }
    }

    fn inject_upstream(&mut self, kind: FaultKind, duration: Duration, agent: usize) {
        let fleet = self.fleet.borrow();
        let engines = fleet.engines().count();
        let services = fleet.services().count();
        match kind {
            FaultKind::EngineCrash => {
                self.engine_crashes += 1;
                if let Some(engine) = fleet.engines().nth(agent % engines) {
                    engine.crash();
                }
            }
            FaultKind::EngineSlow => {
                let index = agent % engines;
                if let Some(engine) = fleet.engines().nth(index) {
                    engine.slowness_percent.set(1_000);
                }
                self.schedule(duration, move |fleet| {
                    if let Some(engine) = fleet.engines().nth(index) {
                        engine.slowness_percent.set(100);
                    }
                });
            }
            _ => {
                if let Some(service) = fleet.services().nth(agent % services) {
                    service.faults.set(FaultConfig {
                        lose_answers: 1,
                        ..FaultConfig::default()
                    });
                }
            }
        }
    }

    fn schedule(&self, delay: Duration, revert: impl FnOnce(&mut ProcessFleet) + 'static) {
        let fleet = Rc::clone(&self.fleet);
        compio::runtime::spawn(async move {
            compio::time::sleep(delay).await;
            revert(&mut fleet.borrow_mut());
        })
        .detach();
    }
}
