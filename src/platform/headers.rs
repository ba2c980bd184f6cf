//! The platform's HTTP headers on requests of callers and responses of backend servers.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use smol_str::SmolStr;

use crate::{
    routing::{LimitNotice, RequestSize, ServerNotice},
    units::{
        ClientAccount, RequestId, RequestRate, ServerId, TokenCount, UrgencyRank, WeightVersion,
    },
};

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
// Time until the caller's deadline in milliseconds.
const TIME_BUDGET_MS: HeaderName = HeaderName::from_static("time-budget-ms");
const RESUME_AFTER: HeaderName = HeaderName::from_static("last-event-id");
// The platform's name for the client account.
const ACCOUNT: HeaderName = HeaderName::from_static("tenant");
// Id of the only server that may run the request; another server refuses it with status 421.
const EXPECTED_SERVER: HeaderName = HeaderName::from_static("expect-instance");
// Version of the weights that the caller expects; a server with others refuses with status 421.
const EXPECTED_WEIGHTS: HeaderName = HeaderName::from_static("expect-version");
// Version of the weights of the server that responds.
const WEIGHT_VERSION: HeaderName = HeaderName::from_static("weight-versions");
// Ids of the server that responds, and of the one at fault.
const SERVER_NAMES: [HeaderName; 2] =
    [HeaderName::from_static("instance-id"), HeaderName::from_static("at-server")];
// Urgency of the request in the server's queue, 0 to 9; 0 is the most urgent.
const REQUEST_PRIORITY: HeaderName = HeaderName::from_static("request-priority");
// Number of prompt tokens and maximum number of output tokens, separated by a comma.
const TOKEN_COUNTS: HeaderName = HeaderName::from_static("token-counts");
// The caller's estimate of the number of output tokens.
const LENGTH_HINT: HeaderName = HeaderName::from_static("length-hint");
// The parts of the prompt in order, as `id:tokens` separated by commas. The last one belongs to the
// request itself or to its session, the others are shared with other requests.
const PROMPT_PARTS: HeaderName = HeaderName::from_static("prompt-prefix");
// A server's signature on its response. Only its presence is checked.
const SIGNATURE: HeaderName = HeaderName::from_static("response-stamp");
// Present on a response if the server did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
// Present on a response if the server shuts down soon.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
// Number of requests per second that the server takes from all gateways together; with a fraction.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
// Scheme in front of the API key in the authorization header.
const AUTH_SCHEME: &str = "Token ";

/// Longest time for which a server's wish for rest is respected. A server that means more has most
/// likely sent a wrong number.
const MAX_REST: Duration = Duration::from_secs(600);

/// Largest limit that is told from none at all, in requests per second. No server comes near it.
const MAX_LIMIT: f64 = 1e6;

/// Path at which the platform's load balancer probes the readiness of a gateway.
pub const READY_PATH: &str = "/v1/readyz";

/// Headers that apply to one connection only and are never forwarded. `Content-Length` is among
/// them because the HTTP library sets it anew for the forwarded body.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    HeaderName::from_static("proxy-connection"),
    header::CONTENT_LENGTH,
];

/// Decoded headers of a caller's request. A missing or invalid header gives `None`.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerHeaders {
    /// Id of the request.
    pub request_id: Option<RequestId>,
    /// Time until the caller's deadline when it sent the request.
    pub time_left: Option<Duration>,
    /// The caller's API key, which identifies its account.
    pub api_key: Option<SmolStr>,
    /// Id of the last event that the caller received from an interrupted stream.
    pub resume_after: Option<SmolStr>,
    /// Ids of the parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<SmolStr>,
    /// Size of the request in tokens, as the caller states it.
    pub size: Option<RequestSize>,
    /// Version of the weights that the caller expects of the server.
    pub weight_version: Option<WeightVersion>,
}

impl CallerHeaders {
    /// Decodes the headers; others than these fields are ignored.
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
            shared_parts: text(&PROMPT_PARTS).map(decode_shared_parts).unwrap_or_default(),
            size: text(&TOKEN_COUNTS).and_then(|it| decode_size(it, text(&LENGTH_HINT))),
            weight_version: text(&EXPECTED_WEIGHTS).and_then(|it| it.trim().parse().ok()),
        }
    }
}

/// Decodes the ids of all parts of a prompt but the last one. An id without a number of tokens is
/// taken as it is.
fn decode_shared_parts(text: &str) -> Vec<SmolStr> {
    let mut parts: Vec<&str> = text.split(',').collect();
    parts.pop();
    let id = |part: &&str| part.split(':').next().unwrap_or_default().trim().to_ascii_lowercase();
    let ids = parts.iter().map(id).filter(|it| !it.is_empty());
    ids.map(SmolStr::from).collect()
}

