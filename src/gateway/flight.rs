//! One caller's request on its way: an attempt at a time, as the reducer orders.

use std::{pin::Pin, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{StatusCode, response::Parts, uri::PathAndQuery};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use smol_str::SmolStr;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout, timeout_at},
};
use volo_http::{body::Body, response::Response};

use super::{
    callers::{CallerRequest, facts_of, refusal_answer},
    event_stream::{EventCutter, is_repeated},
    shell::GatewayShell,
};
use crate::{
    core::{Refusal, RefusalCode},
    http::{
        OpenCall, RelayAborted, RelaySender, caller_disconnected, connect, relay_body, start_call,
    },
    platform::{
        AttemptHeaders, ResponseKind, build_attempt_headers, classify_response, strip_hop_by_hop,
    },
    routing::{AttemptOrder, AttemptResult, RequestNumber, RouteKind, RoutingEffect, RoutingEvent},
};

/// Time for a connection to a server: many times the way there and back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without an event after which a stream is continued elsewhere: before callers give up, which
/// they do after two seconds at the earliest.
const EVENT_STALL: Duration = Duration::from_millis(1_000);
/// Time without a first event after which another server is asked.
const FIRST_EVENT_STALL: Duration = Duration::from_millis(1_600);
/// Objectives after which an idempotent request is sent elsewhere.
const STALL_OBJECTIVES: u32 = 2;
/// Time after which an idempotent request without an objective is sent elsewhere.
const DEFAULT_STALL: Duration = Duration::from_secs(2);

/// What the caller has so far.
enum CallerSide {
    /// Nothing.
    Waiting(oneshot::Sender<Response>),
    /// The head and some events.
    Streaming(RelaySender),
    /// All, or it is gone.
    Done,
}

impl CallerSide {
    /// Ends when a caller that has a part of its answer is gone.
    async fn closed(&self) {
        match self {
            Self::Streaming(sender) => sender.closed().await,
            Self::Waiting(_) | Self::Done => std::future::pending().await,
        }
    }
}

/// One request on its way.
pub(super) struct Flight {
    shell: Arc<GatewayShell>,
    request: CallerRequest,
    caller: CallerSide,
    /// Id of the last event that the caller has.
    last_event: Option<SmolStr>,
    /// An error of a server that goes to the caller unless a further attempt brings better.
    server_error: Option<Response>,
}

impl Flight {
    pub(super) fn new(
        shell: Arc<GatewayShell>,
        request: CallerRequest,
        waiting: oneshot::Sender<Response>,
    ) -> Self {
        let last_event = request.headers.resume_after.clone();
        let caller = CallerSide::Waiting(waiting);
        Self { shell, request, caller, last_event, server_error: None }
    }

    /// Brings the request to its end. `alive` fires or is dropped when the caller is answered or
    /// gone.
    pub(super) async fn run(mut self, alive: oneshot::Receiver<()>) {
        let number = self.shell.next_number();
        let mut gone = std::pin::pin!(caller_disconnected(alive));
        let facts = facts_of(number, &self.request);
        let mut step = self.shell.dispatch(RoutingEvent::RequestArrived(facts));
        let mut has_waited = false;
        loop {
            step = match step {
                Some(RoutingEffect::Attempt(_, order)) => {
                    self.attempt(number, &order, gone.as_mut()).await
                }
                Some(RoutingEffect::Wait(_, pause)) => {
                    if !std::mem::replace(&mut has_waited, true) {
                        self.log_wait();
                    }
                    self.wait(number, pause, gone.as_mut()).await
                }
                Some(
                    RoutingEffect::Refuse(..)
                    | RoutingEffect::Finished(_)
                    | RoutingEffect::Believe(_),
                )
                | None => break,
            };
        }
        match step {
            Some(RoutingEffect::Refuse(_, refusal)) => self.refuse(&refusal).await,
            Some(RoutingEffect::Finished(_)) | None => self.pass_error_on(),
            Some(
                RoutingEffect::Attempt(..) | RoutingEffect::Wait(..) | RoutingEffect::Believe(_),
            ) => {}
        }
        self.shell.metrics.time("request.duration", self.request.arrived.elapsed());
        self.shell.dispatch(RoutingEvent::RequestEnded(number));
    }

