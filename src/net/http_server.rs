//! An HTTP/1 and HTTP/2 server on one listening socket.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioExecutor, CompioTimer};
use derive_more::{Display, Error};
use futures_channel::oneshot;
use futures_util::future::{LocalBoxFuture, Shared};
use futures_util::{FutureExt, pin_mut, select};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::server::conn::auto;
use send_wrapper::SendWrapper;

use super::answer_body::AnswerBody;
use super::caller_stream::CallerStream;
use super::client_closures::ClientClosures;
use super::connection_progress::ConnectionProgress;
use super::connection_table::{ConnectionLimits, ConnectionTable};
use super::{HttpBody, NetError, socket_options};

/// Limits that a server applies to its clients.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Milliseconds within which a request head must arrive, including the idle time before it.
    pub header_ms: u64,
    /// Limits on connections.
    pub connections: ConnectionLimits,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            header_ms: 5_000,
            connections: ConnectionLimits::default(),
        }
    }
}

/// Largest request head in bytes.
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Largest number of lines in a request head. The parser takes memory for all of them with each head.
const MAX_HEADER_LINES: usize = 256;

/// Interval and timeout of HTTP/2 pings in milliseconds.
const PING_INTERVAL_MS: u64 = 1_000;

/// Milliseconds to wait for each connection that was queued when the server stopped.
const QUEUED_ACCEPT_MS: u64 = 50;

/// Milliseconds after the stop within which a new connection must send its first request.
const FIRST_REQUEST_MS: u64 = 500;

/// Milliseconds between checks for open connections while draining, and after a failed accept.
const DRAIN_POLL_MS: u64 = 20;

/// Handles requests.
pub trait HttpHandler: 'static {
    /// Handles one request from the given peer.
    fn handle(
        self: Rc<Self>,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> LocalBoxFuture<'static, Response<HttpBody>>;
}

/// Response extension that closes the connection instead of sending the response.
#[derive(Debug, Clone, Copy)]
pub struct AbortConnection;

/// The handler asked for the connection to be closed.
#[derive(Debug, Clone, Copy, Display, Error)]
#[display("the handler closed the connection")]
struct ConnectionAborted;

/// Why a connection ended.
type ConnectionError = Box<dyn std::error::Error + Send + Sync>;

type StopSignal = Shared<LocalBoxFuture<'static, ()>>;

/// A bound socket that does not serve yet.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    limits: ServerLimits,
    closures: ClientClosures,
}

/// Handle of a running server; dropping it stops the server at once.
#[derive(Debug)]
pub struct ServerHandle {
    stop: Option<oneshot::Sender<()>>,
    open_count: Rc<Cell<usize>>,
    address: SocketAddr,
    task: compio::runtime::JoinHandle<()>,
}

impl HttpServer {
    /// Binds the address.
    ///
    /// # Errors
    /// [`NetError::Socket`] if the address is taken or not local.
    pub async fn bind(address: SocketAddr) -> Result<Self, NetError> {
        let listener = TcpListener::bind(address).await.map_err(NetError::Socket)?;
        Ok(Self {
            listener,
            limits: ServerLimits::default(),
            closures: ClientClosures::default(),
        })
    }

