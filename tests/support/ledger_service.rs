//! Stand-in for a plain service that counts how often each body was posted.

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

use super::stand_in::StandIn;

#[derive(Default)]
pub struct FakeLedger {
    /// Runs by body.
    pub runs: Mutex<HashMap<String, u64>>,
    /// Time that a run takes, in milliseconds.
    pub run_ms: AtomicU64,
    /// Posts, and then drops the connection instead of answering.
    pub drops_answers: AtomicBool,
}

impl FakeLedger {
    pub async fn serve(self: Arc<Self>, address: SocketAddr) -> StandIn {
        let post = move |request: Request| self.clone().post(request);
        StandIn::start(address, Router::new().route("/{*path}", any(post))).await
    }

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
            // A panic in a handler drops the connection without an answer.
            std::panic::resume_unwind(Box::new("answer dropped"));
        }
        json_response(StatusCode::CREATED, &serde_json::json!({ "posted": body }))
    }
}
