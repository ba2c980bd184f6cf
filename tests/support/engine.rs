//! Stand-in for a model engine: streams tokens, is cold after its start, resumes, and can be made
//! to fail.
//!
//! Token `n` of a draft is `"{prompt hash}-{n} "`, so that whoever reads a stream can tell a lost,
//! a repeated and a foreign token.

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

use super::stand_in::StandIn;

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

/// The engine, with what it saw and the faults that tests set.
pub struct FakeEngine {
    pub token_ms: AtomicU64,
    pub running: AtomicU64,
    pub most_running: AtomicU64,
    pub started: AtomicU64,
    pub finished: AtomicU64,
    /// Requests that began while more ran than it could bear.
    pub overloaded: AtomicU64,
    /// Requests it bears right after its start, and when warm.
    pub cold_bears: u64,
    pub warm_bears: u64,
    /// Tokens after which it is warm.
    pub warm_tokens: u64,
    pub tokens: AtomicU64,
    /// Breaks off each stream after this many tokens; zero never does.
    pub breaks_after: AtomicU64,
    /// Ends streams without their end mark.
    pub truncates: AtomicBool,
    /// Answers with the id of another request.
    pub crosses: AtomicBool,
}

impl Default for FakeEngine {
    fn default() -> Self {
        Self {
            token_ms: AtomicU64::new(2),
            running: AtomicU64::new(0),
            most_running: AtomicU64::new(0),
            started: AtomicU64::new(0),
            finished: AtomicU64::new(0),
            overloaded: AtomicU64::new(0),
            cold_bears: 2,
            warm_bears: 16,
            warm_tokens: 64,
            tokens: AtomicU64::new(0),
            breaks_after: AtomicU64::new(0),
            truncates: AtomicBool::new(false),
            crosses: AtomicBool::new(false),
        }
    }
}

/// Counts a request as running until it is dropped, however it ends.
struct RunningGuard(Arc<FakeEngine>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

impl FakeEngine {
    pub async fn serve(self: Arc<Self>, address: SocketAddr) -> StandIn {
        let engine = move |request: Request| self.clone().draft(request);
        StandIn::start(address, Router::new().route("/{*path}", any(engine))).await
    }

    /// Requests at once that it bears now.
    pub fn bears(&self) -> u64 {
        let warmth = self.tokens.load(Ordering::SeqCst).min(self.warm_tokens);
        self.cold_bears + (self.warm_bears - self.cold_bears) * warmth / self.warm_tokens.max(1)
    }

    /// Makes it cold again without a word to anybody.
    pub fn chill(&self) {
        self.tokens.store(0, Ordering::SeqCst);
    }

    fn begin(self: &Arc<Self>) -> RunningGuard {
        self.started.fetch_add(1, Ordering::SeqCst);
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        self.most_running.fetch_max(running, Ordering::SeqCst);
        if running > self.bears() {
            self.overloaded.fetch_add(1, Ordering::SeqCst);
        }
        RunningGuard(self.clone())
    }

    async fn draft(self: Arc<Self>, request: Request) -> Response {
        let guard = self.begin();
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
            true => self.clone().stream(guard, prompt, draft.max_tokens, resume_after),
            false => self.whole(guard, prompt, draft.max_tokens).await,
        };
        let id =
            if self.crosses.load(Ordering::SeqCst) { Some("another".parse().unwrap()) } else { id };
        if let Some(id) = id {
            answer.headers_mut().insert("x-request-id", id);
        }
        answer
    }

    async fn token(&self) {
        // A cold engine is several times slower.
        let slowness = if self.tokens.load(Ordering::SeqCst) < self.warm_tokens { 2 } else { 1 };
        let pause = Duration::from_millis(self.token_ms.load(Ordering::SeqCst) * slowness);
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        self.tokens.fetch_add(1, Ordering::SeqCst);
    }

    async fn whole(&self, _guard: RunningGuard, prompt: String, max_tokens: u64) -> Response {
        for _ in 0..max_tokens {
            self.token().await;
        }
        self.finished.fetch_add(1, Ordering::SeqCst);
        let answer = serde_json::json!({
            "object": "text_completion",
            "choices": [{ "index": 0, "text": draft_text(&prompt, max_tokens), "finish_reason": "stop" }],
            "usage": { "completion_tokens": max_tokens },
        });
        json_response(StatusCode::OK, &answer)
    }

    fn stream(
        self: Arc<Self>,
        guard: RunningGuard,
        prompt: String,
        max_tokens: u64,
        resume_after: u64,
    ) -> Response {
        let (sender, body) = relay_body();
        tokio::spawn(async move {
            let _guard = guard;
            let breaks_after = self.breaks_after.load(Ordering::SeqCst);
            for n in resume_after..max_tokens {
                if breaks_after > 0 && n >= resume_after + breaks_after {
                    return;
                }
                self.token().await;
                let chunk = serde_json::json!({ "choices": [{ "index": 0, "text": token_text(&prompt, n) }] });
                if sender.send(Ok(Bytes::from(format!("data: {chunk}\n\n")))).await.is_err() {
                    return;
                }
            }
            if !self.truncates.load(Ordering::SeqCst) {
                let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
            }
            self.finished.fetch_add(1, Ordering::SeqCst);
        });
        let mut answer = Response::new(Body::from_body(body));
        answer.headers_mut().insert("content-type", "text/event-stream".parse().unwrap());
        answer
    }
}

pub fn token_text(prompt: &str, n: u64) -> String {
    format!("{:x}-{n} ", xxh3_64(prompt.as_bytes()))
}

/// The whole text of a draft.
pub fn draft_text(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|n| token_text(prompt, n)).collect()
}
