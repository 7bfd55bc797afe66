//! Gateways, workers and the operator's configuration of a small deployment on loopback addresses.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::json;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Milliseconds between two entries that a worker writes.
pub const HEARTBEAT_MS: u64 = 1_200;

/// Repository's root; the scripts start there.
pub fn root() -> PathBuf {
    std::env::current_dir().expect("a folder")
}

/// Ports that were given out.
static GIVEN_PORTS: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// A port that nothing listens on, and that was not given out before.
pub fn free_port() -> u16 {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = listener.local_addr().expect("an address").port();
        let mut given = GIVEN_PORTS.lock().unwrap();
        if !given.contains(&port) {
            given.push(port);
            return port;
        }
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time")
        .as_millis()
}

/// What a script writes to its record, with times since the script began.
#[derive(Clone)]
pub struct Record {
    pub began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn open() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    pub fn write(&self, line: impl AsRef<str>) {
        let text = format!("{:>7} ms  {}", self.now_ms(), line.as_ref());
        println!("{text}");
        self.lines.lock().unwrap().push(text);
    }

    pub fn save(&self, folder: &Path) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(folder.join("record.txt"), text).expect("a record");
    }
}

/// A process that ends with its handle.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{name}"), pid.as_str()])
            .status();
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings of one gateway, which stay the same over its restarts.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    memory_mb: u32,
    pub process: Option<Process>,
}

