//! Fake of the platform's log service: offsets, record expiry, outages, slow answers, and appends
//! that succeed although their answer is an error.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use alderbay::{
    http::{json_response, text_response},
    platform::{LogPage, LogRecord},
    units::LogOffset,
};
use http::StatusCode;
use tokio::sync::watch;
use volo_http::{
    body::BodyConversion,
    request::Request,
    response::Response,
    server::{Router, route::get},
};

use super::fake_server::{FakeServer, query};

/// Records in one page at most.
const MAX_PAGE_RECORDS: usize = 500;

#[derive(Default)]
struct Stream {
    /// Offset below which all records have expired.
    first: u64,
    records: Vec<String>,
}

/// All streams of the log, with faults that tests switch on.
pub struct FakeLog {
    streams: Mutex<HashMap<String, Stream>>,
    /// Counts appends and outage changes; long polls wait for it to change.
    changes: watch::Sender<u64>,
    /// Answers every request with an error.
    pub is_down: AtomicBool,
    /// Appends the record, then answers 504, so that the caller can't know whether it was stored.
    pub fails_after_append: AtomicBool,
    /// Delay in milliseconds before a request is handled; reads wait as long again before they
    /// answer.
    pub delay_ms: AtomicU64,
    /// Records appended to all streams, including those that tests push.
    pub appends: AtomicU64,
}

impl Default for FakeLog {
    fn default() -> Self {
        Self {
            streams: Mutex::default(),
            changes: watch::Sender::new(0),
            is_down: AtomicBool::new(false),
            fails_after_append: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            appends: AtomicU64::new(0),
        }
    }
}

impl FakeLog {
    pub async fn serve(self: Arc<Self>, address: SocketAddr) -> FakeServer {
        let (reader, writer) = (self.clone(), self);
        let routes = get(move |request: Request| reader.clone().read(request))
            .post(move |request: Request| writer.clone().append(request));
        FakeServer::start(address, Router::new().route("/v1/streams/{stream}/records", routes))
            .await
    }

    /// Texts of all records of a stream, expired ones included.
    pub fn records(&self, stream: &str) -> Vec<String> {
        self.streams.lock().unwrap().get(stream).map(|it| it.records.clone()).unwrap_or_default()
    }

    /// Expires all records with an offset below `first`.
    pub fn expire(&self, stream: &str, first: u64) {
        self.streams.lock().unwrap().entry(stream.into()).or_default().first = first;
    }

    /// Appends a record without going through HTTP and returns its offset.
    pub fn push(&self, stream: &str, text: String) -> LogOffset {
        let mut streams = self.streams.lock().unwrap();
        let records = &mut streams.entry(stream.into()).or_default().records;
        records.push(text);
        self.appends.fetch_add(1, Ordering::Relaxed);
        self.changes.send_modify(|it| *it += 1);
        LogOffset(records.len() as u64 - 1)
    }

    fn page(&self, stream: &str, from: u64) -> LogPage {
        let streams = self.streams.lock().unwrap();
        let empty = Stream::default();
        let stream = streams.get(stream).unwrap_or(&empty);
        let from = from.max(stream.first);
        let unexpired = stream.records.iter().enumerate().skip(usize::try_from(from).unwrap());
        let records = unexpired
            .take(MAX_PAGE_RECORDS)
            .map(|(offset, text)| LogRecord {
                offset: LogOffset(offset as u64),
                text: text.clone(),
            })
            .collect();
        LogPage {
            first: LogOffset(stream.first),
            next: LogOffset(stream.records.len() as u64),
            records,
        }
    }

    /// Applies the delay; returns the error answer during an outage.
    async fn delay_or_refuse(&self) -> Option<Response> {
        tokio::time::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed))).await;
        let is_down = self.is_down.load(Ordering::Relaxed);
        is_down.then(|| text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n"))
    }

    async fn read(self: Arc<Self>, request: Request) -> Response {
        if let Some(refusal) = self.delay_or_refuse().await {
            return refusal;
        }
        let stream = stream_name(&request);
        let from = query(request.uri(), "from").unwrap_or(0);
        let wait = Duration::from_millis(query(request.uri(), "wait_ms").unwrap_or(0));
        let mut changes = self.changes.subscribe();
        let page = tokio::time::timeout(wait, async {
            loop {
                let page = self.page(&stream, from);
                if !page.records.is_empty() || self.is_down.load(Ordering::Relaxed) {
                    return page;
                }
                changes.changed().await.unwrap();
            }
        })
        .await
        .unwrap_or_else(|_| self.page(&stream, from));
        if let Some(refusal) = self.delay_or_refuse().await {
            return refusal;
        }
        json_response(StatusCode::OK, &page)
    }

    async fn append(self: Arc<Self>, request: Request) -> Response {
        if let Some(refusal) = self.delay_or_refuse().await {
            return refusal;
        }
        let stream = stream_name(&request);
        let text = request.into_body().into_string().await.unwrap();
        let offset = self.push(&stream, text);
        if self.fails_after_append.load(Ordering::Relaxed) {
            return text_response(StatusCode::GATEWAY_TIMEOUT, "lost\n");
        }
        json_response(StatusCode::OK, &serde_json::json!({ "offset": offset }))
    }

    /// Starts or ends an outage and wakes pending long polls.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
        self.changes.send_modify(|it| *it += 1);
    }
}

fn stream_name(request: &Request) -> String {
    request.uri().path().split('/').nth(3).unwrap().to_owned()
}