    /// Waits for a server that can be used; none where the caller is gone.
    async fn wait(
        &self,
        number: RequestNumber,
        pause: Duration,
        gone: Pin<&mut impl Future<Output = ()>>,
    ) -> Option<RoutingEffect> {
        tokio::select! {
            () = tokio::time::sleep(pause) => {
                let facts = facts_of(number, &self.request);
                self.shell.dispatch(RoutingEvent::WaitEnded(facts))
            }
            () = gone => None,
            () = self.caller.closed() => None,
        }
    }

    fn log_wait(&self) {
        self.shell.metrics.count("requests.waited");
        log::info!(
            request:% = self.request.request_id,
            elapsed_ms = millis(self.request.arrived.elapsed()),
            directory_age_ms = self.shell.directory_age_ms(),
            catalog:% = self.shell.catalog_version();
            "request waits for a server"
        );
    }

    async fn attempt(
        &mut self,
        number: RequestNumber,
        order: &AttemptOrder,
        gone: Pin<&mut impl Future<Output = ()>>,
    ) -> Option<RoutingEffect> {
        self.log_attempt(order);
        let begun = Instant::now();
        let deadline = self.shell.clock.instant(order.deadline);
        // A run that happens once is not cancelled: what it does is done.
        let may_cancel = order.kind != RouteKind::Single;
        let result = tokio::select! {
            result = timeout_at(deadline, self.exchange(order)) => {
                result.unwrap_or(AttemptResult::Abandoned)
            }
            () = gone, if may_cancel => AttemptResult::Abandoned,
        };
        let elapsed = begun.elapsed();
        self.shell.metrics.time(&format!("attempt.{result}"), elapsed);
        log::info!(
            request:% = self.request.request_id, server:% = order.server, result:% = result,
            elapsed_ms = millis(elapsed), last_event:% = self.last_event.as_deref().unwrap_or("");
            "attempt ended"
        );
        let step = self.shell.dispatch(RoutingEvent::AttemptEnded { number, result });
        if result == AttemptResult::Abandoned && Instant::now() >= deadline {
            let code = RefusalCode::DeadlineDuringRun;
            return Some(RoutingEffect::Refuse(number, Refusal::unknown(code)));
        }
        step
    }

    fn log_attempt(&self, order: &AttemptOrder) {
        log::info!(
            request:% = self.request.request_id, route:% = order.route, service:% = order.service,
            server:% = order.server, attempt = order.attempt, load = order.load,
            directory_age_ms = self.shell.directory_age_ms(),
            catalog:% = self.shell.catalog_version();
            "attempt begun"
        );
    }

    async fn exchange(&mut self, order: &AttemptOrder) -> AttemptResult {
        let call = match self.open(order).await {
            Ok(call) => call,
            Err(result) => return result,
        };
        let OpenCall { head, body, guard } = call;
        let kind = classify_response(head.status, &head.headers, &self.request.head.headers);
        match kind {
            ResponseKind::NotRun => return AttemptResult::NotRun,
            ResponseKind::WrongServer => return AttemptResult::WrongServer,
            ResponseKind::Foreign => return AttemptResult::Lost,
            ResponseKind::Genuine => {}
        }
        let result = if order.kind.is_stream() && head.status == StatusCode::OK {
            self.relay(head, body).await
        } else {
            self.collect(head, body).await
        };
        drop(guard);
        result
    }

