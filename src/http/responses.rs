//! Responses that the system itself sends.

use bytes::Bytes;
use http::{
    HeaderValue, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};
use volo_http::{body::Body, response::Response};

use super::{OUTCOME, REQUEST_ID};
use crate::{
    core::{Refusal, RunOutcome},
    units::RequestId,
};

/// JSON body of an error response: `{"error": {…}}`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error.
    pub error: ErrorFields,
}

/// Description of an error for the caller.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorFields {
    /// Stable error code for programs.
    pub code: SmolStr,
    /// Error message for people.
    pub message: SmolStr,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Id of the request.
    pub request_id: SmolStr,
    /// Time after which the caller should retry, in milliseconds; absent if none is suggested.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

fn error_body(refusal: &Refusal, request_id: &RequestId) -> ErrorBody {
    let retry_after_ms =
        refusal.retry_after.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX));
    ErrorBody {
        error: ErrorFields {
            code: refusal.code.to_smolstr(),
            message: refusal.code.message().into(),
            outcome: refusal.outcome,
            request_id: request_id.to_smolstr(),
            retry_after_ms,
        },
    }
}

/// Builds the response for a refused request, with the status and message of its refusal code.
///
/// ```
/// use alderbay::{core::{Refusal, RefusalCode}, http::error_response};
/// let response = error_response(&Refusal::not_run(RefusalCode::Overloaded), &"r-1".parse()?);
/// assert_eq!(response.status(), 503);
/// assert_eq!(response.headers()["x-alderbay-outcome"], "not_run");
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn error_response(refusal: &Refusal, request_id: &RequestId) -> Response {
    let status =
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, &error_body(refusal, request_id));
    if let Some(delay) = refusal.retry_after {
        // The header takes whole seconds. Rounding up keeps the caller from retrying too early.
        let seconds = delay.as_secs_f64().ceil() as u64;
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    let outcome = match refusal.outcome {
        RunOutcome::NotRun => HeaderValue::from_static("not_run"),
        RunOutcome::Ran => HeaderValue::from_static("ran"),
        RunOutcome::Unknown => HeaderValue::from_static("unknown"),
    };
    response.headers_mut().insert(OUTCOME, outcome);
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}

/// Builds the server-sent event that ends a stream which failed after it had begun.
///
/// ```
/// use alderbay::{core::{Refusal, RefusalCode}, http::error_event};
/// let event = error_event(&Refusal::unknown(RefusalCode::AnswerBroken), &"r-1".parse()?);
/// assert!(event.starts_with(b"event: error\ndata: {"));
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn error_event(refusal: &Refusal, request_id: &RequestId) -> Bytes {
    let data = serde_json::to_string(&error_body(refusal, request_id)).unwrap_or_default();
    Bytes::from(format!("event: error\ndata: {data}\n\n"))
}

/// Builds a JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response {
    // The system's own types always encode. If one did not, the body would be empty.
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(text.into());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds a response without a content type.
pub fn text_response(status: StatusCode, text: impl Into<Body>) -> Response {
    let mut response = Response::new(text.into());
    *response.status_mut() = status;
    response
}