impl Gateway {
    /// Fills in the template of the deploy file.
    pub fn open(folder: &Path, name: &str, table: SocketAddr, memory_mb: u32) -> Self {
        let ip = "127.0.0.1";
        let [front, ready, peers, metrics] = std::array::from_fn(|_| free_port());
        let template = fs::read_to_string(root().join("deploy/gateway.ini.template"));
        let template = template.expect("the template");
        let values = [
            ("{{nodeName}}", name.to_owned()),
            ("{{zone}}", "armor-a".to_owned()),
            ("{{region}}", "armor".to_owned()),
            ("{{bind.frontend}}", format!("{ip}:{front}")),
            ("{{bind.ready}}", format!("{ip}:{ready}")),
            ("{{policyParams.graceS}}", "8".to_owned()),
            ("{{platform.address}}", table.to_string()),
            ("{{ip}}:{{portRange.0}}", format!("{ip}:{peers}")),
            ("{{ip}}:{{portRange.1}}", format!("{ip}:{metrics}")),
            ("{{limits.cpuShare}}", "0.19".to_owned()),
            ("{{limits.cpuCores}}", "1".to_owned()),
            ("{{policyParams.leaseMs}}", "3000".to_owned()),
            ("{{policyParams.retrySlack}}", "58".to_owned()),
            ("{{@}} = {{.}}", "armor-a = armor".to_owned()),
        ];
        let mut text = String::new();
        let mut is_left_out = false;
        for line in template.lines() {
            // The deployment has no quotas.
            if line.starts_with("{{#policyParams.quota") {
                is_left_out = true;
            } else if line.starts_with("{{/policyParams.quota") {
                is_left_out = false;
            } else if !is_left_out && !line.starts_with("{{#") && !line.starts_with("{{/") {
                text.push_str(line);
                text.push('\n');
            }
        }
        for (place, value) in values {
            text = text.replace(place, &value);
        }
        let config = folder.join(format!("{name}.ini"));
        fs::write(&config, text).expect("settings");
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: name.to_owned(),
            front: address(front),
            ready: address(ready),
            peers: address(peers),
            config,
            log: folder.join(format!("{name}.log")),
            memory_mb,
            process: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("a log");
        let child = Command::new(root().join("target/release/quetzalpind"))
            .arg("--config")
            .arg(&self.config)
            .env("QUETZALPIN_MEMORY_MB", self.memory_mb.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("a gateway");
        self.process = Some(Process { child });
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        http::call(self.ready, request.as_bytes(), Duration::from_secs(1)).status == 200
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        wait_until(limit, || self.is_ready())
    }

    /// Resident memory in kilobytes; 0 if the process has ended.
    pub fn memory_kb(&self) -> u64 {
        let Some(process) = &self.process else {
            return 0;
        };
        let path = format!("/proc/{}/status", process.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let figure = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        figure.unwrap_or(0)
    }
}

pub fn wait_until(limit: Duration, mut is_true: impl FnMut() -> bool) -> bool {
    let ends = Instant::now() + limit;
    while Instant::now() < ends {
        if is_true() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// An order as a worker received it.
#[derive(Debug, Clone)]
pub struct SeenOrder {
    pub at: Instant,
    pub worker: String,
    pub holder: String,
    pub fence: u64,
    pub text: String,
}

/// Orders that all workers received.
pub type Orders = Arc<Mutex<Vec<SeenOrder>>>;

/// A model worker without requests: it reports what it holds, carries out orders, and registers.
#[derive(Clone)]
pub struct ModelWorker {
    pub id: String,
    pub address: SocketAddr,
    born: u128,
    state: Arc<Mutex<EngineState>>,
    pub orders: Orders,
}

#[derive(Default)]
struct EngineState {
    models: Vec<String>,
    on_disk: Vec<String>,
    /// Operation, model and end of the order that is carried out.
    running: Option<(bool, String, Instant)>,
    sequence: u64,
}

impl EngineState {
    fn advance(&mut self) {
        let Some((is_load, model, ends)) = self.running.clone() else {
            return;
        };
        if Instant::now() < ends {
            return;
        }
        self.running = None;
        if is_load {
            self.models.push(model.clone());
            self.on_disk.push(model);
        } else {
            self.models.retain(|known| *known != model);
        }
    }
}

fn text_list(names: &[String]) -> String {
    let quoted: Vec<String> = names.iter().map(|name| json::quoted(name)).collect();
    format!("[{}]", quoted.join(","))
}

fn model_list(names: &[String]) -> String {
    let models = names.iter();
    let models: Vec<String> = models
        .map(|name| {
            format!(
                "{{\"name\":{},\"version\":1,\"adapters\":[]}}",
                json::quoted(name)
            )
        })
        .collect();
    format!("[{}]", models.join(","))
}

impl ModelWorker {
    pub fn spawn(id: &str, models: &[&str], orders: &Orders) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let names: Vec<String> = models.iter().map(|name| (*name).to_owned()).collect();
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            born: unix_ms(),
            state: Arc::new(Mutex::new(EngineState {
                on_disk: names.clone(),
                models: names,
                ..EngineState::default()
            })),
            orders: Arc::clone(orders),
        };
        let served = worker.clone();
        http::serve(listener, move |stream, head, body| {
            let (status, text) = served.answer(&head, &body);
            http::respond(
                stream,
                status,
                "content-type: application/json\r\n",
                text.as_bytes(),
            )?;
            Ok(true)
        });
        worker
    }

    /// Writes its entry every heartbeat until `is_over`.
    pub fn register(&self, store: &Store, is_over: &Arc<AtomicBool>) {
        let (worker, store, is_over) = (self.clone(), store.clone(), Arc::clone(is_over));
        thread::spawn(move || {
            let mut sequence = 0;
            while !is_over.load(Ordering::Relaxed) {
                sequence += 1;
                store.put("servers", &worker.id, &worker.entry(sequence));
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }

    pub fn entry(&self, sequence: u64) -> String {
        let mut state = self.state.lock().unwrap();
        state.advance();
        let (models, on_disk) = (model_list(&state.models), text_list(&state.on_disk));
        format!(
            "{{\"service\":\"huvo11a\",\"address\":\"{}\",\"zone\":\"armor-a\",\"version\":\"v1\",\
             \"slots\":32,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"colocated\",\
             \"models\":{models},\"sequence\":{sequence},\"born\":{},\
             \"resident\":{{\"inMemory\":[],\"onDisk\":{on_disk}}}}}",
            self.address, self.born
        )
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let expected = head.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return (421, "{}".to_owned());
        }
        let mut state = self.state.lock().unwrap();
        state.advance();
        if head.path() == "/-/report" {
            let (models, on_disk) = (model_list(&state.models), text_list(&state.on_disk));
            let text = format!(
                "{{\"stage\":\"colocated\",\"models\":{models},\"busy\":{},\"sequence\":{},\
                 \"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":118442,\"handles\":0,\
                 \"born\":{},\"resident\":{{\"inMemory\":[],\"onDisk\":{on_disk}}}}}",
                state.running.is_some(),
                state.sequence,
                self.born
            );
            return (200, text);
        }
        if head.path() != "/-/order" {
            return (503, "{}".to_owned());
        }
        let order = json::parse(&String::from_utf8_lossy(body));
        self.orders.lock().unwrap().push(SeenOrder {
            at: Instant::now(),
            worker: self.id.clone(),
            holder: order.get("holder").text().to_owned(),
            fence: order.get("fenceToken").number(),
            text: format!(
                "{} {}",
                order.get("operation").text(),
                order.get("model").text()
            ),
        });
        let is_stale = *order.get("precondition") != json::Json::Null
            && order.get("precondition").number() != state.sequence;
        if state.running.is_some() || is_stale {
            return (409, "{}".to_owned());
        }
        let model = order.get("model").text().to_owned();
        let is_load = order.get("operation").text() == "load";
        if state.models.contains(&model) == is_load {
            return (200, "{}".to_owned());
        }
        let took = match (is_load, state.on_disk.contains(&model)) {
            (true, false) => 6_000,
            (true, true) => 400,
            (false, _) => 50,
        };
        state.sequence += 1;
        state.running = Some((is_load, model, Instant::now() + Duration::from_millis(took)));
        (202, "{}".to_owned())
    }
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, is_resumable: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
         \"routeType\":\"{kind}\",\"timeoutMs\":20000,\"targetLatencyMs\":500,\"priority\":0,\
         \"service\":\"{service}\",\"maxAttempts\":2,\"resumable\":{is_resumable},\
         \"gapAimMs\":300}}"
    )
}

/// A configuration with a model service and a plain one.
pub fn catalog(version: u64, routes: &[String], models: &[&str]) -> String {
    let models: Vec<String> = models
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"weightsSize\":60000.0,\"loadTimeS\":6.0,\"adapters\":0,\
                 \"adapterMb\":40.0,\"warmS\":0.3,\"diskS\":0.4}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":250,\"protocol\":\"h1\",\
         \"tls\":false,\"engine\":{{\"slots\":32,\"kvCapacity\":118442,\"models\":[{}],\
         \"weightsSize\":200000.0,\"adapterSlots\":8,\"loadsPerS\":10.0}}}},\
         {{\"name\":\"wuno96b\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        models.join(",")
    )
}

/// Entry of a plain worker.
pub fn plain_entry(
    address: SocketAddr,
    service: &str,
    version: &str,
    state: &str,
    sequence: u64,
    born: u128,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"armor-a\",\
         \"version\":\"{version}\",\"slots\":32,\"state\":\"{state}\",\"coldLeftMs\":0,\
         \"sequence\":{sequence},\"born\":{born}}}"
    )
}