    /// Sends the request and waits for the head of the answer.
    async fn open(&self, order: &AttemptOrder) -> Result<OpenCall, AttemptResult> {
        let stream = connect(order.address, CONNECT_TIMEOUT).await.map_err(|error| {
            log::info!(server:% = order.server, error:% = error; "server accepts no connection");
            AttemptResult::NeverSent
        })?;
        let request = self.request_to(order).map_err(|error| {
            log::error!(error:% = error; "request cannot be passed on");
            AttemptResult::NeverSent
        })?;
        let answer = start_call(stream, request);
        let answer = match stall_time(order) {
            Some(limit) => timeout(limit, answer).await.map_err(|_| AttemptResult::Stalled)?,
            None => answer.await,
        };
        answer.map_err(|error| {
            log::info!(
                request:% = self.request.request_id, server:% = order.server, error:% = error;
                "server gave no answer"
            );
            AttemptResult::Lost
        })
    }

    fn request_to(&self, order: &AttemptOrder) -> Result<http::Request<Full<Bytes>>, http::Error> {
        let head = &self.request.head;
        let path = head.uri.path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let deadline = self.shell.clock.instant(order.deadline);
        let time_left = match self.request.headers.time_left {
            Some(patience) => patience.saturating_sub(self.request.arrived.elapsed()),
            None => deadline.saturating_duration_since(Instant::now()),
        };
        let attempt = AttemptHeaders {
            server: &order.server,
            account: order.account.as_ref(),
            time_left,
            resume_after: self.last_event.as_deref(),
        };
        let uri = http::Uri::builder().path_and_query(path).build()?;
        let mut request = http::Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = build_attempt_headers(&head.headers, &attempt);
        Ok(request)
    }