/// Largest number of tokens that a caller may state. More is taken as this many.
const MAX_TOKENS: u64 = 10_000_000;

/// Decodes the numbers of tokens of a request. An estimate of the output that exceeds its maximum or
/// cannot be read counts as the maximum.
fn decode_size(counts: &str, hint: Option<&str>) -> Option<RequestSize> {
    let number = |text: &str| text.trim().parse::<u64>().ok().map(|it| it.min(MAX_TOKENS));
    let (prompt, output) = counts.split_once(',')?;
    let max_output = number(output)?;
    let expected = hint.and_then(number).map_or(max_output, |it| it.min(max_output));
    Some(RequestSize { prompt: TokenCount(number(prompt)?), output: TokenCount(expected) })
}

/// Values of the headers that the gateway sets on one attempt at a backend server.
#[derive(Clone, Debug)]
pub struct AttemptHeaders<'a> {
    /// The only server that may run the request.
    pub server: &'a ServerId,
    /// The caller's account; `None` without a known API key, as on public routes.
    pub account: Option<&'a ClientAccount>,
    /// Urgency of the request in the server's queue; `None` leaves the server's default.
    pub rank: Option<UrgencyRank>,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Id of the last event that the caller received; `None` starts the stream from its beginning.
    pub resume_after: Option<&'a str>,
}

/// Builds the headers of an attempt: the caller's headers without hop-by-hop headers and API key,
/// plus those in `attempt`. Headers that only the gateway may set are replaced or removed.
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
        Err(error) => log::warn!(header:% = name, error:% = error; "invalid header value, not set"),
    };
    set(EXPECTED_SERVER, attempt.server.as_str());
    set(TIME_BUDGET_MS, &attempt.time_left.as_millis().max(1).to_string());
    if let Some(account) = attempt.account {
        set(ACCOUNT, account.as_str());
    }
    if let Some(rank) = attempt.rank {
        set(REQUEST_PRIORITY, &rank.to_string());
    }
    if let Some(event) = attempt.resume_after {
        set(RESUME_AFTER, event);
    }
    headers
}

/// Copies the headers without the hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named) {
        forwarded.remove(name);
    }
    forwarded
}

/// Classification of a backend server's response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The server's response to this request.
    Genuine,
    /// The server did not run the request.
    NotRun,
    /// Another server has the address now; nothing ran.
    WrongServer,
    /// The server has other weights than the caller expects; nothing ran.
    OtherWeights,
    /// A response to another request, or one that does not come from a server of the platform: it
    /// echoes another request id, a refusal echoes none, a success has no signature, or the body has a
    /// content encoding.
    Foreign,
}

/// Classifies a response by its status and headers, given the headers of the caller's request and the
/// server that it was sent to.
///
/// ```
/// use alderbay::platform::{ResponseKind, classify_response};
/// use http::{HeaderMap, StatusCode};
/// let server = "i-1".parse()?;
/// let kind = classify_response(StatusCode::OK, &HeaderMap::new(), &HeaderMap::new(), &server);
/// assert_eq!(kind, ResponseKind::Foreign, "a success without a signature");
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn classify_response(
    status: StatusCode,
    headers: &HeaderMap,
    request: &HeaderMap,
    server: &ServerId,
) -> ResponseKind {
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    let is_refusal = is_misdirected || headers.contains_key(NOT_RUN);
    // A faulty server may write a refusal once more, for a request that it runs. Only the id tells
    // that it belongs to this one.
    let is_echoed = match headers.get(REQUEST_ID) {
        Some(id) => request.get(REQUEST_ID) == Some(id),
        None => !is_refusal || !request.contains_key(REQUEST_ID),
    };
    if !is_echoed {
        return ResponseKind::Foreign;
    }
    if is_misdirected {
        return match may_lack_weights(headers, request, server) {
            true => ResponseKind::OtherWeights,
            false => ResponseKind::WrongServer,
        };
    }
    if is_refusal {
        return ResponseKind::NotRun;
    }
    let is_signed = headers.contains_key(SIGNATURE);
    if status.is_success() && !is_signed || headers.contains_key(header::CONTENT_ENCODING) {
        return ResponseKind::Foreign;
    }
    ResponseKind::Genuine
}

/// Whether the weights that the caller expects may be the reason of a 421, which also comes from another
/// server at the address. A server that names itself decides; without a name, the next request that
/// expects no weights does.
fn may_lack_weights(headers: &HeaderMap, request: &HeaderMap, server: &ServerId) -> bool {
    let Some(expected) = request.get(EXPECTED_WEIGHTS) else { return false };
    let named = SERVER_NAMES.iter().find_map(|it| headers.get(it));
    let is_this_server = named.is_none_or(|it| it.as_bytes() == server.as_str().as_bytes());
    is_this_server && headers.get(WEIGHT_VERSION) != Some(expected)
}

