//! The platform's store, as PROTOCOL.md describes it: items, pages, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::HttpMessage;
use crate::http::HttpServer;
use crate::json::Json;
use crate::json::number;
use crate::json::object;
use crate::json::text;

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct StoreItem {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct StoreLease {
    ttl: Duration,
    ends_at: Instant,
}

struct StoreChange {
    key: String,
    revision: u64,
    event: Json,
}

#[derive(Default)]
struct StoreTables {
    items: BTreeMap<String, StoreItem>,
    changes: Vec<StoreChange>,
    leases: BTreeMap<u64, StoreLease>,
    revision: u64,
    last_lease: u64,
    busy_since: Option<Instant>,
}

/// The store.
pub struct Store {
    tables: Mutex<StoreTables>,
    changed: Condvar,
    is_busy: AtomicBool,
}

impl Store {
    /// Serves an empty store.
    pub fn serve(address: SocketAddr) -> Result<Arc<Self>> {
        let tables = StoreTables {
            revision: 100,
            last_lease: 77_000,
            ..StoreTables::default()
        };
        let store = Arc::new(Self {
            tables: Mutex::new(tables),
            changed: Condvar::new(),
            is_busy: AtomicBool::new(false),
        });
        let served = Arc::clone(&store);
        let handler = move |request: HttpMessage| {
            thread::sleep(ANSWER_TIME);
            if served.is_busy.load(Ordering::SeqCst) {
                return Some(HttpMessage::response(503, "{}"));
            }
            Some(served.answer(&request))
        };
        std::mem::forget(HttpServer::serve(address, Arc::new(handler))?);
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.expire_leases();
            }
        });
        Ok(store)
    }

    /// Writes an item on behalf of the operator.
    pub fn put(&self, key: &str, value: &Json) {
        let mut tables = self.tables.lock().unwrap();
        tables.revision += 1;
        tables.write(key, encode_base64(value.write().as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Returns an item's value, decoded.
    pub fn value(&self, key: &str) -> Option<String> {
        let tables = self.tables.lock().unwrap();
        let item = tables.items.get(key)?;
        String::from_utf8(decode_base64(&item.value)).ok()
    }

    /// Takes the store down: every call gets 503, and leases pause. Or brings it back.
    pub fn set_busy(&self, is_busy: bool) {
        let mut tables = self.tables.lock().unwrap();
        let now = Instant::now();
        if let Some(since) = tables.busy_since.take() {
            for lease in tables.leases.values_mut() {
                lease.ends_at += now.duration_since(since);
            }
        }
        tables.busy_since = is_busy.then_some(now);
        self.is_busy.store(is_busy, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        if self.is_busy.load(Ordering::SeqCst) {
            return;
        }
        let now = Instant::now();
        let mut tables = self.tables.lock().unwrap();
        let is_over = |(id, lease): (&u64, &StoreLease)| (lease.ends_at <= now).then_some(*id);
        let ended: Vec<u64> = tables.leases.iter().filter_map(is_over).collect();
        for id in ended {
            tables.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &HttpMessage) -> HttpMessage {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let path = request.path();
        let (status, answer) = if path == "/kv-key" {
            self.item(request)
        } else if path == "/kv-range" {
            self.range(request)
        } else if path == "/kv-watch" {
            self.watch(request)
        } else if path == "/kv-txn" {
            self.commit(&body)
        } else if path == "/kv-lease" {
            self.grant(&body)
        } else if let Some(id) = path.strip_prefix("/kv-keep/") {
            self.renew(id)
        } else if let Some(id) = path.strip_prefix("/kv-lease-end/") {
            let mut tables = self.tables.lock().unwrap();
            tables.end_lease(id.parse().unwrap_or(0));
            self.changed.notify_all();
            (200, object([]))
        } else {
            (404, object([]))
        };
        HttpMessage::response(status, &answer.write()).with("Content-Type", "application/json")
    }

    fn item(&self, request: &HttpMessage) -> (u16, Json) {
        let tables = self.tables.lock().unwrap();
        let key = request.query("key").unwrap_or_default();
        match tables.items.get(&key) {
            Some(item) => {
                let mut answer = item.to_json(&key);
                if let Json::Object(fields) = &mut answer {
                    fields.insert("store_revision".into(), number(tables.revision));
                }
                (200, answer)
            }
            None => (404, object([("store_revision", number(tables.revision))])),
        }
    }

    fn range(&self, request: &HttpMessage) -> (u16, Json) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after");
        let tables = self.tables.lock().unwrap();
        let is_wanted = |key: &str| {
            let is_after = after.as_ref().is_none_or(|after| key > after.as_str());
            key.starts_with(&prefix) && is_after
        };
        let wanted = tables.items.iter().filter(|(key, _)| is_wanted(key));
        let mut items: Vec<Json> = wanted.map(|(key, item)| item.to_json(key)).collect();
        let is_truncated = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let answer = object([
            ("items", Json::List(items)),
            ("truncated", Json::Bool(is_truncated)),
            ("store_revision", number(tables.revision)),
        ]);
        (200, answer)
    }

    fn watch(&self, request: &HttpMessage) -> (u16, Json) {
        let field = |name: &str| request.query(name).and_then(|value| value.parse().ok());
        let prefix = request.query("prefix").unwrap_or_default();
        let after: u64 = field("after").unwrap_or(0);
        let wait_ms = field("wait_ms").unwrap_or(0).min(30_000);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut tables = self.tables.lock().unwrap();
        loop {
            let events = tables.events(&prefix, after);
            if self.is_busy.load(Ordering::SeqCst) {
                return (503, object([]));
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let answer = object([
                    ("events", Json::List(events)),
                    ("store_revision", number(tables.revision)),
                ]);
                return (200, answer);
            }
            tables = self.changed.wait_timeout(tables, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, Json) {
        let mut tables = self.tables.lock().unwrap();
        let expected = body.get("expected_revision").items();
        let revision = |tables: &StoreTables, key: &str| {
            let item = tables.items.get(key);
            item.map_or(0, |item| item.revision)
        };
        let is_met = |row: &Json| {
            row.get("revision").integer() == Some(revision(&tables, row.get("key").text()))
        };
        if !expected.iter().all(is_met) {
            let current = |row: &Json| {
                let key = row.get("key").text();
                tables.items.get(key).map(|item| item.to_json(key))
            };
            let items = expected.iter().filter_map(current).collect();
            return (412, object([("items", Json::List(items))]));
        }
        let writes = body.get("writes").items();
        let lease = |row: &Json| row.get("lease").integer().unwrap_or(0);
        let has_lease = |row: &Json| lease(row) == 0 || tables.leases.contains_key(&lease(row));
        if !writes.iter().all(has_lease) {
            return (404, object([]));
        }
        tables.revision += 1;
        for row in writes {
            tables.write(
                row.get("key").text(),
                row.get("value").text().into(),
                lease(row),
            );
        }
        for key in body.get("deletes").items() {
            tables.delete(key.text());
        }
        self.changed.notify_all();
        (200, object([("revision", number(tables.revision))]))
    }

    fn grant(&self, body: &Json) -> (u16, Json) {
        let ttl_ms = body
            .get("ttl_ms")
            .integer()
            .unwrap_or(0)
            .clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut tables = self.tables.lock().unwrap();
        tables.last_lease += 1;
        let id = tables.last_lease;
        let ends_at = Instant::now() + ttl;
        tables.leases.insert(id, StoreLease { ttl, ends_at });
        (
            200,
            object([("lease", number(id)), ("ttl_ms", number(ttl_ms))]),
        )
    }

    fn renew(&self, id: &str) -> (u16, Json) {
        let mut tables = self.tables.lock().unwrap();
        let id: u64 = id.parse().unwrap_or(0);
        match tables.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                let ttl_ms = lease.ttl.as_millis() as u64;
                (200, object([("ttl_ms", number(ttl_ms))]))
            }
            None => (404, object([])),
        }
    }
}

impl StoreItem {
    fn to_json(&self, key: &str) -> Json {
        object([
            ("key", text(key)),
            ("value", text(&self.value)),
            ("revision", number(self.revision)),
            ("created", number(self.created)),
            ("lease", number(self.lease)),
        ])
    }
}

impl StoreTables {
    /// Writes an item at the present revision.
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = StoreItem {
            value,
            revision,
            created,
            lease,
        };
        self.changes.push(StoreChange {
            key: key.into(),
            revision,
            event: item.to_json(key),
        });
        self.items.insert(key.into(), item);
    }

    /// Deletes an item at the present revision.
    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        let event = object([
            ("key", text(key)),
            ("revision", number(self.revision)),
            ("deleted", Json::Bool(true)),
        ]);
        self.changes.push(StoreChange {
            key: key.into(),
            revision: self.revision,
            event,
        });
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let is_bound = |(key, item): (&String, &StoreItem)| (item.lease == id).then(|| key.clone());
        let keys: Vec<String> = self.items.iter().filter_map(is_bound).collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Json> {
        let is_wanted =
            |change: &&StoreChange| change.revision > after && change.key.starts_with(prefix);
        let wanted = self.changes.iter().filter(is_wanted);
        wanted.map(|change| change.event.clone()).collect()
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut encoded = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= part.len() {
                let digit = bits >> (18 - 6 * index) & 63;
                encoded.push(char::from(DIGITS[digit as usize]));
            } else {
                encoded.push('=');
            }
        }
    }
    encoded
}

fn decode_base64(encoded: &str) -> Vec<u8> {
    let digits = encoded.bytes().filter(|byte| *byte != b'=');
    let (mut bits, mut count, mut bytes) = (0_u32, 0, Vec::new());
    for byte in digits {
        let digit = DIGITS.iter().position(|digit| *digit == byte).unwrap_or(0);
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
