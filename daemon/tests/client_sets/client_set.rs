//! Clients that a process cannot control.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use compio::io::AsyncWriteExt;
use compio::net::{TcpSocket, TcpStream};
use compio::runtime::JoinHandle;

/// Number of clients that send bodies: together more than the memory of the process.
const BODY_CLIENTS: usize = 100;

/// Number of clients that only hold connections: more than the descriptors of the process.
const CONNECTION_CLIENTS: usize = 1_200;

/// Number of clients that read no answers. Their requests cost the process time, which is not what these
/// tests are about.
const UNREADING_CLIENTS: usize = 300;

/// Number of loopback addresses that the clients use. Ordinary callers use another one.
const SOURCES: usize = 4;

/// Longest time for a connection, since a process that has no descriptors left does not accept.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Milliseconds between the first connections of two clients, so that the queue of the listener, which
/// holds 128 connections, does not fill.
const START_PAUSE_MS: usize = 2;

/// Pause of clients that send one byte at a time.
const BYTE_PAUSE: Duration = Duration::from_millis(100);

/// Size in bytes of a write, and of a large chunk.
const WRITE_BYTES: usize = 64 * 1024;

/// Number of chunks of one byte that a client sends.
const TINY_CHUNKS: usize = 10_000;

/// Bytes that a client sends of a body over the limit.
const EXCESS_BYTES: usize = 64 * 1024 * 1024;

/// Number of requests without a route that a client sends in one write.
const PIPELINED_REQUESTS: usize = 200;

/// Number of requests that a client sends one after another without reading the answers.
const UNREAD_REQUESTS: usize = 20;

/// Size in bytes of a body, and of an added header line, of the clients that send whole requests.
const WHOLE_BODY_BYTES: usize = 24_000;
const NOTE_BYTES: usize = 2_500;

/// What the clients of a set do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientSet {
    /// Bodies with a length that stop one byte short of their end.
    StalledBodies,
    /// The same, begun again on a new connection all the time.
    ReopenedBodies,
    /// Bodies of which one byte arrives at a time.
    SlowBodies,
    /// Bodies in large chunks that stop short of their end.
    LargeChunks,
    /// Bodies in chunks of one byte that stop short of their end.
    TinyChunks,
    /// Bodies far over the limit that say so.
    AnnouncedExcess,
    /// Bodies far over the limit in chunks.
    SentExcess,
    /// Heads of which one byte arrives at a time.
    SlowHeads,
    /// Connections without a byte.
    Silent,
    /// Many requests without a route in one write; the answers are not read.
    Pipelined,
    /// Request after request; the answers are not read.
    NeverReading,
    /// One whole request each, with a body and a head that are far below the limits.
    WholeRequests,
}

/// The request that the clients send.
#[derive(Debug, Clone)]
pub struct TargetRequest {
    /// Address of the process.
    pub address: SocketAddr,
    /// Request line and header lines, without the length and the empty line.
    pub head: String,
    /// Size in bytes of a large body within the limit.
    pub body_bytes: usize,
    /// Limit of the process for a body in bytes.
    pub limit_bytes: usize,
}

/// Connected clients; dropping them closes their connections.
pub struct RunningClients {
    _clients: Vec<JoinHandle<()>>,
    /// Number of clients.
    pub count: usize,
    /// What the clients have done.
    pub progress: Rc<ClientProgress>,
}

/// What the clients of a set have done so far.
#[derive(Debug, Default)]
pub struct ClientProgress {
    /// Number of connections that the process's kernel has accepted.
    pub connections: Cell<usize>,
    /// Bytes that the clients have handed to the kernel.
    pub sent_bytes: Cell<usize>,
}

impl ClientSet {
    const fn client_count(self) -> usize {
        match self {
            Self::SlowHeads | Self::Silent => CONNECTION_CLIENTS,
            Self::Pipelined | Self::NeverReading | Self::WholeRequests => UNREADING_CLIENTS,
            _ => BODY_CLIENTS,
        }
    }

    /// Starts all clients of the set.
    pub fn start(self, target: &TargetRequest) -> RunningClients {
        self.start_clients(target, self.client_count())
    }

    /// Starts some clients of the set.
    pub fn start_clients(self, target: &TargetRequest, count: usize) -> RunningClients {
        let progress = Rc::new(ClientProgress::default());
        let start = |number| {
            let client = SetClient {
                target: target.clone(),
                number,
                progress: Rc::clone(&progress),
            };
            compio::runtime::spawn(async move { client.run(self).await })
        };
        RunningClients {
            _clients: (0..count).map(start).collect(),
            count,
            progress,
        }
    }
}

struct SetClient {
    target: TargetRequest,
    number: usize,
    progress: Rc<ClientProgress>,
}