    /// Passes a stream on, one whole event at a time.
    async fn relay(&mut self, head: Parts, mut body: Incoming) -> AttemptResult {
        let is_delimited = body.size_hint().exact().is_some() || is_chunked(&head);
        let mut cutter = EventCutter::default();
        let mut head = Some(head);
        let mut limit = FIRST_EVENT_STALL;
        loop {
            let frame = match timeout(limit, self.next_frame(&mut body)).await {
                Ok(Some(frame)) => frame,
                Ok(None) => return AttemptResult::Abandoned,
                Err(_) => return AttemptResult::Stalled,
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    cutter.push(&data);
                }
                Some(Err(_)) => return AttemptResult::Lost,
                None if cutter.has_rest() || !is_delimited => return AttemptResult::Lost,
                None => {
                    self.begin_stream(&mut head);
                    self.caller = CallerSide::Done;
                    return AttemptResult::Answered;
                }
            }
            if cutter.is_overlong() {
                return AttemptResult::Lost;
            }
            while let Some(event) = cutter.next_event() {
                if is_repeated(event.id.as_deref(), self.last_event.as_deref()) {
                    continue;
                }
                self.begin_stream(&mut head);
                let CallerSide::Streaming(sender) = &self.caller else {
                    return AttemptResult::Abandoned;
                };
                if sender.send(Ok(event.bytes)).await.is_err() {
                    return AttemptResult::Abandoned;
                }
                self.last_event = event.id.or(self.last_event.take());
                limit = EVENT_STALL;
            }
        }
    }

    /// The next part of a stream; none where the caller is gone.
    async fn next_frame(
        &self,
        body: &mut Incoming,
    ) -> Option<Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>> {
        match &self.caller {
            CallerSide::Streaming(sender) => tokio::select! {
                frame = body.frame() => Some(frame),
                () = sender.closed() => None,
            },
            CallerSide::Waiting(_) | CallerSide::Done => Some(body.frame().await),
        }
    }

    /// Gives the caller the head of the first server's answer, before its first event.
    fn begin_stream(&mut self, head: &mut Option<Parts>) {
        let (Some(head), CallerSide::Waiting(_)) = (head.take(), &self.caller) else { return };
        let (sender, body) = relay_body();
        let answer = answer_of(head, Body::from_body(body));
        let caller = std::mem::replace(&mut self.caller, CallerSide::Streaming(sender));
        if let CallerSide::Waiting(waiting) = caller
            && waiting.send(answer).is_err()
        {
            self.caller = CallerSide::Done;
        }
    }

    /// Reads a whole answer before the caller gets any of it, so that one that breaks off can be
    /// tried again.
    async fn collect(&mut self, head: Parts, mut body: Incoming) -> AttemptResult {
        let bound = usize::try_from(self.shell.limits.max_answer_bytes.0).unwrap_or(usize::MAX);
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return AttemptResult::Lost };
            let Ok(data) = frame.into_data() else { continue };
            whole.extend_from_slice(&data);
            if whole.len() > bound {
                return AttemptResult::Lost;
            }
        }
        let is_error = head.status.is_server_error();
        let answer = answer_of(head, Body::from(whole.freeze()));
        match std::mem::replace(&mut self.caller, CallerSide::Done) {
            CallerSide::Waiting(waiting) if is_error => {
                self.caller = CallerSide::Waiting(waiting);
                self.server_error = Some(answer);
                AttemptResult::ServerError
            }
            // A caller that is gone needs no answer.
            CallerSide::Waiting(waiting) => match waiting.send(answer) {
                Ok(()) => AttemptResult::Answered,
                Err(_) => AttemptResult::Abandoned,
            },
            // A stream cannot go on with an answer that is none.
            CallerSide::Streaming(sender) => {
                self.caller = CallerSide::Streaming(sender);
                AttemptResult::Lost
            }
            CallerSide::Done => AttemptResult::Abandoned,
        }
    }

    /// Gives the caller an error of a server, where no attempt brought better.
    fn pass_error_on(&mut self) {
        let Some(answer) = self.server_error.take() else { return };
        if let CallerSide::Waiting(waiting) = std::mem::replace(&mut self.caller, CallerSide::Done)
            && waiting.send(answer).is_err()
        {
            self.shell.metrics.count("caller.gone");
        }
    }

    /// Tells the caller that there is no answer, or breaks its stream off.
    async fn refuse(&mut self, refusal: &Refusal) {
        self.shell.metrics.count(&format!("refused.{}", refusal.code));
        log::info!(
            request:% = self.request.request_id, code:% = refusal.code,
            outcome:% = refusal.outcome,
            retry_after_ms = refusal.retry_after.map(millis),
            elapsed_ms = millis(self.request.arrived.elapsed()),
            directory_age_ms = self.shell.directory_age_ms(),
            catalog:% = self.shell.catalog_version();
            "request refused"
        );
        match std::mem::replace(&mut self.caller, CallerSide::Done) {
            CallerSide::Waiting(waiting) => {
                let own = refusal_answer(refusal, &self.request.head.headers);
                // The server's own error says more than that there was one.
                let answer = self.server_error.take().unwrap_or(own);
                if waiting.send(answer).is_err() {
                    self.shell.metrics.count("caller.gone");
                }
            }
            CallerSide::Streaming(sender) => {
                if sender.send(Err(RelayAborted)).await.is_err() {
                    self.shell.metrics.count("caller.gone");
                }
            }
            CallerSide::Done => {}
        }
    }
}

/// Time without the head of an answer after which another server is asked. A request that runs once
/// is waited for: a server's silence says nothing.
fn stall_time(order: &AttemptOrder) -> Option<Duration> {
    match order.kind {
        RouteKind::Idempotent => {
            let objectives = order.latency_objective.map(|it| it * STALL_OBJECTIVES);
            Some(objectives.unwrap_or(DEFAULT_STALL))
        }
        RouteKind::ResumableStream => Some(FIRST_EVENT_STALL),
        RouteKind::Single | RouteKind::SingleStream => None,
    }
}

fn is_chunked(head: &Parts) -> bool {
    head.headers.contains_key(http::header::TRANSFER_ENCODING)
}

fn answer_of(head: Parts, body: Body) -> Response {
    let mut answer = Response::new(body);
    *answer.status_mut() = head.status;
    *answer.headers_mut() = strip_hop_by_hop(&head.headers);
    answer
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
