//! Stand-in for the platform's log service: offsets, expiry, outages, and answers lost after taking
//! effect.

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

use super::stand_in::{StandIn, query};

const MAX_PAGE: usize = 500;

#[derive(Default)]
struct Stream {
    first: u64,
    records: Vec<String>,
}

/// The log, with faults that tests set.
pub struct FakeLog {
    streams: Mutex<HashMap<String, Stream>>,
    grown: watch::Sender<u64>,
    /// Answers every request with an error.
    pub is_down: AtomicBool,
    /// Takes appends and then answers with an error.
    pub loses_answers: AtomicBool,
    /// Delay of every answer, in milliseconds.
    pub delay_ms: AtomicU64,
    pub appends: AtomicU64,
}

impl Default for FakeLog {
    fn default() -> Self {
        Self {
            streams: Mutex::default(),
            grown: watch::Sender::new(0),
            is_down: AtomicBool::new(false),
            loses_answers: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            appends: AtomicU64::new(0),
        }
    }
}

impl FakeLog {
    pub async fn serve(self: Arc<Self>, address: SocketAddr) -> StandIn {
        let (reader, writer) = (self.clone(), self);
        let routes = get(move |request: Request| reader.clone().read(request))
            .post(move |request: Request| writer.clone().append(request));
        StandIn::start(address, Router::new().route("/v1/streams/{stream}/records", routes)).await
    }

    pub fn records(&self, stream: &str) -> Vec<String> {
        self.streams.lock().unwrap().get(stream).map(|it| it.records.clone()).unwrap_or_default()
    }

    /// Expires all records below `first`.
    pub fn expire(&self, stream: &str, first: u64) {
        self.streams.lock().unwrap().entry(stream.into()).or_default().first = first;
    }

    pub fn push(&self, stream: &str, text: String) -> LogOffset {
        let mut streams = self.streams.lock().unwrap();
        let records = &mut streams.entry(stream.into()).or_default().records;
        records.push(text);
        self.appends.fetch_add(1, Ordering::Relaxed);
        self.grown.send_modify(|it| *it += 1);
        LogOffset(records.len() as u64 - 1)
    }

    fn page(&self, stream: &str, from: u64) -> LogPage {
        let streams = self.streams.lock().unwrap();
        let empty = Stream::default();
        let stream = streams.get(stream).unwrap_or(&empty);
        let from = from.max(stream.first);
        let kept = stream.records.iter().enumerate().skip(usize::try_from(from).unwrap());
        let records = kept
            .take(MAX_PAGE)
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

    async fn wait(&self) -> Option<Response> {
        tokio::time::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed))).await;
        let is_down = self.is_down.load(Ordering::Relaxed);
        is_down.then(|| text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n"))
    }

    async fn read(self: Arc<Self>, request: Request) -> Response {
        if let Some(refusal) = self.wait().await {
            return refusal;
        }
        let stream = stream_of(&request);
        let from = query(request.uri(), "from").unwrap_or(0);
        let wait = Duration::from_millis(query(request.uri(), "wait_ms").unwrap_or(0));
        let mut grown = self.grown.subscribe();
        let page = tokio::time::timeout(wait, async {
            loop {
                let page = self.page(&stream, from);
                if !page.records.is_empty() || self.is_down.load(Ordering::Relaxed) {
                    return page;
                }
                grown.changed().await.unwrap();
            }
        })
        .await
        .unwrap_or_else(|_| self.page(&stream, from));
        if let Some(refusal) = self.wait().await {
            return refusal;
        }
        json_response(StatusCode::OK, &page)
    }

    async fn append(self: Arc<Self>, request: Request) -> Response {
        if let Some(refusal) = self.wait().await {
            return refusal;
        }
        let stream = stream_of(&request);
        let text = request.into_body().into_string().await.unwrap();
        let offset = self.push(&stream, text);
        if self.loses_answers.load(Ordering::Relaxed) {
            return text_response(StatusCode::GATEWAY_TIMEOUT, "lost\n");
        }
        json_response(StatusCode::OK, &serde_json::json!({ "offset": offset }))
    }

    /// Starts or ends an outage; readers that wait are woken.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
        self.grown.send_modify(|it| *it += 1);
    }
}

fn stream_of(request: &Request) -> String {
    request.uri().path().split('/').nth(3).unwrap().to_owned()
}
