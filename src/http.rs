//! Listening for HTTP and answering it.

mod answers;
mod body;
mod call;
mod listener;

pub use answers::{ErrorBody, error_answer, error_event, json_answer, text_answer};
pub use body::{
    BodyError, RelayBody, RelayBroken, RelaySender, caller_gone, discard_body, read_body,
    relay_body,
};
pub use call::{ConnectionGuard, OpenCall, call_once, connect};
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
