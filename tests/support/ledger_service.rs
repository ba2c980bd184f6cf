//! Fake of a plain service that is not idempotent: it counts how often each body was posted.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use alderbay::http::{json_response, text_response};
use http::StatusCode;
use volo_http::{
    body::BodyConversion,
    request::Request,
    response::Response,
    server::{Router, route::any},
};

use super::fake_server::FakeServer;

#[derive(Default)]
pub struct FakeLedger {
    /// Number of runs by request body.
    pub runs: Mutex<HashMap<String, u64>>,
    /// Duration of a run, in milliseconds.
    pub run_ms: AtomicU64,
    /// Runs each post, then drops the connection instead of answering.
    pub drops_answers: AtomicBool,
}

impl FakeLedger {
    pub async fn serve(self: Arc<Self>, address: SocketAddr) -> FakeServer {
        let post = move |request: Request| self.clone().post(request);
        FakeServer::start(address, Router::new().route("/{*path}", any(post))).await
    }

    /// Number of times that `body` was posted.
    pub fn runs_of(&self, body: &str) -> u64 {
        self.runs.lock().unwrap().get(body).copied().unwrap_or(0)
    }

    async fn post(self: Arc<Self>, request: Request) -> Response {
        if request.method() == http::Method::GET {
            return text_response(StatusCode::OK, "balance 0\n");
        }
        let body = request.into_body().into_string().await.unwrap();
        *self.runs.lock().unwrap().entry(body.clone()).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(self.run_ms.load(Ordering::SeqCst))).await;
        if self.drops_answers.load(Ordering::SeqCst) {
            // A panic in the handler makes the server drop the connection without an answer.
            std::panic::resume_unwind(Box::new("answer dropped"));
        }
        json_response(StatusCode::CREATED, &serde_json::json!({ "posted": body }))
    }
}
