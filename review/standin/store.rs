//! The platform's store: rows in tables, reads, a feed of changes and transactions.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_request, write_answer};
use crate::json::{Json, parse, quote};

/// Time that the store takes for a call.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Rows {
    /// Base64 value and version, by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    /// Version, table and key of each change.
    changes: Vec<(u64, String, String)>,
    version: u64,
}

impl Rows {
    fn write(&mut self, table: &str, key: &str, value: Option<String>, version: u64) {
        let name = (table.to_owned(), key.to_owned());
        match value {
            Some(value) => {
                self.rows.insert(name.clone(), (value, version));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.changes.push((version, name.0, name.1));
    }

    fn row_text(&self, table: &str, key: &str) -> String {
        let start = format!("{{\"table\":{},\"part\":\"\",\"key\":{}", quote(table), quote(key));
        match self.rows.get(&(table.to_owned(), key.to_owned())) {
            Some((value, version)) => {
                format!("{start},\"value\":{},\"row-version\":{version}}}", quote(value))
            }
            None => format!("{start},\"tombstone\":true}}"),
        }
    }
}

/// A store that listens on a loopback address.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let store = Self { state: Arc::default(), started: Instant::now(), address };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator and the engines do; `None` removes it. Returns when the store
    /// acknowledged it.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) -> Instant {
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().expect("no holder panicked");
        rows.version += 1;
        let version = rows.version;
        rows.write(table, key, value.map(|value| encode_base64(value.as_bytes())), version);
        changed.notify_all();
        Instant::now()
    }

    /// Returns the base64 value of a row.
    pub fn read(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.state.0.lock().expect("no holder panicked");
        rows.rows.get(&(table.to_owned(), key.to_owned())).map(|(value, _)| value.clone())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            std::thread::sleep(CALL_TIME);
            let (status, body) = self.answer(&request);
            let json = [("content-type", "application/json")];
            if write_answer(&mut writer, status, &json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        match request.path() {
            "/rows-get" => (200, self.get(request)),
            "/rows-feed" => (200, self.feed(request)),
            "/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{\"error\":\"unknown\"}".to_owned()),
        }
    }

    fn page(&self, rows: &Rows, entries: &[String], has_more: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"has-more\":{has_more},\"row-version\":{},\"now-ms\":{}}}",
            entries.join(","),
            rows.version,
            1_000_000 + self.started.elapsed().as_millis()
        )
    }

    fn get(&self, request: &Message) -> String {
        let rows = self.state.0.lock().expect("no holder panicked");
        let table = request.parameter("table").unwrap_or_default();
        let from = request.parameter("from").unwrap_or_default();
        let to = request.parameter("to");
        let limit = request.parameter("limit").and_then(|text| text.parse().ok()).unwrap_or(500);
        let keys: Vec<&String> = rows
            .rows
            .keys()
            .filter(|(known, key)| {
                *known == table && *key >= from && to.as_ref().is_none_or(|to| key < to)
            })
            .map(|(_, key)| key)
            .collect();
        let entries: Vec<String> =
            keys.iter().take(limit).map(|key| rows.row_text(&table, key)).collect();
        self.page(&rows, &entries, keys.len() > limit)
    }

    fn feed(&self, request: &Message) -> String {
        let table = request.parameter("table").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().expect("no holder panicked");
        loop {
            let mut keys: Vec<&String> = Vec::new();
            for (version, known, key) in &rows.changes {
                if *version > after && *known == table && !keys.contains(&key) {
                    keys.push(key);
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if !keys.is_empty() || left.is_zero() {
                let entries: Vec<String> =
                    keys.iter().map(|key| rows.row_text(&table, key)).collect();
                return self.page(&rows, &entries, false);
            }
            rows = changed.wait_timeout(rows, left).expect("no holder panicked").0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = parse(body) else { return (400, "{\"error\":\"not JSON\"}".to_owned()) };
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().expect("no holder panicked");
        let entries = |name: &str| call.get(name).map(Json::list).unwrap_or_default().to_vec();
        let name_of = |row: &Json| {
            let text = |name| row.get(name).and_then(Json::text).unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        for row in entries("precondition") {
            let expected = row.get("row-version").and_then(Json::number).unwrap_or(0);
            let name = name_of(&row);
            if rows.rows.get(&name).map_or(0, |(_, version)| *version) != expected {
                let text = rows.row_text(&name.0, &name.1);
                return (412, self.page(&rows, &[text], false));
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in entries("put") {
            let (table, key) = name_of(&row);
            let value = row.get("value").and_then(Json::text).unwrap_or_default().to_owned();
            rows.write(&table, &key, Some(value), version);
        }
        for row in entries("remove") {
            let (table, key) = name_of(&row);
            rows.write(&table, &key, None, version);
        }
        changed.notify_all();
        (200, self.page(&rows, &[], false))
    }
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for digit in 0..4 {
            if digit <= group.len() {
                text.push(char::from(DIGITS[(number >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
