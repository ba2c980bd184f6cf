//! Listening for HTTP and answering it.

mod answers;
mod body;
mod call;
mod listener;

pub use answers::{ErrorBody, error_event, error_response, json_response, text_response};
pub use body::{
    BodyError, RelayAborted, RelayBody, RelaySender, caller_disconnected, discard_body, read_body,
    relay_body,
};
pub use call::{ConnectionGuard, OpenCall, connect, start_call};
pub use listener::{HttpListener, ListenerError, ListenerPhase};

/// Name of the header that carries a request's id both ways.
pub const REQUEST_ID: &str = "x-request-id";
/// Name of the header that states a caller's deadline, in milliseconds from now.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Name of the header that carries the key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Name of the header that tells an engine how many events of an interrupted stream the caller has.
pub const RESUME_AFTER: &str = "x-resume-after";
/// Name of the header that says whether a refused request ran.
pub const OUTCOME: &str = "x-alderbay-outcome";
