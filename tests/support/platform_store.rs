//! Fake of the users' metadata store. Implements the read calls of its published protocol: keyed
//! topics, read as a snapshot of the newest values or as a log from an offset.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use http::StatusCode;
use percent_encoding::percent_decode_str;
use serde_json::json;
use volo_http::{
    request::Request,
    response::Response,
    server::{Router, route::any},
};

use super::fake_server::{FakeServer, query};

/// Key and value of each record; None marks a deleted key.
type Records = Vec<(String, Option<Vec<u8>>)>;

#[derive(Default)]
struct StoreState {
    topics: BTreeMap<String, Records>,
    /// Number of rewinds, sent with every answer.
    era: u64,
    is_down: bool,
    is_silent: bool,
    skips_wakeups: bool,
    /// Number of keys that one read of all keys returns.
    page_size: Option<usize>,
    reads: u64,
    reads_of: BTreeMap<String, u64>,
}

/// The records of all topics at some time, to which the store can be rewound.
pub struct StoreCopy(BTreeMap<String, Records>);

pub struct FakeStore {
    pub fake_server: FakeServer,
    state: Arc<Mutex<StoreState>>,
}

impl FakeStore {
    pub async fn start(address: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(StoreState::default()));
        let handle = |state: &Arc<Mutex<StoreState>>| {
            let state = state.clone();
            any(move |request: Request| answer(state.clone(), request))
        };
        let router = Router::new()
            .route("/v1/log-newest", handle(&state))
            .route("/v1/log-read", handle(&state));
        Self { fake_server: FakeServer::start(address, router).await, state }
    }

    /// Appends a record to a topic; a value of None deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&serde_json::Value>) {
        let value = value.map(|it| it.to_string().into_bytes());
        let mut state = self.state.lock().unwrap();
        state.topics.entry(topic.into()).or_default().push((key.into(), value));
    }

    /// Writes bytes that need not be JSON.
    pub fn put_raw(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.topics.entry(topic.into()).or_default().push((key.into(), Some(value.to_vec())));
    }

    /// From now on, reads of all keys return so many at once.
    pub fn set_page_size(&self, page_size: usize) {
        self.state.lock().unwrap().page_size = Some(page_size);
    }

    /// Copies the records of all topics.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.lock().unwrap().topics.clone())
    }

    /// Replaces all records by those of the copy and begins a new era.
    pub fn rewind(&self, copy: StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.topics = copy.0;
        state.era += 1;
    }

    /// Starts or ends an outage, during which every read is answered with 503.
    pub fn set_down(&self, is_down: bool) {
        self.state.lock().unwrap().is_down = is_down;
    }

    /// While silent, the store never answers: neither reads that are pending nor those that arrive
    /// meanwhile.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().unwrap().is_silent = is_silent;
    }

    /// From now on, long polls are answered only when their wait time has passed.
    pub fn disable_wakeups(&self) {
        self.state.lock().unwrap().skips_wakeups = true;
    }

    /// Number of read requests for a topic.
    pub fn reads_of(&self, topic: &str) -> u64 {
        self.state.lock().unwrap().reads_of.get(topic).copied().unwrap_or(0)
    }

    /// Number of lookups in total; a long poll counts once for each time it looks for new records.
    pub fn reads(&self) -> u64 {
        self.state.lock().unwrap().reads
    }
}

async fn answer(state: Arc<Mutex<StoreState>>, request: Request) -> Response {
    let mut answer = answer_body(state.clone(), request).await;
    let era = state.lock().unwrap().era;
    answer.headers_mut().insert("store-era", era.into());
    answer
}

async fn answer_body(state: Arc<Mutex<StoreState>>, request: Request) -> Response {
    let uri = request.uri().clone();
    let topic: String = query(&uri, "topic").unwrap_or_default();
    let from: Option<usize> = query(&uri, "range-start");
    let wait = query(&uri, "wait-ms").unwrap_or(0_u64);
    let deadline = tokio::time::Instant::now() + std::time::Duration::from_millis(wait);
    *state.lock().unwrap().reads_of.entry(topic.clone()).or_default() += 1;
    loop {
        if state.lock().unwrap().is_silent {
            std::future::pending::<()>().await;
        }
        let answer = {
            let mut state = state.lock().unwrap();
            state.reads += 1;
            if state.is_down {
                return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
            }
            let page_size = state.page_size.unwrap_or(usize::MAX);
            let records = state.topics.entry(topic.clone()).or_default();
            match from {
                None => {
                    let after: Option<String> = query(&uri, "after");
                    let after =
                        after.map(|it| percent_decode_str(&it).decode_utf8_lossy().into_owned());
                    return newest(records, after.as_deref(), page_size);
                }
                Some(from) if from > records.len() => return empty_answer(StatusCode::GONE),
                Some(from) => page(records, from),
            }
        };
        let has_timed_out = tokio::time::Instant::now() >= deadline;
        if !has_timed_out && state.lock().unwrap().skips_wakeups {
            tokio::time::sleep_until(deadline).await;
            continue;
        }
        match answer {
            (0, body) if has_timed_out => return Response::new(body.into()),
            (0, _) => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
            (_, body) => return Response::new(body.into()),
        }
    }
}

fn empty_answer(code: StatusCode) -> Response {
    let mut answer = Response::new("".into());
    *answer.status_mut() = code;
    answer
}

/// JSON answer with the newest values of so many keys, those that follow `after`.
fn newest(records: &Records, after: Option<&str>, page_size: usize) -> Response {
    let mut latest: BTreeMap<&str, (usize, &Option<Vec<u8>>)> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        latest.insert(key, (offset, value));
    }
    let items: Vec<serde_json::Value> = latest
        .into_iter()
        .filter(|(key, _)| after.is_none_or(|it| *key > it))
        .filter_map(|(key, (offset, value))| {
            let value = BASE64_STANDARD.encode(value.as_ref()?);
            Some(json!({"key": key, "value": value, "offset": offset}))
        })
        .collect();
    let has_more = items.len() > page_size;
    let items = &items[..items.len().min(page_size)];
    let body = json!({"items": items, "has-more": has_more, "end-offset": records.len()});
    Response::new(body.to_string().into())
}

/// Number of records from offset `from` on, and the binary page that encodes them.
fn page(records: &Records, from: usize) -> (usize, Vec<u8>) {
    let mut body = Vec::new();
    body.extend((records.len() as u64).to_be_bytes());
    body.extend(0_u64.to_be_bytes());
    let new = records.get(from..).unwrap_or_default();
    for (key, value) in new {
        let value = value.as_deref().unwrap_or_default();
        body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend(key.as_bytes());
        body.extend(value);
    }
    (new.len(), body)
}
