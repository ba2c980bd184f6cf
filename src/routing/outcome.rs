//! Results of attempts, and how far their responses came.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Result of one attempt at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptResult {
    /// The caller received the complete response, or an error that a retry would not change.
    Answered,
    /// The server responded with a 5xx status of its own; the request ran.
    ServerError,
    /// Nothing was sent, usually because no connection was established.
    NeverSent,
    /// Nothing was sent: the server's address refuses connections, so the server has ended.
    NoListener,
    /// The server states that it did not run the request.
    NotRun,
    /// Another server uses the address; nothing ran.
    WrongServer,
    /// The server has other weights than the caller expects; nothing ran.
    OtherWeights,
    /// The request was sent, and the connection ended without a usable response.
    Lost,
    /// The request was sent, and no further data arrives. The call stays open until another attempt
    /// goes on in its place.
    Stalled,
    /// The caller disconnected, or its deadline passed.
    Abandoned,
}

/// Number of events of a stream after which its response has not ended the server.
pub const SETTLED_EVENTS: u32 = 4;

/// How far the response of an attempt came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerProgress {
    /// Nothing was received.
    #[default]
    Nothing,
    /// A part of the head of a response, or an interim response.
    Begun,
    /// The head of a response.
    Head,
    /// The head and this many events of a stream.
    Events(u32),
    /// The whole response.
    Whole,
}

impl AnswerProgress {
    /// Returns the progress after one more event of the stream.
    ///
    /// ```
    /// use alderbay::routing::AnswerProgress;
    /// assert_eq!(AnswerProgress::Head.with_event(), AnswerProgress::Events(1));
    /// ```
    #[must_use]
    pub fn with_event(self) -> Self {
        match self {
            Self::Nothing | Self::Begun | Self::Head => Self::Events(1),
            Self::Events(count) => Self::Events(count.saturating_add(1)),
            Self::Whole => Self::Whole,
        }
    }
}

impl fmt::Display for AnswerProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Nothing => f.write_str("nothing"),
            Self::Begun => f.write_str("begun"),
            Self::Head => f.write_str("head"),
            Self::Events(count) => write!(f, "{count} events"),
            Self::Whole => f.write_str("whole"),
        }
    }
}

impl AttemptResult {
    /// Whether the server may have run the request.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::Answered | Self::ServerError | Self::Lost | Self::Stalled | Self::Abandoned => {
                true
            }
            Self::NeverSent
            | Self::NoListener
            | Self::NotRun
            | Self::WrongServer
            | Self::OtherWeights => false,
        }
    }
}

impl fmt::Display for AttemptResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Answered => "answered",
            Self::ServerError => "server_error",
            Self::NeverSent => "never_sent",
            Self::NoListener => "no_listener",
            Self::NotRun => "not_run",
            Self::WrongServer => "wrong_server",
            Self::OtherWeights => "other_weights",
            Self::Lost => "lost",
            Self::Stalled => "stalled",
            Self::Abandoned => "abandoned",
        })
    }
}