    /// Replaces the limits.
    #[must_use]
    pub const fn with_limits(mut self, limits: ServerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Counts the clients that are cut off.
    #[must_use]
    pub fn with_closures(mut self, closures: ClientClosures) -> Self {
        self.closures = closures;
        self
    }

    /// The bound address.
    ///
    /// # Errors
    /// [`NetError::Socket`] if the system does not report it.
    pub fn local_addr(&self) -> Result<SocketAddr, NetError> {
        self.listener.local_addr().map_err(NetError::Socket)
    }

    /// Starts serving on the current runtime.
    ///
    /// # Errors
    /// [`NetError::Socket`] if the bound address cannot be read.
    pub fn spawn<H: HttpHandler>(self, handler: Rc<H>) -> Result<ServerHandle, NetError> {
        let address = self.local_addr()?;
        let (stop_sender, stop_receiver) = oneshot::channel();
        let open_count = Rc::new(Cell::new(0));
        let accepting = accept_loop(
            self.listener,
            self.limits,
            self.closures,
            handler,
            stop_receiver.map(|_| ()).boxed_local().shared(),
            Rc::clone(&open_count),
        );
        Ok(ServerHandle {
            stop: Some(stop_sender),
            open_count,
            address,
            task: compio::runtime::spawn(accepting),
        })
    }
}

impl ServerHandle {
    /// The address on which the server listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts the connections that are already queued, stops accepting, and lets open exchanges
    /// finish for at most `limit_ms`. Returns the number of connections that were still open.
    pub async fn drain(self, limit_ms: u64) -> usize {
        if let Some(stop_sender) = self.stop {
            let _ = stop_sender.send(());
        }
        let accepting = self.task;
        let _ = compio::time::timeout(Duration::from_millis(limit_ms), accepting).await;
        let mut waited_ms = 0;
        while self.open_count.get() > 0 && waited_ms < limit_ms {
            compio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
            waited_ms += DRAIN_POLL_MS;
        }
        self.open_count.get()
    }
}

struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn open(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn accept_loop<H: HttpHandler>(
    listener: TcpListener,
    limits: ServerLimits,
    closures: ClientClosures,
    handler: Rc<H>,
    stop: StopSignal,
    open_count: Rc<Cell<usize>>,
) {
    let table = ConnectionTable::open(limits.connections, closures);
    let sweeping_table = Rc::clone(&table);
    let _sweeping = compio::runtime::spawn(async move { sweeping_table.run_sweeps().await });
    let serve = |stream: TcpStream, peer: SocketAddr| {
        if socket_options::apply(&stream).is_err() {
            return;
        }
        let Some((slot, closed)) = table.admit(peer.ip()) else {
            return;
        };
        let guard = ConnectionGuard::open(&open_count);
        let open_connection = OpenConnection {
            stream,
            peer,
            progress: Rc::clone(&slot.progress),
        };
        let serving = serve_connection(open_connection, limits, Rc::clone(&handler), stop.clone());
        compio::runtime::spawn(async move {
            let mut closed = closed.fuse();
            let serving = serving.fuse();
            pin_mut!(serving);
            select! {
                () = serving => {}
                _ = closed => {}
            }
            drop((slot, guard));
        })
        .detach();
    };
    // Dropping a pending accept may lose a connection that it has taken, so it is kept until it
    // completes.
    let mut accepting = listener.accept().boxed_local().fuse();
    let mut stopping = stop.clone().fuse();
    loop {
        let accepted = select! {
            accepted = accepting => accepted,
            () = stopping => break,
        };
        accepting = listener.accept().boxed_local().fuse();
        match accepted {
            Ok((stream, peer)) => serve(stream, peer),
            Err(_) => compio::time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await,
        }
    }
    // Connections that are already queued are still served, as `ServerHandle::drain` promises.
    let limit = Duration::from_millis(QUEUED_ACCEPT_MS);
    while let Ok(Ok((stream, peer))) = compio::time::timeout(limit, &mut accepting).await {
        serve(stream, peer);
        accepting = listener.accept().boxed_local().fuse();
    }
}

/// An accepted connection.
struct OpenConnection {
    stream: TcpStream,
    peer: SocketAddr,
    progress: Rc<ConnectionProgress>,
}

async fn serve_connection<H: HttpHandler>(
    connection: OpenConnection,
    limits: ServerLimits,
    handler: Rc<H>,
    stop: StopSignal,
) {
    let OpenConnection {
        stream: socket,
        peer,
        progress,
    } = connection;
    let Ok(stream) = CallerStream::open(&socket, Rc::clone(&progress)) else {
        return;
    };
    let handler = SendWrapper::new(handler);
    let progress = SendWrapper::new(progress);
    // Version of the latest request; `None` before the first one.
    let version = Rc::new(Cell::new(None));
    let version_cell = SendWrapper::new(Rc::clone(&version));
    let service = service_fn(move |request: Request<Incoming>| {
        version_cell.set(Some(request.version()));
        let is_multiplexed = request.version() == Version::HTTP_2;
        let answer = SendWrapper::new(progress.begin_answer(is_multiplexed));
        let answering = Rc::clone(&handler).handle(peer, request);
        SendWrapper::new(async move {
            let response = answering.await;
            match response.extensions().get::<AbortConnection>() {
                Some(_) => Err(ConnectionAborted),
                None => Ok(response.map(|body| AnswerBody::open(body, answer))),
            }
        })
    });
    let mut builder = auto::Builder::new(CompioExecutor);
    builder
        .http1()
        .timer(CompioTimer)
        .header_read_timeout(Duration::from_millis(limits.header_ms))
        .max_headers(MAX_HEADER_LINES)
        .max_buf_size(MAX_HEADER_BYTES);
    builder
        .http2()
        .timer(CompioTimer)
        .keep_alive_interval(Duration::from_millis(PING_INTERVAL_MS))
        .keep_alive_timeout(Duration::from_millis(PING_INTERVAL_MS))
        .max_header_list_size(u32::try_from(MAX_HEADER_BYTES).unwrap_or(u32::MAX));
    let connection = builder.serve_connection(stream, service);
    let mut stopping = stop.fuse();
    pin_mut!(connection);
    let mut ended = {
        let mut running = connection.as_mut().fuse();
        select! {
            result = running => Some(result),
            () = stopping => None,
        }
    };
    if ended.is_none() && version.get().is_none() {
        // A graceful shutdown would close the connection without reading a request that has
        // already arrived.
        let limit = Duration::from_millis(FIRST_REQUEST_MS);
        let running = compio::time::timeout(limit, connection.as_mut());
        ended = running.await.ok();
    }
    let result = if let Some(result) = ended {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if version.get() == Some(Version::HTTP_10) && result.is_err_and(|error| is_broken_off(&error)) {
        // HTTP/1.0 has no chunks, so that the end of the connection would look like that of the body.
        socket_options::reset_on_close(&socket);
    }
}

/// Whether a connection ended because the body of a response failed.
fn is_broken_off(error: &ConnectionError) -> bool {
    let error = error.downcast_ref::<hyper::Error>();
    error.is_some_and(hyper::Error::is_user)
}
