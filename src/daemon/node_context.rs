//! State that the parts of an entry or agent process share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use super::{DaemonError, MeteredTable, WakeSignal};
use crate::config::NodeConfig;
use crate::decision::DecisionLog;
use crate::ids::new_start_id;
use crate::membership::{MembershipClient, MembershipView};
use crate::metrics::NodeMetrics;
use crate::net::{BufferBudget, ClientClosures, PeerClient};
use crate::prelude::*;
use crate::rpc::PeerRpc;
use crate::settings::{FleetSettings, SettingsFollower, SettingsRow};
use crate::table::{HttpTable, TableService};
use crate::time::MonoClock;

/// Timeout of a control call to a peer in milliseconds.
const RPC_TIMEOUT_MS: u64 = 2_000;

/// Context of an entry or agent process; created once at start and passed down.
pub struct NodeContext {
    /// Settings from the process's settings file.
    pub config: NodeConfig,
    /// Address at which peers reach this process.
    pub address: SocketAddr,
    /// Identifies this start of the process: its start time in Unix milliseconds, followed by
    /// random bits, so that a later start on this instance has a higher ID.
    pub start_id: u64,
    /// The process's clock.
    pub clock: MonoClock,
    /// Fleet settings in force.
    pub settings: RefCell<SettingsFollower>,
    /// Instances as the platform lists them.
    pub members: RefCell<MembershipView>,
    /// Client of the platform's list of instances.
    pub membership_client: MembershipClient,
    /// The platform's table, with its calls counted.
    pub table: Rc<dyn TableService>,
    /// Memory for the messages that this process holds.
    pub buffers: Rc<BufferBudget>,
    /// Counts clients that are cut off.
    pub closures: ClientClosures,
    /// Connections to peers.
    pub peers: Rc<PeerClient>,
    /// Decision log.
    pub decisions: DecisionLog,
    /// Metrics.
    pub metrics: Rc<NodeMetrics>,
    /// Set once shutdown begins; never cleared.
    pub is_stopping: Cell<bool>,
    /// Wakes the settings loop.
    pub settings_wake: WakeSignal,
    /// Notified when newer settings come into force.
    pub settings_changed: WakeSignal,
}

impl NodeContext {
    /// Creates the context of a process that listens on `address`.
    ///
    /// # Errors
    /// [`DaemonError`] if a client cannot be set up.
    pub fn open(config: NodeConfig, address: SocketAddr) -> Result<Rc<Self>, DaemonError> {
        let metrics = Rc::new(NodeMetrics::open());
        let table = HttpTable::open(config.table, config.timeout_ms)?;
        let membership_client = MembershipClient::open(config.members, config.timeout_ms)?;
        let closures = ClientClosures::open(metrics.cut_clients.clone());
        let buffers =
            BufferBudget::open_with_pace(config.buffer_bytes(), config.clients.body_pace());
        buffers.count_closures(closures.clone());
        Ok(Rc::new(Self {
            buffers,
            closures,
            address: config.advertise.unwrap_or(address),
            start_id: new_start_id(),
            clock: MonoClock::open(),
            settings: RefCell::new(SettingsFollower::open()),
            members: RefCell::new(MembershipView::open()),
            membership_client,
            table: Rc::new(MeteredTable::open(Rc::new(table), Rc::clone(&metrics))),
            peers: Rc::new(PeerClient::open()),
            decisions: DecisionLog::open(config.instance.clone()),
            metrics,
            is_stopping: Cell::new(false),
            settings_wake: WakeSignal::default(),
            settings_changed: WakeSignal::default(),
            config,
        }))
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Fleet settings in force.
    ///
    /// # Errors
    /// `NotReady` until the first settings are in force.
    pub fn fleet(&self) -> Result<Rc<FleetSettings>, RequestRefusal> {
        let settings = self.settings.borrow().current();
        settings.ok_or(RequestRefusal::not_run(RefusalReason::NotReady))
    }

    /// Creates a client of a peer's control interface.
    #[must_use]
    pub fn rpc(&self, address: SocketAddr) -> PeerRpc {
        PeerRpc::open(Rc::clone(&self.peers), address, RPC_TIMEOUT_MS)
    }

    /// Applies settings rows from the table or a peer.
    pub fn apply_settings(&self, rows: Vec<SettingsRow>) {
        let applied = self.settings.borrow_mut().apply_rows(rows);
        match applied {
            Ok(true) => {
                let revision = self.settings.borrow().revision();
                let gauge = i64::try_from(revision).unwrap_or(i64::MAX);
                self.metrics.settings_revision.set(gauge);
                log::info!(revision; "settings in force");
                self.settings_changed.notify();
            }
            Ok(false) => {}
            Err(faults) => {
                for fault in faults {
                    log::error!(fault:% = fault; "settings rejected");
                }
            }
        }
    }
}
