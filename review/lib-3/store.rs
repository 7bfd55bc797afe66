//! The platform's store: rows, feeds, transactions, and a restore from an older copy.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::{self, Json, quoted};

type RowKey = (String, String, String);

#[derive(Debug, Clone)]
struct Change {
    ver: u64,
    row_key: RowKey,
    /// `None` for a dropped row.
    value: Option<String>,
}

#[derive(Debug, Clone, Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    log: Vec<Change>,
}

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    /// Connections are closed without an answer.
    Away,
    /// Calls get 503.
    Busy,
    /// Calls get no answer.
    Silent,
}

struct State {
    rows: Rows,
    era: u64,
    mode: StoreMode,
    copies: Vec<(Instant, Rows)>,
    /// Transactions that were applied: time, era, and what was written.
    writes: Vec<(Instant, u64, String)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    began: Instant,
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes base64.
pub fn encoded(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(part.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= part.len() {
                out.push(LETTERS[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Decodes base64.
pub fn plain(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(digit) = LETTERS.iter().position(|letter| *letter == byte) else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}

impl Store {
    /// Starts the store on a free port.
    pub fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = State {
            rows: Rows {
                ver: 100,
                ..Rows::default()
            },
            era: 0,
            mode: StoreMode::Up,
            copies: Vec::new(),
            writes: Vec::new(),
        };
        let store = Self {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            began: Instant::now(),
        };
        let served = store.clone();
        http::serve(listener, move |stream, head, body| {
            served.answer(stream, &head, &body)
        });
        let copying = store.clone();
        thread::spawn(move || {
            loop {
                let rows = copying.shared.0.lock().unwrap().rows.clone();
                copying
                    .shared
                    .0
                    .lock()
                    .unwrap()
                    .copies
                    .push((Instant::now(), rows));
                thread::sleep(Duration::from_millis(100));
            }
        });
        store
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        state.rows.ver += 1;
        let ver = state.rows.ver;
        let value = encoded(value.as_bytes());
        state
            .rows
            .rows
            .insert(row_key.clone(), (value.clone(), ver));
        state.rows.log.push(Change {
            ver,
            row_key,
            value: Some(value),
        });
        changed.notify_all();
    }

    /// Drops a row.
    pub fn remove(&self, table: &str, key: &str) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        if state.rows.rows.remove(&row_key).is_some() {
            state.rows.ver += 1;
            let ver = state.rows.ver;
            state.rows.log.push(Change {
                ver,
                row_key,
                value: None,
            });
            changed.notify_all();
        }
    }

    pub fn set_mode(&self, mode: StoreMode) {
        self.shared.0.lock().unwrap().mode = mode;
        self.shared.1.notify_all();
    }

    /// Puts the store back to the newest copy that is at least this old.
    pub fn restore(&self, age: Duration) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let limit = Instant::now().checked_sub(age).unwrap_or(self.began);
        let copy = state
            .copies
            .iter()
            .rev()
            .find(|(at, _)| *at <= limit)
            .cloned();
        let first = state.copies.first().cloned();
        if let Some((_, rows)) = copy.or(first) {
            state.rows = rows;
        }
        state.era += 1;
        changed.notify_all();
    }

    /// The transactions that were applied, as text.
    pub fn writes(&self) -> Vec<(u128, u64, String)> {
        let state = self.shared.0.lock().unwrap();
        let since = |at: &Instant| at.duration_since(self.began).as_millis();
        state
            .writes
            .iter()
            .map(|(at, era, text)| (since(at), *era, text.clone()))
            .collect()
    }

    /// Value of a row of the system's own table.
    pub fn own_row(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        let found = state
            .rows
            .rows
            .iter()
            .find(|((table, _, known), _)| table != "op" && table != "servers" && known == key);
        found.map(|(_, (value, _))| String::from_utf8_lossy(&plain(value)).into_owned())
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head, body: &[u8]) -> Result<bool> {
        let mode = self.shared.0.lock().unwrap().mode;
        match mode {
            StoreMode::Up => {}
            StoreMode::Away => return Ok(false),
            StoreMode::Busy => {
                let era = self.shared.0.lock().unwrap().era;
                http::respond(stream, 503, &format!("store-era: {era}\r\n"), b"{}")?;
                return Ok(true);
            }
            StoreMode::Silent => {
                thread::sleep(Duration::from_secs(120));
                return Ok(false);
            }
        }
        // A call takes 4 ms.
        thread::sleep(Duration::from_millis(4));
        let (status, era, text) = match (head.method(), head.path()) {
            ("GET", "/-/rows-get") => self.rows_get(head),
            ("GET", "/-/rows-feed") => match self.rows_feed(head) {
                Some(found) => found,
                None => return Ok(false),
            },
            ("POST", "/-/rows-tx") => self.rows_tx(&json::parse(&String::from_utf8_lossy(body))),
            _ => (404, 0, "{}".to_owned()),
        };
        let headers = format!("content-type: application/json\r\nstore-era: {era}\r\n");
        http::respond(stream, status, &headers, text.as_bytes())?;
        Ok(true)
    }

    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    fn rows_get(&self, head: &Head) -> (u16, u64, String) {
        let state = self.shared.0.lock().unwrap();
        let (table, part) = (head.param("table"), head.param("part"));
        let (from, to) = (head.param("from"), head.param("to"));
        let limit = head.param("limit").parse().unwrap_or(500).min(500);
        let mut found = Vec::new();
        for ((known, known_part, key), (value, ver)) in &state.rows.rows {
            let is_in = *known == table && *known_part == part && *key >= from;
            if is_in && (to.is_empty() || *key < to) {
                found.push(row_text(&table, &part, key, Some(value), *ver));
            }
        }
        let has_more = found.len() > limit;
        found.truncate(limit);
        let (ver, now_ms) = (state.rows.ver, self.now_ms());
        let rows = found.join(",");
        let text = format!(
            "{{\"rows\":[{rows}],\"hasMore\":{has_more},\"ver\":{ver},\"nowMs\":{now_ms}}}"
        );
        (200, state.era, text)
    }

    fn rows_feed(&self, head: &Head) -> Option<(u16, u64, String)> {
        let (lock, changed) = &*self.shared;
        let table = head.param("table");
        let after: u64 = head.param("after").parse().unwrap_or(0);
        let wait_ms: u64 = head.param("waitMs").parse().unwrap_or(0);
        let ends = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = lock.lock().unwrap();
        let era = state.era;
        loop {
            if state.mode != StoreMode::Up || state.era != era {
                return None;
            }
            if after > state.rows.ver {
                return Some((410, state.era, "{}".to_owned()));
            }
            let changes = state.rows.log.iter();
            let found: Vec<String> = changes
                .filter(|change| change.ver > after && change.row_key.0 == table)
                .map(|change| {
                    let (table, part, key) = &change.row_key;
                    row_text(table, part, key, change.value.as_ref(), change.ver)
                })
                .collect();
            let left = ends.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let (ver, now_ms) = (state.rows.ver, self.now_ms());
                let rows = found.join(",");
                let text = format!("{{\"rows\":[{rows}],\"ver\":{ver},\"nowMs\":{now_ms}}}");
                return Some((200, state.era, text));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows_tx(&self, body: &Json) -> (u16, u64, String) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let row_key = |row: &Json| {
            let text = |name| row.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut failed = Vec::new();
        for check in body.get("precondition").list() {
            let key = row_key(check);
            let known = state.rows.rows.get(&key);
            let ver = known.map_or(0, |(_, ver)| *ver);
            if ver != check.get("ver").number() {
                let value = known.map(|(value, _)| value);
                failed.push(row_text(&key.0, &key.1, &key.2, value, ver));
            }
        }
        let now_ms = self.now_ms();
        if !failed.is_empty() {
            let (ver, rows) = (state.rows.ver, failed.join(","));
            let text = format!("{{\"rows\":[{rows}],\"ver\":{ver},\"nowMs\":{now_ms}}}");
            return (412, state.era, text);
        }
        state.rows.ver += 1;
        let ver = state.rows.ver;
        let mut written = Vec::new();
        for put in body.get("puts").list() {
            let key = row_key(put);
            let value = put.get("value").text().to_owned();
            written.push(format!(
                "{}={}",
                key.2,
                String::from_utf8_lossy(&plain(&value))
            ));
            state.rows.rows.insert(key.clone(), (value.clone(), ver));
            state.rows.log.push(Change {
                ver,
                row_key: key,
                value: Some(value),
            });
        }
        for removed in body.get("remove").list() {
            let key = row_key(removed);
            if state.rows.rows.remove(&key).is_some() {
                state.rows.log.push(Change {
                    ver,
                    row_key: key,
                    value: None,
                });
            }
        }
        let era = state.era;
        state.writes.push((Instant::now(), era, written.join(" ")));
        changed.notify_all();
        (200, era, format!("{{\"ver\":{ver},\"nowMs\":{now_ms}}}"))
    }
}

fn row_text(table: &str, part: &str, key: &str, value: Option<&String>, ver: u64) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":{}", quoted(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{ver},{rest}}}",
        quoted(table),
        quoted(part),
        quoted(key)
    )
}
