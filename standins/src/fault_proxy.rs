//! TCP proxy that delays, closes or black-holes connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::JoinHandle;

use crate::errors::StandinError;

/// Maximum number of bytes forwarded at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Interval at which a black-holed connection rechecks its state.
const BLACKHOLE_POLL_MS: u64 = 50;

#[derive(Debug, Default)]
struct ProxyState {
    /// Connections with a lower number accept data but do not forward it.
    blackholed_before: Cell<u64>,
    opened: Cell<u64>,
    delay_ms: Cell<u64>,
    is_refusing: Cell<bool>,
    forwarders: RefCell<Vec<JoinHandle<()>>>,
}

/// Running proxy; dropping it closes all connections.
#[derive(Debug)]
pub struct FaultProxy {
    state: Rc<ProxyState>,
    address: SocketAddr,
    _accept_task: JoinHandle<()>,
}

impl FaultProxy {
    /// Binds a free port on loopback and forwards to `target`.
    ///
    /// # Errors
    /// [`StandinError::Io`] if no port can be bound.
    pub async fn spawn(target: SocketAddr) -> Result<Self, StandinError> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Rc::new(ProxyState::default());
        let accepting = accept_loop(listener, target, Rc::clone(&state));
        Ok(Self {
            state,
            address,
            _accept_task: compio::runtime::spawn(accepting),
        })
    }

    /// Address at which the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops forwarding on all open connections for good, without closing them; new ones work.
    pub fn blackhole(&self) {
        self.state.blackholed_before.set(self.state.opened.get());
    }

    /// Closes all open connections.
    pub fn close_connections(&self) {
        self.state.forwarders.borrow_mut().clear();
    }

    /// Sets whether new connections are closed right after they are accepted.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.state.is_refusing.set(is_refusing);
    }

    /// Delays each forwarded chunk; 0 ends the delay.
    pub fn set_delay(&self, delay_ms: u64) {
        self.state.delay_ms.set(delay_ms);
    }
}

async fn accept_loop(listener: TcpListener, target: SocketAddr, state: Rc<ProxyState>) {
    while let Ok((client, _)) = listener.accept().await {
        if state.is_refusing.get() {
            continue;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            continue;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let number = state.opened.get();
        state.opened.set(number + 1);
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let to_server = forward(client_read, server_write, number, Rc::clone(&state));
        let to_client = forward(server_read, client_write, number, Rc::clone(&state));
        let mut forwarders = state.forwarders.borrow_mut();
        forwarders.push(compio::runtime::spawn(to_server));
        forwarders.push(compio::runtime::spawn(to_client));
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream, number: u64, state: Rc<ProxyState>) {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        buffer.clear();
        let compio::BufResult(read, filled) = from.read(buffer).await;
        buffer = filled;
        let Ok(1..) = read else {
            break;
        };
        let delay_ms = state.delay_ms.get();
        if delay_ms > 0 {
            compio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        while number < state.blackholed_before.get() {
            compio::time::sleep(Duration::from_millis(BLACKHOLE_POLL_MS)).await;
        }
        let compio::BufResult(written, returned) = to.write_all(buffer).await;
        buffer = returned;
        if written.is_err() {
            break;
        }
    }
    let _ = compio::io::AsyncWrite::shutdown(&mut to).await;
}
