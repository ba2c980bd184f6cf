//! Stand-in of the users' metadata store, by its published protocol: keyed streams that are read.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use http::StatusCode;
use serde_json::json;
use volo_http::{
    request::Request,
    response::Response,
    server::{Router, route::any},
};

use super::stand_in::{StandIn, query};

type Records = Vec<(String, Option<Vec<u8>>)>;

#[derive(Default)]
struct StoreState {
    streams: BTreeMap<String, Records>,
    is_down: bool,
    is_silent: bool,
    wakes_nobody: bool,
    reads: u64,
    reads_of: BTreeMap<String, u64>,
}

pub struct PlatformStore {
    pub stand_in: StandIn,
    state: Arc<Mutex<StoreState>>,
}

impl PlatformStore {
    pub async fn start(address: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(StoreState::default()));
        let handle = |state: &Arc<Mutex<StoreState>>| {
            let state = state.clone();
            any(move |request: Request| answer(state.clone(), request))
        };
        let router = Router::new()
            .route("/v1/log-newest", handle(&state))
            .route("/v1/log-read", handle(&state));
        Self { stand_in: StandIn::start(address, router).await, state }
    }

    pub fn put(&self, topic: &str, key: &str, value: Option<&serde_json::Value>) {
        let value = value.map(|it| it.to_string().into_bytes());
        let mut state = self.state.lock().unwrap();
        state.streams.entry(topic.into()).or_default().push((key.into(), value));
    }

    pub fn set_down(&self, is_down: bool) {
        self.state.lock().unwrap().is_down = is_down;
    }

    /// From now on questions are never answered, nor are those that come meanwhile.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().unwrap().is_silent = is_silent;
    }

    /// From now on a question that waits is answered only when its time is over.
    pub fn wake_nobody(&self) {
        self.state.lock().unwrap().wakes_nobody = true;
    }

    /// Questions about a topic.
    pub fn reads_of(&self, topic: &str) -> u64 {
        self.state.lock().unwrap().reads_of.get(topic).copied().unwrap_or(0)
    }

    pub fn reads(&self) -> u64 {
        self.state.lock().unwrap().reads
    }
}

async fn answer(state: Arc<Mutex<StoreState>>, request: Request) -> Response {
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
        let reply = {
            let mut state = state.lock().unwrap();
            state.reads += 1;
            if state.is_down {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let records = state.streams.entry(topic.clone()).or_default();
            match from {
                None => return newest(records),
                Some(from) => page(records, from),
            }
        };
        let is_over = tokio::time::Instant::now() >= deadline;
        if !is_over && state.lock().unwrap().wakes_nobody {
            tokio::time::sleep_until(deadline).await;
            continue;
        }
        match reply {
            (0, body) if is_over => return Response::new(body.into()),
            (0, _) => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
            (_, body) => return Response::new(body.into()),
        }
    }
}

fn status(code: StatusCode) -> Response {
    let mut answer = Response::new("".into());
    *answer.status_mut() = code;
    answer
}

fn newest(records: &Records) -> Response {
    let mut latest: BTreeMap<&str, (usize, &Option<Vec<u8>>)> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        latest.insert(key, (offset, value));
    }
    let items: Vec<serde_json::Value> = latest
        .into_iter()
        .filter_map(|(key, (offset, value))| {
            let value = BASE64_STANDARD.encode(value.as_ref()?);
            Some(json!({"key": key, "value": value, "offset": offset}))
        })
        .collect();
    let body = json!({"items": items, "has-more": false, "end-offset": records.len()});
    Response::new(body.to_string().into())
}

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
