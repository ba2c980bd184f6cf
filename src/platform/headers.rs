//! Headers of callers and backend servers.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use smol_str::SmolStr;

use crate::units::{ClientAccount, RequestId, ServerId};

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
// How long the caller still waits, in milliseconds.
const TIME_BUDGET_MS: HeaderName = HeaderName::from_static("time-budget-ms");
const RESUME_AFTER: HeaderName = HeaderName::from_static("last-event-id");
const ACCOUNT: HeaderName = HeaderName::from_static("tenant");
const EXPECTED_SERVER: HeaderName = HeaderName::from_static("expect-instance");
const REQUEST_PRIORITY: HeaderName = HeaderName::from_static("request-priority");
// A server's signature under its answer.
const SIGNATURE: HeaderName = HeaderName::from_static("response-stamp");
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
// Scheme of the authorization header.
const AUTH_SCHEME: &str = "Token ";

/// Path on which the platform's balancer asks whether a gateway takes callers.
pub const READY_PATH: &str = "/v1/readyz";

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    HeaderName::from_static("proxy-connection"),
    header::CONTENT_LENGTH,
];

/// What a caller says in the headers of its request.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerHeaders {
    /// The request's id, if it is one.
    pub request_id: Option<RequestId>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// The key that it shows.
    pub api_key: Option<SmolStr>,
    /// Id of the last event that it has of a stream.
    pub resume_after: Option<SmolStr>,
}

impl CallerHeaders {
    /// Reads the headers.
    ///
    /// ```
    /// use alderbay::platform::CallerHeaders;
    /// let headers = CallerHeaders::decode(&http::HeaderMap::new());
    /// assert_eq!(headers.api_key, None);
    /// ```
    pub fn decode(headers: &HeaderMap) -> Self {
        let text = |name: &HeaderName| headers.get(name).and_then(|it| it.to_str().ok());
        Self {
            request_id: text(&REQUEST_ID).and_then(|it| it.parse().ok()),
            time_left: text(&TIME_BUDGET_MS)
                .and_then(|it| it.parse().ok())
                .map(Duration::from_millis),
            api_key: text(&header::AUTHORIZATION)
                .and_then(|it| it.strip_prefix(AUTH_SCHEME))
                .map(|it| it.trim().into()),
            resume_after: text(&RESUME_AFTER).map(SmolStr::new),
        }
    }
}

/// Headers of one attempt at a backend server.
#[derive(Clone, Debug)]
pub struct AttemptHeaders<'a> {
    /// The only server that may run it.
    pub server: &'a ServerId,
    /// Whose request it is.
    pub account: Option<&'a ClientAccount>,
    /// How long the caller still waits.
    pub time_left: Duration,
    /// Id of the last event that the caller has.
    pub resume_after: Option<&'a str>,
}

/// The headers of an attempt: the caller's, less those of its connection and its key, with those
/// that the system sets.
pub fn build_attempt_headers(caller: &HeaderMap, attempt: &AttemptHeaders<'_>) -> HeaderMap {
    let mut headers = strip_hop_by_hop(caller);
    for name in [header::AUTHORIZATION, ACCOUNT, EXPECTED_SERVER, REQUEST_PRIORITY, header::EXPECT]
    {
        headers.remove(name);
    }
    let mut set = |name: HeaderName, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => log::warn!(header:% = name, error:% = error; "value fits no header"),
    };
    set(EXPECTED_SERVER, attempt.server.as_str());
    set(TIME_BUDGET_MS, &attempt.time_left.as_millis().max(1).to_string());
    if let Some(account) = attempt.account {
        set(ACCOUNT, account.as_str());
    }
    if let Some(event) = attempt.resume_after {
        set(RESUME_AFTER, event);
    }
    headers
}

/// Headers that are passed on, without those of the connection.
pub fn strip_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    let mut kept = headers.clone();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        kept.remove(name);
    }
    kept
}

/// What the head of a backend server's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// An answer of the server to this request.
    Genuine,
    /// The server did not run the request.
    NotRun,
    /// Another server has the address; nothing ran.
    WrongServer,
    /// Not an answer to this request, or not the server's.
    Foreign,
}

/// Judges the head of an answer to `request`.
///
/// ```
/// use alderbay::platform::{ResponseKind, classify_response};
/// use http::{HeaderMap, StatusCode};
/// let kind = classify_response(StatusCode::OK, &HeaderMap::new(), &HeaderMap::new());
/// assert_eq!(kind, ResponseKind::Foreign, "a success without a signature");
/// ```
pub fn classify_response(
    status: StatusCode,
    headers: &HeaderMap,
    request: &HeaderMap,
) -> ResponseKind {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseKind::WrongServer;
    }
    let is_echoed = headers.get(REQUEST_ID).is_none_or(|it| request.get(REQUEST_ID) == Some(it));
    if !is_echoed {
        return ResponseKind::Foreign;
    }
    if headers.contains_key(NOT_RUN) {
        return ResponseKind::NotRun;
    }
    let is_signed = headers.contains_key(SIGNATURE);
    if status.is_success() && !is_signed || headers.contains_key(header::CONTENT_ENCODING) {
        return ResponseKind::Foreign;
    }
    ResponseKind::Genuine
}

/// Puts the request's id on an answer of the system's own.
pub fn echo_request_id(request: &HeaderMap, answer: &mut HeaderMap) {
    if let Some(id) = request.get(REQUEST_ID) {
        answer.insert(REQUEST_ID, id.clone());
    }
}

/// Says when it is worth asking again, in seconds with a fraction.
///
/// ```
/// use alderbay::platform::set_retry_after;
/// let mut headers = http::HeaderMap::new();
/// set_retry_after(&mut headers, std::time::Duration::from_millis(1_500));
/// assert_eq!(headers["retry-after"], "1.500");
/// ```
pub fn set_retry_after(answer: &mut HeaderMap, delay: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())) {
        answer.insert(header::RETRY_AFTER, value);
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
        pairs
            .iter()
            .map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)))
            .collect()
    }

    #[gtest]
    fn key_is_not_passed_on() {
        let caller = headers(&[
            ("authorization", "Token k"),
            ("tenant", "forged"),
            ("connection", "x-hop"),
            ("x-hop", "1"),
            ("model", "m"),
        ]);
        let server = "i-1".parse().unwrap();
        let account = "acc".parse().unwrap();
        let attempt = AttemptHeaders {
            server: &server,
            account: Some(&account),
            time_left: Duration::from_millis(700),
            resume_after: None,
        };
        let sent = build_attempt_headers(&caller, &attempt);
        let expected = headers(&[
            ("model", "m"),
            ("tenant", "acc"),
            ("expect-instance", "i-1"),
            ("time-budget-ms", "700"),
        ]);
        assert_that!(sent, eq(&expected));
    }

    #[gtest]
    fn crossed_answer_is_foreign() {
        let request = headers(&[("request-id", "a")]);
        let answer = headers(&[("request-id", "b"), ("response-stamp", "s")]);
        let kind = classify_response(StatusCode::OK, &answer, &request);
        assert_that!(kind, eq(ResponseKind::Foreign));
        let unsigned = headers(&[("request-id", "a")]);
        let kind = classify_response(StatusCode::OK, &unsigned, &request);
        assert_that!(kind, eq(ResponseKind::Foreign));
    }
}