impl SetClient {
    async fn run(self, set: ClientSet) {
        let pause_ms = u64::try_from(self.number * START_PAUSE_MS).unwrap_or_default();
        compio::time::sleep(Duration::from_millis(pause_ms)).await;
        loop {
            let Some(mut stream) = self.connect().await else {
                compio::time::sleep(BYTE_PAUSE).await;
                continue;
            };
            let connections = &self.progress.connections;
            connections.set(connections.get() + 1);
            // The process may close the connection at any time.
            let _ = self.send(set, &mut stream).await;
            if set != ClientSet::ReopenedBodies {
                std::future::pending::<()>().await;
            }
        }
    }

    async fn connect(&self) -> Option<TcpStream> {
        let last = u8::try_from(self.number % SOURCES).ok()? + 1;
        let source = SocketAddr::from((Ipv4Addr::new(127, 77, 0, last), 0));
        let connecting = async {
            let socket = TcpSocket::new_v4().await.ok()?;
            socket.bind(source).await.ok()?;
            socket.connect(self.target.address).await.ok()
        };
        compio::time::timeout(CONNECT_LIMIT, connecting)
            .await
            .ok()?
    }

    async fn send(&self, set: ClientSet, stream: &mut TcpStream) -> std::io::Result<()> {
        let body_bytes = self.target.body_bytes;
        match set {
            ClientSet::StalledBodies | ClientSet::ReopenedBodies => {
                self.write(stream, self.head_with_length(body_bytes))
                    .await?;
                self.write_body(stream, body_bytes - 1).await
            }
            ClientSet::SlowBodies => {
                self.write(stream, self.head_with_length(body_bytes))
                    .await?;
                self.write_slowly(stream, 'x').await
            }
            ClientSet::LargeChunks => {
                self.write(stream, self.head_with_chunks()).await?;
                self.write_chunks(stream, WRITE_BYTES, body_bytes / WRITE_BYTES - 1)
                    .await
            }
            ClientSet::TinyChunks => {
                self.write(stream, self.head_with_chunks()).await?;
                self.write_chunks(stream, 1, TINY_CHUNKS).await
            }
            ClientSet::AnnouncedExcess => {
                self.write(stream, self.head_with_length(EXCESS_BYTES))
                    .await?;
                self.write_body(stream, EXCESS_BYTES).await
            }
            ClientSet::SentExcess => {
                self.write(stream, self.head_with_chunks()).await?;
                self.write_chunks(stream, WRITE_BYTES, EXCESS_BYTES / WRITE_BYTES)
                    .await
            }
            ClientSet::SlowHeads => {
                self.write(stream, format!("{}x-slow: ", self.target.head))
                    .await?;
                self.write_slowly(stream, 'x').await
            }
            ClientSet::Silent => Ok(()),
            ClientSet::Pipelined => {
                let request = "GET /none/x HTTP/1.1\r\nhost: none\r\n\r\n";
                self.write(stream, request.repeat(PIPELINED_REQUESTS)).await
            }
            ClientSet::NeverReading => {
                for _ in 0..UNREAD_REQUESTS {
                    let request = format!("{}content-length: 0\r\n\r\n", self.target.head);
                    self.write(stream, request).await?;
                }
                Ok(())
            }
            ClientSet::WholeRequests => {
                let note = "n".repeat(NOTE_BYTES);
                let head = format!(
                    "{}x-note: {note}\r\ncontent-length: {WHOLE_BODY_BYTES}\r\n\r\n",
                    self.target.head
                );
                self.write(stream, head).await?;
                self.write_body(stream, WHOLE_BODY_BYTES).await
            }
        }
    }

    fn head_with_length(&self, bytes: usize) -> String {
        format!("{}content-length: {bytes}\r\n\r\n", self.target.head)
    }

    fn head_with_chunks(&self) -> String {
        format!("{}transfer-encoding: chunked\r\n\r\n", self.target.head)
    }

    async fn write(&self, stream: &mut TcpStream, text: String) -> std::io::Result<()> {
        let length = text.len();
        stream.write_all(text.into_bytes()).await.0?;
        let sent_bytes = &self.progress.sent_bytes;
        sent_bytes.set(sent_bytes.get() + length);
        Ok(())
    }

    async fn write_body(&self, stream: &mut TcpStream, bytes: usize) -> std::io::Result<()> {
        let mut left = bytes;
        while left > 0 {
            let length = left.min(WRITE_BYTES);
            self.write(stream, "x".repeat(length)).await?;
            left -= length;
        }
        Ok(())
    }

    async fn write_chunks(
        &self,
        stream: &mut TcpStream,
        bytes: usize,
        count: usize,
    ) -> std::io::Result<()> {
        let chunk = format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes));
        let chunks_in_write = (WRITE_BYTES / chunk.len()).max(1);
        let mut left = count;
        while left > 0 {
            let chunks = left.min(chunks_in_write);
            self.write(stream, chunk.repeat(chunks)).await?;
            left -= chunks;
        }
        Ok(())
    }

    async fn write_slowly(&self, stream: &mut TcpStream, byte: char) -> std::io::Result<()> {
        loop {
            compio::time::sleep(BYTE_PAUSE).await;
            self.write(stream, byte.to_string()).await?;
        }
    }
}
