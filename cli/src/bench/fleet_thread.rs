//! Runs a stand-in fleet on its own thread, so that load generation does not share the fleet's
//! thread.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;

use quetzalpin_standins::{FleetPlan, StandinError, StandinFleet, UpstreamStandin};

use crate::errors::ToolError;

/// Limit for the fleet to become ready, in milliseconds.
const START_TIMEOUT_MS: u64 = 60_000;

/// Interval between checks for the stop signal, in milliseconds.
const STOP_POLL_MS: u64 = 20;

/// Listen addresses of the fleet.
#[derive(Debug, Clone)]
pub struct FleetAddresses {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Addresses of the upstreams.
    pub upstreams: Vec<SocketAddr>,
}

/// Handle of a fleet that runs until the handle is finished or dropped.
pub struct FleetThread<R> {
    /// Listen addresses of the fleet.
    pub addresses: FleetAddresses,
    stop_sender: mpsc::Sender<()>,
    thread: JoinHandle<Result<R, StandinError>>,
}

impl<R: Send + 'static> FleetThread<R> {
    /// Starts a fleet and waits until `replicas` replicas are ready. `summary` is computed from the
    /// fleet when it stops.
    ///
    /// # Errors
    /// [`ToolError`] if the fleet did not start or was not ready in time.
    pub fn spawn(
        plan: FleetPlan,
        replicas: usize,
        summary: impl FnOnce(&StandinFleet) -> R + Send + 'static,
    ) -> Result<Self, ToolError> {
        let (address_sender, address_receiver) = mpsc::channel();
        let (stop_sender, stop_receiver) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new()?;
            runtime.block_on(async move {
                let fleet = StandinFleet::spawn(&plan).await?;
                fleet.wait_ready(replicas, START_TIMEOUT_MS).await?;
                let _ = address_sender.send(addresses(&fleet));
                while stop_receiver.try_recv() == Err(mpsc::TryRecvError::Empty) {
                    let pause = std::time::Duration::from_millis(STOP_POLL_MS);
                    compio::time::sleep(pause).await;
                }
                Ok(summary(&fleet))
            })
        });
        match address_receiver.recv() {
            Ok(addresses) => Ok(Self {
                addresses,
                stop_sender,
                thread,
            }),
            Err(_) => match thread.join() {
                Ok(Err(error)) => Err(error.into()),
                _ => Err(StandinError::NotReady(START_TIMEOUT_MS).into()),
            },
        }
    }

    /// Stops the fleet and returns its summary.
    ///
    /// # Errors
    /// [`ToolError`] if the fleet failed.
    pub fn finish(self) -> Result<R, ToolError> {
        let _ = self.stop_sender.send(());
        match self.thread.join() {
            Ok(result) => Ok(result?),
            Err(_) => Err(StandinError::NotReady(START_TIMEOUT_MS).into()),
        }
    }
}

fn addresses(fleet: &StandinFleet) -> FleetAddresses {
    let entries = 0..fleet.entries.len();
    FleetAddresses {
        entries: entries.map(|number| fleet.entry_address(number)).collect(),
        upstreams: fleet
            .upstreams
            .iter()
            .map(UpstreamStandin::address)
            .collect(),
    }
}