/// Decodes what a server says about itself in the head of a response, whatever the response is.
///
/// `Retry-After` counts only with status 503, in seconds that may have a fraction. A negative or
/// unreadable value, or a date, is logged and ignored; more than ten minutes counts as ten minutes.
///
/// A limit on requests is a number per second that is not negative and may have a fraction; more than
/// a million counts as a million.
///
/// ```
/// use std::time::Duration;
/// use alderbay::platform::decode_server_notice;
/// use http::{HeaderMap, HeaderValue, StatusCode};
/// let headers = HeaderMap::from_iter([(
///     http::header::RETRY_AFTER,
///     HeaderValue::from_static("1.5"),
/// )]);
/// let notice = decode_server_notice(StatusCode::SERVICE_UNAVAILABLE, &headers);
/// assert_eq!(notice.rest, Some(Duration::from_millis(1_500)));
/// assert!(!notice.is_leaving);
/// ```
pub fn decode_server_notice(status: StatusCode, headers: &HeaderMap) -> ServerNotice {
    let is_leaving = headers.get(SERVER_LEAVING).is_some_and(|it| it.as_bytes() == b"1");
    let wish = headers.get(header::RETRY_AFTER).filter(|_| status.as_u16() == 503);
    let rest = wish.and_then(|value| {
        let seconds = value.to_str().ok().and_then(|it| it.trim().parse::<f64>().ok());
        let seconds = seconds.filter(|it| *it >= 0.0);
        if seconds.is_none() {
            log::info!("unreadable delay in a server's response, ignored");
        }
        seconds.map(|it| Duration::from_secs_f64(it.min(MAX_REST.as_secs_f64())))
    });
    let limit = decode_limit(headers);
    ServerNotice { is_leaving, rest: rest.filter(|it| !it.is_zero()), limit }
}

fn decode_limit(headers: &HeaderMap) -> LimitNotice {
    let Some(value) = headers.get(SERVER_LIMIT) else { return LimitNotice::Absent };
    let rate = value.to_str().ok().and_then(|it| it.trim().parse::<f64>().ok());
    // `min` would turn a value that is not a number into the maximum.
    let rate = rate.filter(|it| !it.is_nan());
    let rate = rate.and_then(|it| RequestRate::try_from(it.min(MAX_LIMIT)).ok());
    rate.map_or(LimitNotice::Unreadable, LimitNotice::Named)
}

/// Copies the request id of `request`, if there is one, to a response of the gateway itself.
pub fn echo_request_id(request: &HeaderMap, response: &mut HeaderMap) {
    if let Some(id) = request.get(REQUEST_ID) {
        response.insert(REQUEST_ID, id.clone());
    }
}

