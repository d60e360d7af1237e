//! Stand-in for the platform's store: rows, their feed and transactions, as the platform's page
//! describes them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::Json;

type RowKey = (String, String);

#[derive(Clone)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Content {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
}

struct Shared {
    content: Mutex<Content>,
    changed: Condvar,
    started: Instant,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            content: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let store = Self { shared, address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or an engine does.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let mut content = self.shared.content.lock().unwrap();
        content.version += 1;
        let version = content.version;
        let row = Row { value: Some(base64(value.as_bytes())), version };
        content.rows.insert((table.to_owned(), key.to_owned()), row);
        self.shared.changed.notify_all();
        version
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.head() {
            let Ok(body) = connection.body(&head) else { return };
            let (status, body) = self.answer(head.method(), head.target(), &body);
            let answer = format!(
                "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let find = |name: &str| {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next()
        };
        match (method, path) {
            ("GET", "/rows-get") => self.rows(&find),
            ("GET", "/rows-feed") => self.feed(&find),
            ("POST", "/rows-tx") => self.transact(&String::from_utf8_lossy(body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn rows(&self, find: &dyn Fn(&str) -> Option<String>) -> (u16, String) {
        let table = find("table").unwrap_or_default();
        let (from, to) = (find("from").unwrap_or_default(), find("to"));
        let limit: usize = find("limit").and_then(|limit| limit.parse().ok()).unwrap_or(500);
        let content = self.shared.content.lock().unwrap();
        let mut rows: Vec<String> = Vec::new();
        let mut has_more = false;
        for ((row_table, key), row) in &content.rows {
            let is_inside = *key >= from && to.as_ref().is_none_or(|to| key < to);
            if *row_table != table || row.value.is_none() || !is_inside {
                continue;
            }
            if rows.len() >= limit.min(500) {
                has_more = true;
                break;
            }
            rows.push(row_json(row_table, key, row));
        }
        (200, self.page(&rows, has_more, content.version))
    }

    fn feed(&self, find: &dyn Fn(&str) -> Option<String>) -> (u16, String) {
        let table = find("table").unwrap_or_default();
        let after: u64 = find("after").and_then(|after| after.parse().ok()).unwrap_or(0);
        let wait: u64 = find("wait-ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut content = self.shared.content.lock().unwrap();
        loop {
            let mut changed: Vec<(u64, String)> = content
                .rows
                .iter()
                .filter(|((row_table, _), row)| *row_table == table && row.version > after)
                .map(|((table, key), row)| (row.version, row_json(table, key, row)))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort();
                let rows: Vec<String> = changed.into_iter().map(|(_, row)| row).collect();
                return (200, self.page(&rows, false, content.version));
            }
            content = self.shared.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let name = |row: &Json| {
            let text = |field| row.text(field).unwrap_or_default().to_owned();
            (text("table"), text("key"))
        };
        let mut content = self.shared.content.lock().unwrap();
        let holds = call.list("precondition").iter().all(|row| {
            let known = content.rows.get(&name(row)).filter(|row| row.value.is_some());
            known.map_or(0, |row| row.version) == row.number("row-version").unwrap_or(0)
        });
        if !holds {
            return (412, self.page(&[], false, content.version));
        }
        content.version += 1;
        let version = content.version;
        for row in call.list("put") {
            let value = row.text("value").map(str::to_owned);
            content.rows.insert(name(row), Row { value, version });
        }
        for row in call.list("remove") {
            content.rows.insert(name(row), Row { value: None, version });
        }
        self.shared.changed.notify_all();
        (200, self.page(&[], false, version))
    }

    fn page(&self, rows: &[String], has_more: bool, version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has-more\":{has_more},\"row-version\":{version},\"now-ms\":{}}}",
            rows.join(","),
            self.shared.started.elapsed().as_millis() + 1
        )
    }
}

fn row_json(table: &str, key: &str, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"row-version\":{}}}",
        row.version
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let is_padding = digit > group.len();
            let index = (bits >> (18 - 6 * digit)) & 63;
            text.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    text
}
