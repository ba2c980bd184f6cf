//! Answers that the system itself gives.

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

/// The JSON body of an error: `{"error": {…}}`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorFields,
}

/// What a caller learns of an error.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorFields {
    /// Stable code.
    pub code: SmolStr,
    /// Message for people.
    pub message: SmolStr,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// The request.
    pub request_id: SmolStr,
    /// When it is worth asking again, in milliseconds.
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

/// An error as a whole answer.
///
/// ```
/// use alderbay::{core::{Refusal, RefusalCode}, http::error_response};
/// let answer = error_response(&Refusal::not_run(RefusalCode::Overloaded), &"r-1".parse()?);
/// assert_eq!(answer.status(), 503);
/// assert_eq!(answer.headers()["x-alderbay-outcome"], "not_run");
/// # Ok::<(), alderbay::units::IdError>(())
/// ```
pub fn error_response(refusal: &Refusal, request_id: &RequestId) -> Response {
    let status =
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = json_response(status, &error_body(refusal, request_id));
    if let Some(delay) = refusal.retry_after {
        // The header counts whole seconds; rounding down would bring the caller back too early.
        let seconds = delay.as_secs_f64().ceil() as u64;
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    let outcome = match refusal.outcome {
        RunOutcome::NotRun => HeaderValue::from_static("not_run"),
        RunOutcome::Ran => HeaderValue::from_static("ran"),
        RunOutcome::Unknown => HeaderValue::from_static("unknown"),
    };
    answer.headers_mut().insert(OUTCOME, outcome);
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        answer.headers_mut().insert(REQUEST_ID, value);
    }
    answer
}

/// An error as the last event of a stream that began well.
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

/// A JSON answer.
pub fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response {
    // Our own structures always encode; an empty body would be the only trace if one did not.
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut answer = Response::new(text.into());
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// A plain answer.
pub fn text_response(status: StatusCode, text: impl Into<Body>) -> Response {
    let mut answer = Response::new(text.into());
    *answer.status_mut() = status;
    answer
}
