//! HTTP/1.1: an accept loop with limits, a client, request and response bodies, and the system's
//! own responses.

mod responses;
mod abort;
mod body;
mod call;
mod listener;

pub use abort::ConnectionAbort;
pub use body::{
    BodyError, RelayAborted, RelayBody, RelaySender, caller_disconnected, collect_body,
    discard_body, read_body, relay_body,
};
pub use call::{
    CallBreak, CallFailure, ConnectionGuard, OpenCall, ResponseBody, connect, start_call,
};
pub use listener::{HttpListener, ListenerError, ListenerPhase};
pub use responses::{ErrorBody, error_event, error_response, json_response, text_response};

/// Header with the request's id, in requests and responses.
pub const REQUEST_ID: &str = "x-request-id";
/// Request header with the time until the caller's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Request header with the idempotency key or the ticket of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header to a model engine with the number of events that the caller already received from an
/// interrupted stream.
pub const RESUME_AFTER: &str = "x-resume-after";
/// Header of an error response that states whether the request ran: `not_run`, `ran` or `unknown`.
pub const OUTCOME: &str = "x-alderbay-outcome";
