//! A fleet on a thread of its own, so that the load does not run on the fleet's thread.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;

use quetzalpin_standins::{FleetPlan, StandinError, StandinFleet, UpstreamStandin};

use crate::errors::ToolError;

/// Milliseconds for the fleet's start.
const START_MS: u64 = 60_000;

/// Milliseconds between looks for the end.
const END_LOOK_MS: u64 = 20;

/// Where the fleet's processes listen.
#[derive(Debug, Clone)]
pub struct FleetAddresses {
    /// Entries.
    pub entries: Vec<SocketAddr>,
    /// Upstreams.
    pub upstreams: Vec<SocketAddr>,
}

/// A fleet that runs until the handle is dropped or finished.
pub struct FleetThread<R> {
    /// Where its processes listen.
    pub addresses: FleetAddresses,
    end: mpsc::Sender<()>,
    thread: JoinHandle<Result<R, StandinError>>,
}

impl<R: Send + 'static> FleetThread<R> {
    /// Starts a fleet and waits until it is ready. `summary` is taken from it at the end.
    ///
    /// # Errors
    /// [`ToolError`] if the fleet did not start.
    pub fn spawn(
        plan: FleetPlan,
        replicas: usize,
        summary: impl FnOnce(&StandinFleet) -> R + Send + 'static,
    ) -> Result<Self, ToolError> {
        let (address_sender, address_receiver) = mpsc::channel();
        let (end, end_receiver) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new()?;
            runtime.block_on(async move {
                let fleet = StandinFleet::spawn(&plan).await?;
                fleet.wait_ready(replicas, START_MS).await?;
                let _ = address_sender.send(addresses(&fleet));
                while end_receiver.try_recv() == Err(mpsc::TryRecvError::Empty) {
                    let pause = std::time::Duration::from_millis(END_LOOK_MS);
                    compio::time::sleep(pause).await;
                }
                Ok(summary(&fleet))
            })
        });
        match address_receiver.recv() {
            Ok(addresses) => Ok(Self {
                addresses,
                end,
                thread,
            }),
            Err(_) => match thread.join() {
                Ok(Err(error)) => Err(error.into()),
                _ => Err(StandinError::NotReady(START_MS).into()),
            },
        }
    }

    /// Ends the fleet and returns its summary.
    ///
    /// # Errors
    /// [`ToolError`] if the fleet failed.
    pub fn finish(self) -> Result<R, ToolError> {
        let _ = self.end.send(());
        match self.thread.join() {
            Ok(result) => Ok(result?),
            Err(_) => Err(StandinError::NotReady(START_MS).into()),
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
