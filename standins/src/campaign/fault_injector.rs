//! Random faults, several at once.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::errors::StandinError;
use crate::fault_switch::FaultConfig;
use crate::process_fleet::ProcessFleet;

/// Longest milliseconds between two faults.
const GAP_MS: u64 = 1_500;

/// Longest milliseconds that a fault lasts.
const FAULT_MS: u64 = 4_000;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    KillAgent,
    KillEntry,
    PauseAgent,
    PauseEntry,
    RestartAgent,
    SilenceAgent,
    CutAgent,
    SilenceUpstream,
    CutUpstream,
    SilencePlatform,
    CutPlatform,
    TableDown,
    TableSlow,
    TableLosesAnswers,
    ListFrozen,
    EngineCrash,
    EngineSlow,
    ServiceLosesAnswers,
    StoreSlow,
}

const KINDS: [FaultKind; 19] = [
    FaultKind::KillAgent,
    FaultKind::KillEntry,
    FaultKind::PauseAgent,
    FaultKind::PauseEntry,
    FaultKind::RestartAgent,
    FaultKind::SilenceAgent,
    FaultKind::CutAgent,
    FaultKind::SilenceUpstream,
    FaultKind::CutUpstream,
    FaultKind::SilencePlatform,
    FaultKind::CutPlatform,
    FaultKind::TableDown,
    FaultKind::TableSlow,
    FaultKind::TableLosesAnswers,
    FaultKind::ListFrozen,
    FaultKind::EngineCrash,
    FaultKind::EngineSlow,
    FaultKind::ServiceLosesAnswers,
    FaultKind::StoreSlow,
];

/// Injects faults from a seed.
pub struct FaultInjector {
    fleet: Rc<RefCell<ProcessFleet>>,
    rng: fastrand::Rng,
    /// Number of faults injected.
    pub injected: u64,
    /// Engine crashes injected.
    pub engine_crashes: u32,
}

impl FaultInjector {
    /// Opens an injector.
    pub fn open(fleet: Rc<RefCell<ProcessFleet>>, seed: u64) -> Self {
        Self {
            fleet,
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            injected: 0,
            engine_crashes: 0,
        }
    }

    /// Injects one fault after a pause; it ends by itself.
    pub async fn step(&mut self) {
        let pause_ms = self.rng.u64(..GAP_MS);
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
        let kind = KINDS[self.rng.usize(..KINDS.len())];
        let lasts = Duration::from_millis(self.rng.u64(100..FAULT_MS));
        self.injected += 1;
        self.inject(kind, lasts);
    }

    /// Ends all faults and starts what was killed.
    ///
    /// # Errors
    /// [`StandinError::Io`] if a process cannot be started.
    pub fn heal(&self) -> Result<(), StandinError> {
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

    fn inject(&mut self, kind: FaultKind, lasts: Duration) {
        let fleet = Rc::clone(&self.fleet);
        let agents = fleet.borrow().agents.len();
        let entries = fleet.borrow().entries.len();
        let agent = self.rng.usize(..agents);
        let entry = self.rng.usize(..entries);
        match kind {
            FaultKind::KillAgent => {
                fleet.borrow_mut().agents[agent].kill();
                self.later(lasts, move |fleet| {
                    let _ = fleet.agents[agent].start_if_ended();
                });
            }
            FaultKind::KillEntry => {
                fleet.borrow_mut().entries[entry].kill();
                self.later(lasts, move |fleet| {
                    let _ = fleet.entries[entry].start_if_ended();
                });
            }
            FaultKind::PauseAgent => {
                fleet.borrow().agents[agent].pause();
                self.later(lasts, move |fleet| fleet.agents[agent].resume());
            }
            FaultKind::PauseEntry => {
                fleet.borrow().entries[entry].pause();
                self.later(lasts, move |fleet| fleet.entries[entry].resume());
            }
            FaultKind::RestartAgent => {
                fleet.borrow().agents[agent].terminate();
                self.later(Duration::from_millis(FAULT_MS * 3), move |fleet| {
                    let _ = fleet.agents[agent].start_if_ended();
                });
            }
            _ => self.inject_outside(kind, lasts, agent),
        }
    }

    fn inject_outside(&mut self, kind: FaultKind, lasts: Duration, agent: usize) {
        let fleet = self.fleet.borrow();
        let platform = Rc::clone(&fleet.platform.state);
        let order = |order: FaultConfig| platform.table_faults.set(order);
        match kind {
            FaultKind::SilenceAgent => fleet.agent_proxies[agent].blackhole(),
            FaultKind::CutAgent => fleet.agent_proxies[agent].cut(),
            FaultKind::SilenceUpstream => fleet.upstream_proxies[agent].blackhole(),
            FaultKind::CutUpstream => fleet.upstream_proxies[agent].cut(),
            FaultKind::SilencePlatform => fleet.platform_proxy.blackhole(),
            FaultKind::CutPlatform => fleet.platform_proxy.cut(),
            FaultKind::TableDown => {
                order(FaultConfig {
                    down: true,
                    ..FaultConfig::default()
                });
                self.later(lasts, |fleet| {
                    fleet
                        .platform
                        .state
                        .table_faults
                        .set(FaultConfig::default());
                });
            }
            FaultKind::TableSlow => {
                order(FaultConfig {
                    delay_ms: 300,
                    ..FaultConfig::default()
                });
                self.later(lasts, |fleet| {
                    fleet
                        .platform
                        .state
                        .table_faults
                        .set(FaultConfig::default());
                });
            }
            FaultKind::TableLosesAnswers => order(FaultConfig {
                lose_answers: 5,
                ..FaultConfig::default()
            }),
            FaultKind::ListFrozen => {
                platform.members.set_frozen(true);
                self.later(lasts, |fleet| {
                    fleet.platform.state.members.set_frozen(false);
                });
            }
            FaultKind::StoreSlow => {
                platform.weights.slowness_percent.set(400);
                self.later(lasts, |fleet| {
                    fleet.platform.state.weights.slowness_percent.set(100);
                });
            }
            _ => {
                drop(fleet);
                self.inject_upstream(kind, lasts, agent);
            }
        }
    }

    fn inject_upstream(&mut self, kind: FaultKind, lasts: Duration, agent: usize) {
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
                self.later(lasts, move |fleet| {
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

    fn later(&self, pause: Duration, end: impl FnOnce(&mut ProcessFleet) + 'static) {
        let fleet = Rc::clone(&self.fleet);
        compio::runtime::spawn(async move {
            compio::time::sleep(pause).await;
            end(&mut fleet.borrow_mut());
        })
        .detach();
    }
}
