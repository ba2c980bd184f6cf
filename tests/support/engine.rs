//! Fake of a model engine: it streams tokens, warms up after its start, resumes streams, and fails
//! on demand.
//!
//! Token `n` of a draft (a completion) is `"{prompt hash}-{n} "`, so that a test can detect lost,
//! repeated and foreign tokens in a stream.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use alderbay::http::{RESUME_AFTER, json_response, read_body, relay_body, text_response};
use bytes::Bytes;
use http::StatusCode;
use serde::Deserialize;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{Router, route::any},
};
use xxhash_rust::xxh3::xxh3_64;

use super::fake_server::FakeServer;

#[derive(Deserialize)]
struct DraftBody {
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<serde_json::Value>,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
}

fn default_tokens() -> u64 {
    8
}

/// The engine, with its counters and the faults that tests switch on.
pub struct FakeEngine {
    /// Time for each token of a warm engine, in milliseconds; a cold engine takes twice as long.
    pub token_ms: AtomicU64,
    /// Requests in progress.
    pub running: AtomicU64,
    /// Highest number of requests in progress at once.
    pub peak_running: AtomicU64,
    pub started: AtomicU64,
    /// Requests answered to their end.
    pub finished: AtomicU64,
    /// Requests that started above the engine's current capacity.
    pub overloaded: AtomicU64,
    /// Concurrent requests that a freshly started engine can run without overload.
    pub cold_capacity: u64,
    /// Concurrent requests that a warm engine can run without overload.
    pub warm_capacity: u64,
    /// Tokens after which the engine is warm.
    pub warm_tokens: u64,
    /// Tokens generated since the engine was last cold.
    pub tokens: AtomicU64,
    /// Breaks off each stream after this many tokens; 0 means never.
    pub break_after_tokens: AtomicU64,
    /// Ends streams without `[DONE]`.
    pub omits_end_mark: AtomicBool,
    /// Answers with another request's id in `x-request-id`.
    pub sends_wrong_id: AtomicBool,
}

impl Default for FakeEngine {
    fn default() -> Self {
        Self {
            token_ms: AtomicU64::new(2),
            running: AtomicU64::new(0),
            peak_running: AtomicU64::new(0),
            started: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            overloaded: AtomicU64::new(0),
            cold_capacity: 2,
            warm_capacity: 16,
            warm_tokens: 64,
            tokens: AtomicU64::new(0),
            break_after_tokens: AtomicU64::new(0),
            omits_end_mark: AtomicBool::new(false),
            sends_wrong_id: AtomicBool::new(false),
        }
    }
}

/// Counts a request as running until the guard is dropped, so that aborted requests are counted
/// too.
struct RunningGuard(Arc<FakeEngine>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl FakeEngine {
    pub async fn serve(self: Arc<Self>, address: SocketAddr) -> FakeServer {
        let engine = move |request: Request| self.clone().draft(request);
        FakeServer::start(address, Router::new().route("/{*path}", any(engine))).await
    }

    /// Concurrent requests that the engine can run now; grows linearly with its tokens until it is
    /// warm.
    pub fn current_capacity(&self) -> u64 {
        let warm_up_tokens = self.tokens.load(Ordering::SeqCst).min(self.warm_tokens);
        self.cold_capacity
            + (self.warm_capacity - self.cold_capacity) * warm_up_tokens / self.warm_tokens.max(1)
    }

    /// Makes the engine cold again without notifying any process.
    pub fn make_cold(&self) {
        self.tokens.store(0, Ordering::SeqCst);
    }

    /// Counts a request as started and running.
    fn start_request(self: &Arc<Self>) -> RunningGuard {
        self.started.fetch_add(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak_running.fetch_max(running, Ordering::SeqCst);
        if running > self.current_capacity() {
            self.overloaded.fetch_add(1, Ordering::SeqCst);
        }
        RunningGuard(self.clone())
    }

    async fn draft(self: Arc<Self>, request: Request) -> Response {
        let guard = self.start_request();
        let headers = request.headers().clone();
        let id = headers.get("x-request-id").cloned();
        let resume_after =
            headers.get(RESUME_AFTER).and_then(|it| it.to_str().ok()?.parse().ok()).unwrap_or(0);
        let body = read_body(
            request.into_body(),
            alderbay::units::ByteCount(8 << 20),
            Duration::from_secs(10),
        )
        .await;
        let Ok(Ok(draft)) = body.map(|it| serde_json::from_slice::<DraftBody>(&it)) else {
            return text_response(StatusCode::BAD_REQUEST, "bad draft\n");
        };
        let prompt =
            draft.prompt.clone().unwrap_or_else(|| serde_json::to_string(&draft.messages).unwrap());
        let mut answer = match draft.stream {
            true => self.clone().answer_as_stream(guard, prompt, draft.max_tokens, resume_after),
            false => self.answer_at_once(guard, prompt, draft.max_tokens).await,
        };
        let id = if self.sends_wrong_id.load(Ordering::SeqCst) {
            Some("another".parse().unwrap())
        } else {
            id
        };
        if let Some(id) = id {
            answer.headers_mut().insert("x-request-id", id);
        }
        answer
    }

    /// Waits for the time that one token takes and counts it.
    async fn generate_token(&self) {
        // A cold engine is slower.
        let slow_factor = if self.tokens.load(Ordering::SeqCst) < self.warm_tokens { 2 } else { 1 };
        let pause = Duration::from_millis(self.token_ms.load(Ordering::SeqCst) * slow_factor);
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        self.tokens.fetch_add(1, Ordering::SeqCst);
    }

    async fn answer_at_once(
        &self,
        _guard: RunningGuard,
        prompt: String,
        max_tokens: u64,
    ) -> Response {
        for _ in 0..max_tokens {
            self.generate_token().await;
        }
        self.finished.fetch_add(1, Ordering::SeqCst);
        let answer = serde_json::json!({
            "object": "text_completion",
            "choices": [{ "index": 0, "text": draft_text(&prompt, max_tokens), "finish_reason": "stop" }],
            "usage": { "completion_tokens": max_tokens },
        });
        json_response(StatusCode::OK, &answer)
    }

    fn answer_as_stream(
        self: Arc<Self>,
        guard: RunningGuard,
        prompt: String,
        max_tokens: u64,
        resume_after: u64,
    ) -> Response {
        let (sender, body) = relay_body();
        tokio::spawn(async move {
            let _guard = guard;
            let break_after_tokens = self.break_after_tokens.load(Ordering::SeqCst);
            for n in resume_after..max_tokens {
                if break_after_tokens > 0 && n >= resume_after + break_after_tokens {
                    return;
                }
                self.generate_token().await;
                let chunk = serde_json::json!({ "choices": [{ "index": 0, "text": token_text(&prompt, n) }] });
                if sender.send(Ok(Bytes::from(format!("data: {chunk}\n\n")))).await.is_err() {
                    return;
                }
            }
            if !self.omits_end_mark.load(Ordering::SeqCst) {
                let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
            }
            self.finished.fetch_add(1, Ordering::SeqCst);
        });
        let mut answer = Response::new(Body::from_body(body));
        answer.headers_mut().insert("content-type", "text/event-stream".parse().unwrap());
        answer
    }
}

/// Text of token `n` of a draft.
pub fn token_text(prompt: &str, n: u64) -> String {
    format!("{:x}-{n} ", xxh3_64(prompt.as_bytes()))
}

/// Expected text of a draft with this many tokens.
pub fn draft_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|n| token_text(prompt, n)).collect()
}
