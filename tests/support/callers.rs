//! HTTP clients that act as callers. Each request uses its own connection, so that no client
//! library retries a request unnoticed.

use std::{net::SocketAddr, time::Duration};

use alderbay::http::ErrorBody;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use uuid::Uuid;

/// Credentials of a client account.
#[derive(Clone, Debug)]
pub struct Caller {
    pub account: String,
    pub secret: String,
}

/// An answer that was read to its end or until its connection broke.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Whether the body ended properly rather than by a broken connection.
    pub is_complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Refusal code and outcome of an error answer. Panics on any other answer.
    pub fn error(&self) -> (String, String) {
        let body: ErrorBody =
            serde_json::from_slice(&self.body).unwrap_or_else(|_| panic!("no error: {self:?}"));
        (body.error.code.to_string(), body.error.outcome.to_string())
    }

    /// Concatenated token texts of an event stream, and whether it ended with `[DONE]`. The text
    /// ends at an error event.
    pub fn stream(&self) -> (String, bool) {
        let text = self.text();
        let mut tokens = String::new();
        for event in text.split("\n\n") {
            let Some(data) = event.strip_prefix("data: ") else { break };
            if data == "[DONE]" {
                return (tokens, true);
            }
            let chunk: serde_json::Value = serde_json::from_str(data).unwrap();
            tokens.push_str(chunk["choices"][0]["text"].as_str().unwrap());
        }
        (tokens, false)
    }
}

impl Caller {
    /// The account's secret follows from its name, as the fleet publishes it.
    pub fn new(account: &str) -> Self {
        Self { account: account.into(), secret: format!("secret-of-{account}") }
    }

    /// Value of the `Authorization` header.
    pub fn bearer(&self) -> String {
        format!("Bearer {}.{}", self.account, self.secret)
    }

    /// Sends a request and reads the answer to its end. None if the connection breaks before the
    /// answer's head.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: http::request::Builder,
        body: impl Into<Bytes>,
    ) -> Option<Answer> {
        let (response, _connection) = self.open(to, request, body).await?;
        Some(read_answer(response).await)
    }

    /// Sends a request and returns the answer once its head has arrived. Dropping the handle closes
    /// the connection. None if the connection breaks before the head.
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

    /// Requests a completion of `tokens` tokens; `stream` selects an event stream.
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

    /// Posts a mandate to a plain service, keyed if `key` is given.
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
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    Answer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: bytes.into(),
        is_complete,
    }
}

/// Polls every 20 ms until `is_met` returns true. Returns false after `timeout`.
pub async fn wait_until<F: Future<Output = bool>>(
    timeout: Duration,
    mut is_met: impl FnMut() -> F,
) -> bool {
    let deadline = tokio::time::Instant::now() + timeout;
    while tokio::time::Instant::now() < deadline {
        if is_met().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}
