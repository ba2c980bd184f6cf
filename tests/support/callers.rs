//! Callers: one connection for each request, so that nothing is retried behind a test's back.

use std::{net::SocketAddr, time::Duration};

use alderbay::http::ErrorBody;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use uuid::Uuid;

/// A client account with its secret.
#[derive(Clone, Debug)]
pub struct Caller {
    pub account: String,
    pub secret: String,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the body came to its proper end.
    pub is_whole: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Code and outcome of an error.
    pub fn error(&self) -> (String, String) {
        let body: ErrorBody =
            serde_json::from_slice(&self.body).unwrap_or_else(|_| panic!("no error: {self:?}"));
        (body.error.code.to_string(), body.error.outcome.to_string())
    }

    /// Texts of a stream's events, and whether it ended with its mark. An error event ends the text.
    pub fn stream(&self) -> (String, bool) {
        let text = self.text();
        let mut whole = String::new();
        for event in text.split("\n\n") {
            let Some(data) = event.strip_prefix("data: ") else { break };
            if data == "[DONE]" {
                return (whole, true);
            }
            let chunk: serde_json::Value = serde_json::from_str(data).unwrap();
            whole.push_str(chunk["choices"][0]["text"].as_str().unwrap());
        }
        (whole, false)
    }
}

impl Caller {
    pub fn new(account: &str) -> Self {
        Self { account: account.into(), secret: format!("secret-of-{account}") }
    }

    pub fn bearer(&self) -> String {
        format!("Bearer {}.{}", self.account, self.secret)
    }

    /// Sends a request and reads the whole answer. None where the connection breaks before the
    /// head.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: http::request::Builder,
        body: impl Into<Bytes>,
    ) -> Option<Answer> {
        let (response, _connection) = self.open(to, request, body).await?;
        Some(read_answer(response).await)
    }

    /// Sends a request and gives the answer as it begins.
    pub async fn open(
        &self,
        to: SocketAddr,
        request: http::request::Builder,
        body: impl Into<Bytes>,
    ) -> Option<(Response<Incoming>, tokio_util::task::AbortOnDropHandle<()>)> {
        let request = request.header("host", to.to_string()).header("authorization", self.bearer());
        let stream = TcpStream::connect(to).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::spawn(async move { drop(connection.await) });
        let guard = tokio_util::task::AbortOnDropHandle::new(task);
        let response =
            sender.send_request(request.body(Full::new(body.into())).unwrap()).await.ok()?;
        Some((response, guard))
    }

    pub async fn draft(
        &self,
        to: SocketAddr,
        model: &str,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> Option<Answer> {
        self.send(to, draft_request(), draft_body(model, prompt, tokens, stream)).await
    }

    pub async fn post(
        &self,
        to: SocketAddr,
        service: &str,
        key: Option<Uuid>,
        body: &str,
    ) -> Option<Answer> {
        let mut request =
            Request::builder().method(Method::POST).uri(format!("/services/{service}/mandates"));
        if let Some(key) = key {
            request = request.header("idempotency-key", key.to_string());
        }
        self.send(to, request.header("x-deadline-ms", "20000"), body.to_owned()).await
    }
}

pub fn draft_request() -> http::request::Builder {
    Request::builder().method(Method::POST).uri("/v1/completions").header("x-deadline-ms", "30000")
}

pub fn draft_body(model: &str, prompt: &str, tokens: u64, stream: bool) -> String {
    serde_json::json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream })
        .to_string()
}

pub async fn read_answer(response: Response<Incoming>) -> Answer {
    let (parts, mut body) = response.into_parts();
    let mut whole = Vec::new();
    let mut is_whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => whole.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_whole = false;
                break;
            }
        }
    }
    Answer { status: parts.status.as_u16(), headers: parts.headers, body: whole.into(), is_whole }
}

/// Asks until `is_met`, for at most `limit`.
pub async fn wait_until<F: Future<Output = bool>>(
    limit: Duration,
    mut is_met: impl FnMut() -> F,
) -> bool {
    let deadline = tokio::time::Instant::now() + limit;
    while tokio::time::Instant::now() < deadline {
        if is_met().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}