/// Sets `Retry-After` in seconds with three decimals. HTTP itself defines whole seconds only.
///
/// ```
/// use alderbay::platform::set_retry_after;
/// let mut headers = http::HeaderMap::new();
/// set_retry_after(&mut headers, std::time::Duration::from_millis(1_500));
/// assert_eq!(headers["retry-after"], "1.500");
/// ```
pub fn set_retry_after(response: &mut HeaderMap, delay: Duration) {
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())) {
        response.insert(header::RETRY_AFTER, value);
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
    fn api_key_is_not_forwarded() {
        let caller = headers(&[
            ("authorization", "Token k"),
            ("tenant", "forged"),
            ("request-priority", "0"),
            ("connection", "x-hop"),
            ("x-hop", "1"),
            ("model", "m"),
        ]);
        let server = "i-1".parse().unwrap();
        let account = "acc".parse().unwrap();
        let attempt = AttemptHeaders {
            server: &server,
            account: Some(&account),
            rank: Some(UrgencyRank(2)),
            time_left: Duration::from_millis(700),
            resume_after: None,
        };
        let sent = build_attempt_headers(&caller, &attempt);
        let expected = headers(&[
            ("model", "m"),
            ("tenant", "acc"),
            ("expect-instance", "i-1"),
            ("time-budget-ms", "700"),
            ("request-priority", "2"),
        ]);
        assert_that!(sent, eq(&expected));
    }

    #[gtest]
    fn wishes_for_rest_are_bounded() {
        let rest = |status, text: &'static str| {
            decode_server_notice(status, &headers(&[("retry-after", text)])).rest
        };
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        assert_that!(rest(unavailable, "0.25"), some(eq(Duration::from_millis(250))));
        assert_that!(rest(unavailable, " 2 "), some(eq(Duration::from_secs(2))));
        assert_that!(rest(unavailable, "1e300"), some(eq(MAX_REST)));
        assert_that!(rest(unavailable, "inf"), some(eq(MAX_REST)));
        for text in ["0", "-1", "NaN", "", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"] {
            assert_that!(rest(unavailable, text), none(), "{text}");
        }
        assert_that!(rest(StatusCode::TOO_MANY_REQUESTS, "2"), none());
    }

    #[gtest]
    fn named_limits_are_bounded() {
        let limit = |text: &'static str| {
            decode_server_notice(StatusCode::OK, &headers(&[("server-limit", text)])).limit
        };
        let named = |rate: f64| eq(LimitNotice::Named(rate.try_into().unwrap()));
        assert_that!(limit("2.4"), named(2.4));
        assert_that!(limit(" 0 "), named(0.0));
        assert_that!(limit("1e300"), named(MAX_LIMIT));
        assert_that!(limit("inf"), named(MAX_LIMIT));
        for text in ["-1", "-inf", "NaN", "", "few", "2,4"] {
            assert_that!(limit(text), eq(LimitNotice::Unreadable), "{text}");
        }
        let absent = decode_server_notice(StatusCode::OK, &HeaderMap::new()).limit;
        assert_that!(absent, eq(LimitNotice::Absent));
    }

    #[gtest]
    fn sizes_are_bounded() {
        let size = |counts: &'static str, hint: &'static str| {
            let headers = headers(&[("token-counts", counts), ("length-hint", hint)]);
            CallerHeaders::decode(&headers).size.map(|it| (it.prompt.0, it.output.0))
        };
        expect_that!(size("1460,80", "60"), some(eq((1_460, 60))));
        expect_that!(size("1460, 80", "90"), some(eq((1_460, 80))), "no more than the maximum");
        expect_that!(size("1460,80", "few"), some(eq((1_460, 80))));
        expect_that!(size("99999999999,80", "1"), some(eq((MAX_TOKENS, 1))));
        for text in ["", "80", "-1,80", "1460;80", "many,few"] {
            expect_that!(size(text, "1"), none(), "{text}");
        }
    }

    #[gtest]
    fn last_part_is_not_shared() {
        let parts = |text: &'static str| {
            CallerHeaders::decode(&headers(&[("prompt-prefix", text)])).shared_parts
        };
        assert_that!(
            parts("5c1e07a2:800, 91BD3F06:410,e4402b7d:250"),
            elements_are![eq("5c1e07a2"), eq("91bd3f06")]
        );
        assert_that!(parts("e4402b7d:250"), is_empty());
        assert_that!(parts(",,:3,"), is_empty());
        let many: Vec<String> = (0..=40).map(|it| format!("{it:x}:1")).collect();
        let many = CallerHeaders::decode(&HeaderMap::from_iter([(
            HeaderName::from_static("prompt-prefix"),
            HeaderValue::from_str(&many.join(",")).unwrap(),
        )]));
        let all: Vec<String> = (0..40).map(|it| format!("{it:x}")).collect();
        assert_that!(many.shared_parts, eq(&all));
    }

    #[gtest]
    fn response_to_another_request_is_foreign() {
        let request = headers(&[("request-id", "a")]);
        let server = "i-1".parse().unwrap();
        let swapped = headers(&[("request-id", "b"), ("response-stamp", "s")]);
        let kind = classify_response(StatusCode::OK, &swapped, &request, &server);
        assert_that!(kind, eq(ResponseKind::Foreign));
        let unsigned = headers(&[("request-id", "a")]);
        let kind = classify_response(StatusCode::OK, &unsigned, &request, &server);
        assert_that!(kind, eq(ResponseKind::Foreign));
    }

    #[gtest]
    fn misdirected_request_tells_other_weights_from_another_server() {
        let server = "i-1".parse().unwrap();
        let kind_of = |expected: Option<&'static str>, named: &[(&'static str, &'static str)]| {
            let mut request = headers(&[("request-id", "a")]);
            request.extend(headers(
                &expected.map(|it| ("expect-version", it)).into_iter().collect::<Vec<_>>(),
            ));
            let mut answer = headers(&[("request-id", "a")]);
            answer.extend(headers(named));
            classify_response(StatusCode::MISDIRECTED_REQUEST, &answer, &request, &server)
        };
        let (replaced, weights) = (ResponseKind::WrongServer, ResponseKind::OtherWeights);
        for named in [&[][..], &[("instance-id", "i-1")], &[("at-server", "i-1")]] {
            expect_that!(kind_of(Some("1"), named), eq(weights), "{named:?}");
            expect_that!(kind_of(None, named), eq(replaced), "{named:?}");
        }
        for named in [
            &[("instance-id", "i-2")][..],
            &[("at-server", "i-2")],
            &[("instance-id", "i-2"), ("at-server", "i-1")],
            &[("instance-id", "i-1"), ("weight-versions", "1")],
        ] {
            expect_that!(kind_of(Some("1"), named), eq(replaced), "{named:?}");
        }
    }
}
