//! The processes of a case: the project's gateways, the workers and what they say, and the record.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, call};
use crate::json::quote;
use crate::store::Store;
use crate::worker::models_json;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn getpid() -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
}

#[repr(C)]
struct Limit {
    soft: u64,
    hard: u64,
}

const RLIMIT_NOFILE: i32 = 7;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Bounds of the sheet of the small deployment, in milliseconds.
pub const CONTACT_MS: u64 = 4_000;
/// Memory and descriptors of a machine of that sheet.
pub const MEMORY_MB: u64 = 260;
const MAX_FDS: u64 = 4_100;
const GRACE_MS: u64 = 8_000;
const HEARTBEAT_MS: u64 = 1_200;
pub const HOST: &str = "ficu95.example";

/// Ends this process as a crash does.
pub fn end_at_once() {
    // SAFETY: signals this process alone.
    unsafe { kill(getpid(), SIGKILL) };
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("time of day");
    since.as_millis() as u64
}

/// A port that nothing uses, outside the range from which the system takes ports of outgoing connections. No port
/// is given out twice.
pub fn free_port() -> u16 {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let count = TAKEN.fetch_add(1, Ordering::Relaxed);
        let start = std::process::id().wrapping_mul(97);
        let port = 12_000 + (start.wrapping_add(count) % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// One thing that was seen.
#[derive(Debug, Clone)]
pub struct Event {
    pub at_ms: u64,
    pub who: String,
    pub text: String,
}

/// What was sent, answered and run.
pub struct Record {
    began_ms: u64,
    state: Mutex<(File, Vec<Event>)>,
}

impl Record {
    pub fn open(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record.txt");
        Arc::new(Self {
            began_ms: unix_ms(),
            state: Mutex::new((file, Vec::new())),
        })
    }

    pub fn add(&self, who: &str, text: &str) {
        self.add_at(unix_ms(), who, text);
    }

    pub fn add_at(&self, at_ms: u64, who: &str, text: &str) {
        let (file, events) = &mut *self.state.lock().unwrap();
        let _ = writeln!(
            file,
            "{:8.3} {who}: {text}",
            at_ms.saturating_sub(self.began_ms) as f64 / 1_000.0
        );
        events.push(Event {
            at_ms,
            who: who.to_owned(),
            text: text.to_owned(),
        });
    }

    pub fn events(&self) -> Vec<Event> {
        let mut events = self.state.lock().unwrap().1.clone();
        events.sort_by_key(|event| event.at_ms);
        events
    }

    pub fn began_ms(&self) -> u64 {
        self.began_ms
    }
}

/// A gateway of the project, started with the command and the template of the deploy file.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub started_ms: u64,
}

impl Gateway {
    fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET",
            "/-/readiness",
            &[("Host", "ready")],
            b"",
            Duration::from_millis(500),
        );
        answer.status == 200
    }

    fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("log");
        let mut command = Command::new("target/release/quetzalpind");
        command.arg("--config").arg(&self.config);
        command
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/tmp")
            .env("LANG", "C.UTF-8");
        command
            .env("QUETZALPIN_MEMORY_MB", MEMORY_MB.to_string())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        // SAFETY: lowers a limit of the new process alone, by one system call.
        unsafe {
            command.pre_exec(|| {
                let limit = Limit {
                    soft: MAX_FDS,
                    hard: MAX_FDS,
                };
                setrlimit(RLIMIT_NOFILE, &limit);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("target/release/quetzalpind"));
        self.started_ms = unix_ms();
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: signals a child of this process that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// What a worker is and how it comes back after its end.
#[derive(Debug, Clone)]
pub struct WorkerPlan {
    pub service: String,
    pub kind: String,
    pub restart_ms: u64,
    /// Milliseconds after which it crashes by itself, at its first, second, ... start; 0 if it doesn't.
    pub lives_ms: Vec<u64>,
    /// Whether it keeps its id, and the versions of its software at its first, second, ... start; the
    /// last one stays.
    pub keeps_id: bool,
    pub versions: Vec<String>,
}

pub struct Fleet {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub gateways: Vec<Arc<Mutex<Gateway>>>,
    pub fronts: Vec<SocketAddr>,
    folder: PathBuf,
    is_ending: Arc<AtomicBool>,
    /// Processes of the workers at present.
    workers: Arc<Mutex<Vec<u32>>>,
}

impl Fleet {
    pub fn open(record_path: &Path, gateway_count: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let store = Store::spawn();
        let template = std::fs::read_to_string("deploy/gateway.ini.template").expect("template");
        let gateways: Vec<Gateway> = (1..=gateway_count)
            .map(|number| {
                let name = format!("edge-a-{number}");
                let (front, ready, peers, metrics) =
                    (free_port(), free_port(), free_port(), free_port());
                let config = folder.join(format!("{name}.ini"));
                let text = filled(&template, &name, &store, front, ready, peers, metrics);
                std::fs::write(&config, text).expect("settings");
                let log = folder.join(format!("{name}.log"));
                let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
                Gateway {
                    name,
                    front: address(front),
                    ready: address(ready),
                    config,
                    log,
                    child: None,
                    started_ms: 0,
                }
            })
            .collect();
        Self {
            store,
            record: Record::open(record_path),
            fronts: gateways.iter().map(|gateway| gateway.front).collect(),
            gateways: gateways
                .into_iter()
                .map(|gateway| Arc::new(Mutex::new(gateway)))
                .collect(),
            folder,
            is_ending: Arc::default(),
            workers: Arc::default(),
        }
    }

    pub fn start_gateways(&self) {
        for gateway in &self.gateways {
            let mut gateway = gateway.lock().unwrap();
            gateway.start();
            self.record.add(&gateway.name, "started");
        }
    }

    /// Waits until every gateway is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self
                .gateways
                .iter()
                .all(|gateway| gateway.lock().unwrap().is_ready())
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Stops a gateway as the platform does, and starts it again.
    pub fn restart_gateway(&self, index: usize) {
        let mut gateway = self.gateways[index].lock().unwrap();
        self.record.add(&gateway.name, "SIGTERM");
        gateway.signal(SIGTERM);
        let until = Instant::now() + Duration::from_millis(GRACE_MS);
        while Instant::now() < until
            && gateway
                .child
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        {
            std::thread::sleep(Duration::from_millis(20));
        }
        gateway.end();
        self.record.add(&gateway.name, "ended");
        std::thread::sleep(Duration::from_millis(500));
        gateway.start();
        self.record.add(&gateway.name, "started");
    }

    /// Starts a gateway again that was killed.
    pub fn start_again(&self, index: usize) {
        let mut gateway = self.gateways[index].lock().unwrap();
        gateway.end();
        gateway.start();
        self.record.add(&gateway.name, "started again");
    }

    /// Milliseconds for which a gateway has run; 0 while it is stopped or restarted.
    pub fn runs_for_ms(&self, index: usize) -> u64 {
        let gateway = self.gateways[index].try_lock();
        gateway.map_or(0, |gateway| unix_ms().saturating_sub(gateway.started_ms))
    }

    /// Keeps a worker running until the case ends.
    pub fn spawn_worker(&self, number: usize, plan: WorkerPlan) {
        let (store, record) = (Arc::clone(&self.store), Arc::clone(&self.record));
        let (is_ending, processes) = (Arc::clone(&self.is_ending), Arc::clone(&self.workers));
        let port = free_port();
        std::thread::spawn(move || {
            let mut start = 0;
            while !is_ending.load(Ordering::Relaxed) {
                let id = if plan.keeps_id {
                    format!("i-{number}")
                } else {
                    format!("i-{number}-{start}")
                };
                let version = plan
                    .versions
                    .get(start)
                    .or(plan.versions.last())
                    .cloned()
                    .unwrap_or_default();
                let kind = if start > 0 && plan.kind == "engine-loaded" {
                    "engine"
                } else {
                    &plan.kind
                };
                let life_ms = plan.lives_ms.get(start).copied().unwrap_or(0);
                let born = unix_ms();
                let program = std::env::current_exe().expect("own path");
                let words = [
                    "worker",
                    &id,
                    &born.to_string(),
                    &version,
                    kind,
                    &port.to_string(),
                    &life_ms.to_string(),
                ];
                let mut child = Command::new(program)
                    .args(words)
                    .stdin(Stdio::piped())
                    .stdout(Stdio::piped())
                    .spawn()
                    .expect("worker");
                processes.lock().unwrap().push(child.id());
                record.add(
                    &id,
                    &format!("started, version {version}, born {born}, 127.0.0.1:{port}"),
                );
                let mut models: Vec<String> = if kind == "engine-loaded" {
                    vec!["m0".to_owned()]
                } else {
                    Vec::new()
                };
                let lines = BufReader::new(child.stdout.take().expect("its output")).lines();
                for line in lines.map_while(Result::ok) {
                    let Some((at, text)) = line.split_once(' ') else {
                        continue;
                    };
                    record.add_at(at.parse().unwrap_or_else(|_| unix_ms()), &id, text);
                    let listed = text.strip_prefix("models ");
                    if let Some(listed) = listed {
                        models = listed
                            .split(',')
                            .filter(|name| !name.is_empty())
                            .map(str::to_owned)
                            .collect();
                    }
                    if text == "ready" || listed.is_some() {
                        store.put("servers", &id, &entry(&plan, &version, born, port, &models));
                    }
                }
                let _ = child.wait();
                processes.lock().unwrap().retain(|pid| *pid != child.id());
                record.add(&id, "process ended");
                let (next_store, old_id, keeps_id) =
                    (Arc::clone(&store), id.clone(), plan.keeps_id);
                if !keeps_id || plan.restart_ms > 3 * HEARTBEAT_MS {
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_millis(3 * HEARTBEAT_MS));
                        next_store.remove("servers", &old_id);
                    });
                }
                std::thread::sleep(Duration::from_millis(plan.restart_ms));
                start += 1;
            }
        });
    }

    pub fn worker_pids(&self) -> Vec<u32> {
        self.workers.lock().unwrap().clone()
    }

    /// Keeps the entry of a worker that is cold after its start changing with each of its heartbeats.
    pub fn spawn_cold_entry(&self) {
        let (store, is_ending) = (Arc::clone(&self.store), Arc::clone(&self.is_ending));
        let (born, port) = (unix_ms(), free_port());
        std::thread::spawn(move || {
            let mut cold_ms = 120_000;
            while !is_ending.load(Ordering::Relaxed) {
                store.put("servers", "i-cold", &format!("{{\"service\":\"pressroom\",\"address\":\"127.0.0.1:{port}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":{cold_ms},\"sequence\":1,\"born\":{born}}}"));
                cold_ms -= HEARTBEAT_MS;
                std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }

    /// Sends a request to a gateway and records it and its answer.
    pub fn call(&self, index: usize, request: &ClientRequest) -> Answer {
        let mut headers = vec![("Host", HOST), ("Request-Id", request.id.as_str())];
        let deadline = request.deadline_ms.to_string();
        headers.push(("Deadline-Ms", &deadline));
        headers.extend(
            request
                .headers
                .iter()
                .map(|(name, value)| (name.as_str(), value.as_str())),
        );
        let gateway = format!("edge-a-{}", index + 1);
        let short: String = request.body.chars().take(40).collect();
        self.record.add(
            "client",
            &format!(
                "sends {} {} {} {short} to {gateway}",
                request.id, request.method, request.path
            ),
        );
        let limit = Duration::from_millis(request.deadline_ms + 500);
        let answer = call(
            self.fronts[index],
            request.method,
            &request.path,
            &headers,
            request.body.as_bytes(),
            limit,
        );
        self.record.add(
            "client",
            &format!("{} got {}", request.id, answer.summary()),
        );
        answer
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_ending.store(true, Ordering::Relaxed);
        for gateway in &self.gateways {
            gateway.lock().unwrap().end();
        }
        for pid in self.worker_pids() {
            // SAFETY: signals children of this process.
            unsafe { kill(pid as i32, SIGKILL) };
        }
        if let Some(kept) = std::env::var_os("KEEP_LOGS") {
            let _ = std::fs::create_dir_all(&kept);
            for gateway in &self.gateways {
                let log = &gateway.lock().unwrap().log;
                let _ = std::fs::copy(log, Path::new(&kept).join(log.file_name().expect("a name")));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// One attempt of a client.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
    pub deadline_ms: u64,
}

/// The template of the deploy file, filled in as for a small deployment.
fn filled(
    template: &str,
    name: &str,
    store: &Store,
    front: u16,
    ready: u16,
    peers: u16,
    metrics: u16,
) -> String {
    let mut lines = Vec::new();
    let mut is_left_out = false;
    for line in template.lines() {
        match line.trim() {
            "{{#zones}}" | "{{/zones}}" => continue,
            text if text.starts_with("{{#") => is_left_out = true,
            text if text.starts_with("{{/") => is_left_out = false,
            _ if !is_left_out => lines.push(line.to_owned()),
            _ => {}
        }
    }
    let local = |port: u16| format!("127.0.0.1:{port}");
    let fields = [
        ("{{nodeName}}", name.to_owned()),
        ("{{zone}}", "zone-a".to_owned()),
        ("{{region}}", "region-a".to_owned()),
        ("{{bind.frontend}}", local(front)),
        ("{{bind.ready}}", local(ready)),
        ("{{ip}}:{{portRange.0}}", local(peers)),
        ("{{ip}}:{{portRange.1}}", local(metrics)),
        ("{{platform.address}}", store.address.to_string()),
        ("{{policyParams.graceS}}", "8".to_owned()),
        ("{{policyParams.leaseMs}}", "3000".to_owned()),
        ("{{policyParams.retrySlack}}", "56".to_owned()),
        ("{{limits.cpuShare}}", "0.19".to_owned()),
        ("{{limits.cpuCores}}", "1".to_owned()),
        ("{{@}}", "zone-a".to_owned()),
        ("{{.}}", "region-a".to_owned()),
    ];
    let text = lines.join("\n") + "\n";
    fields
        .iter()
        .fold(text, |text, (field, value)| text.replace(field, value))
}

fn entry(plan: &WorkerPlan, version: &str, born: u64, port: u16, models: &[String]) -> String {
    let slots = if plan.service == "pressroom" { 6 } else { 64 };
    format!(
        "{{\"service\":{},\"address\":\"127.0.0.1:{port}\",\"zone\":\"zone-a\",\"version\":{},\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,\"born\":{born},\"stage\":\"colocated\",\"models\":{}}}",
        quote(&plan.service),
        quote(version),
        models_json(models)
    )
}

/// A configuration with one engine service and one application, as the operator writes it.
pub fn config(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, extra: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"routeType\":\"{kind}\",\"service\":\"{service}\",{extra}}}"
        )
    };
    let plain = "\"timeoutMs\":3000,\"targetLatencyMs\":200,\"priority\":2,\"maxAttempts\":2,\"sticky\":false,\"resumable\":false";
    let once = "\"timeoutMs\":3000,\"targetLatencyMs\":200,\"priority\":2,\"maxAttempts\":1,\"sticky\":false,\"resumable\":false";
    let stream = "\"timeoutMs\":25000,\"targetLatencyMs\":5000,\"priority\":2,\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapAimMs\":250";
    let chat = "\"timeoutMs\":15000,\"targetLatencyMs\":500,\"priority\":0,\"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"gapAimMs\":250";
    let routes = [
        route("r-draft", "/draft/", "streaming", "dreamwriter", stream),
        route("r-chat", "/chat/", "streaming", "dreamwriter", chat),
        route("r-read", "/read/", "streaming", "reader", stream),
        route("r-order", "/order/", "non_idempotent", "pressroom", once),
        route("r-status", "/status/", "idempotent", "pressroom", plain),
    ];
    let model = "{\"name\":\"m0\",\"weightsSize\":34300.0,\"loadTimeS\":6.0,\"adapters\":0,\"adapterMb\":40.0,\"warmS\":0.28,\"diskS\":0.4}";
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"dreamwriter\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacity\":154719,\"weightsSize\":200000.0,\"adapterSlots\":8,\"loadsPerS\":4.5,\"models\":[{model}]}}}},{{\"name\":\"pressroom\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"reader\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":10000}}}}",
        routes.join(",")
    )
}
