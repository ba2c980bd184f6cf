//! Requests of callers that this process has not answered in full, so that it can name those that it
//! leaves when it stops.

use std::{
    collections::BTreeMap,
    fmt,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{StatusCode, Version};
use http_body::{Body as HttpBody, Frame, SizeHint};
use tokio::time::Instant;
use volo_http::{body::Body, error::BoxError, response::Response};

use crate::{
    http::ConnectionAbort,
    routing::RequestNumber,
    units::{ByteCount, RequestId, RouteName},
};

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestStage {
    /// Its body is being read.
    Reading,
    /// It waits for a server.
    Waiting,
    /// An attempt runs, and the caller has nothing of a response.
    Running,
    /// The caller has the head of a response.
    Delivering,
}

impl fmt::Display for RequestStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Reading => "reading",
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Delivering => "delivering",
        })
    }
}

/// The requests in progress, by their numbers.
#[derive(Default)]
pub(super) struct OpenRequests {
    table: Mutex<BTreeMap<RequestNumber, Weak<OpenRequest>>>,
}

/// A request that is in the table until its task has ended and its response is handed over to the
/// caller's connection.
pub(super) struct OpenRequest {
    requests: Arc<OpenRequests>,
    number: RequestNumber,
    request_id: RequestId,
    route: Option<RouteName>,
    arrived: Instant,
    /// The caller's connection.
    connection: ConnectionAbort,
    progress: Mutex<RequestProgress>,
}

#[derive(Clone, Copy)]
struct RequestProgress {
    stage: RequestStage,
    /// Status of the response that has begun.
    status: Option<StatusCode>,
    /// What the connection has taken of the response's body.
    sent: ByteCount,
    /// Whether only the end of the connection tells where the response ends.
    is_unframed: bool,
}

/// What is known of a request in progress.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RequestStatus {
    pub(super) request_id: RequestId,
    pub(super) route: Option<RouteName>,
    pub(super) stage: RequestStage,
    pub(super) status: Option<StatusCode>,
    pub(super) sent: ByteCount,
    pub(super) age: Duration,
}

impl OpenRequests {
    /// Adds a request whose head has been read.
    pub(super) fn open(
        self: &Arc<Self>,
        number: RequestNumber,
        request_id: RequestId,
        route: Option<RouteName>,
        connection: ConnectionAbort,
    ) -> Arc<OpenRequest> {
        let progress = RequestProgress {
            stage: RequestStage::Reading,
            status: None,
            sent: ByteCount(0),
            is_unframed: false,
        };
        let request = Arc::new(OpenRequest {
            requests: self.clone(),
            number,
            request_id,
            route,
            arrived: Instant::now(),
            connection,
            progress: Mutex::new(progress),
        });
        lock(&self.table).insert(number, Arc::downgrade(&request));
        request
    }

    /// Returns the requests in progress, oldest first.
    pub(super) fn list(&self) -> Vec<RequestStatus> {
        self.all().iter().map(|it| it.status()).collect()
    }

    /// Breaks off the responses that would look complete if their connections just ended.
    pub(super) fn break_off_unframed(&self) {
        self.all().iter().for_each(|it| it.break_off_unframed());
    }

    fn all(&self) -> Vec<Arc<OpenRequest>> {
        lock(&self.table).values().filter_map(Weak::upgrade).collect()
    }

    /// Returns the number of requests in progress.
    pub(super) fn len(&self) -> usize {
        lock(&self.table).len()
    }
}

impl OpenRequest {
    pub(super) fn number(&self) -> RequestNumber {
        self.number
    }

    pub(super) fn request_id(&self) -> &RequestId {
        &self.request_id
    }

    pub(super) fn set_stage(&self, stage: RequestStage) {
        let mut progress = lock(&self.progress);
        // A stream goes on being delivered while another server is tried.
        if progress.status.is_none() {
            progress.stage = stage;
        }
    }

    fn status(&self) -> RequestStatus {
        let RequestProgress { stage, status, sent, .. } = *lock(&self.progress);
        RequestStatus {
            request_id: self.request_id.clone(),
            route: self.route.clone(),
            stage,
            status,
            sent,
            age: self.arrived.elapsed(),
        }
    }

    fn break_off_unframed(&self) {
        if lock(&self.progress).is_unframed {
            self.connection.abort();
        }
    }

    /// Ties the request to its response, which the caller's connection takes from here on.
    pub(super) fn deliver(self: &Arc<Self>, answer: Response, version: Version) -> Response {
        let mut progress = lock(&self.progress);
        progress.stage = RequestStage::Delivering;
        progress.status = Some(answer.status());
        let is_chunked = version >= Version::HTTP_11;
        progress.is_unframed = !is_chunked && answer.body().size_hint().exact().is_none();
        drop(progress);
        answer.map(|body| Body::from_body(CountedBody { body, request: self.clone() }))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        lock(&self.requests.table).remove(&self.number);
    }
}

/// Response body that counts what the connection takes of it.
struct CountedBody {
    body: Body,
    request: Arc<OpenRequest>,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let length = frame.data_ref().map_or(0, Bytes::len);
            lock(&self.request.progress).sent.0 += length as u64;
        }
        if let Poll::Ready(Some(Err(_))) = &polled {
            self.request.break_off_unframed();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
