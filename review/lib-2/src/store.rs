//! The platform's store: rows, transactions and change feeds, as the users' pages describe them.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request, write_response};
use crate::json::{Json, base64, parse, quote};

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    ver: u64,
    /// Value in base64 and version; `None` for a deleted row.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn spawn() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store port");
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
            address: listener.local_addr().expect("store address"),
        });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows
            .insert(row_key, (Some(base64(value.as_bytes())), ver));
        drop(rows);
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        if rows
            .rows
            .get(&row_key)
            .is_some_and(|(value, _)| value.is_some())
        {
            rows.ver += 1;
            let ver = rows.ver;
            rows.rows.insert(row_key, (None, ver));
        }
        drop(rows);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = self.respond(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            if write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
            if request
                .header("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"))
            {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> (u16, String) {
        let text = |name: &str| request.query(name).unwrap_or_default();
        match request.path() {
            "/-/rows-get" => self.get(
                &text("table"),
                &text("part"),
                &text("from"),
                request.query("to"),
                request.query("limit"),
            ),
            "/-/rows-feed" => {
                let number = |name: &str| text(name).parse().unwrap_or(0);
                self.feed(&text("table"), number("after"), number("waitMs"))
            }
            "/-/rows-tx" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                parse(&body).map_or((400, String::new()), |txn| self.transact(&txn))
            }
            _ => (404, String::new()),
        }
    }

    fn page(
        &self,
        rows: &Rows,
        found: &[(&RowKey, &(Option<String>, u64))],
        has_more: bool,
    ) -> String {
        let entries: Vec<String> = found
            .iter()
            .map(|((table, part, key), (value, ver))| {
                let state = match value {
                    Some(value) => format!("\"value\":{}", quote(value)),
                    None => "\"deleted\":true".to_owned(),
                };
                format!(
                    "{{\"table\":{},\"part\":{},\"key\":{},{state},\"ver\":{ver}}}",
                    quote(table),
                    quote(part),
                    quote(key)
                )
            })
            .collect();
        let now_ms = self.began.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"ver\":{},\"nowMs\":{now_ms},\"hasMore\":{has_more}}}",
            entries.join(","),
            rows.ver
        )
    }

    fn get(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: Option<String>,
        limit: Option<String>,
    ) -> (u16, String) {
        let rows = self.rows.lock().unwrap();
        let limit = limit
            .and_then(|text| text.parse().ok())
            .unwrap_or(500usize)
            .min(500);
        let mut found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((row_table, row_part, key), (value, _))| {
                row_table == table
                    && row_part == part
                    && value.is_some()
                    && key.as_str() >= from
                    && to.as_ref().is_none_or(|to| key < to)
            })
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        (200, self.page(&rows, &found, has_more))
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((row_table, _, _), (_, ver))| row_table == table && *ver > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(_, (_, ver))| *ver);
                return (200, self.page(&rows, &found, false));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, txn: &Json) -> (u16, String) {
        let key_of = |row: &Json| {
            (
                row.text("table").to_owned(),
                row.text("part").to_owned(),
                row.text("key").to_owned(),
            )
        };
        let mut rows = self.rows.lock().unwrap();
        let written = txn.list("puts").iter().chain(txn.list("remove"));
        if written
            .clone()
            .any(|row| matches!(row.text("table"), "op" | "servers"))
        {
            return (403, String::new());
        }
        let is_met = |rows: &Rows, row: &Json| {
            let known = rows
                .rows
                .get(&key_of(row))
                .filter(|(value, _)| value.is_some());
            known.map_or(0, |(_, ver)| *ver) == row.number("ver")
        };
        if !txn
            .list("precondition")
            .iter()
            .all(|row| is_met(&rows, row))
        {
            let keys: Vec<RowKey> = txn.list("precondition").iter().map(key_of).collect();
            let found: Vec<_> = rows
                .rows
                .iter()
                .filter(|(key, (value, _))| keys.contains(key) && value.is_some())
                .collect();
            return (412, self.page(&rows, &found, false));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for row in txn.list("puts") {
            rows.rows
                .insert(key_of(row), (Some(row.text("value").to_owned()), ver));
        }
        for row in txn.list("remove") {
            if rows.rows.contains_key(&key_of(row)) {
                rows.rows.insert(key_of(row), (None, ver));
            }
        }
        let page = self.page(&rows, &[], false);
        drop(rows);
        self.changed.notify_all();
        (200, page)
    }
}
