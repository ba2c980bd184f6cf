//! The task of one caller's request: makes one attempt at a time, as the reducer decides, and
//! passes the response on.

mod answers;
mod call;

use std::{io::ErrorKind, pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header, response::Parts, uri::PathAndQuery};
use http_body_util::Full;
use smol_str::SmolStr;
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, sleep_until, timeout_at},
};
use volo_http::response::Response;

use super::{
    attempts::OpenAttempt,
    callers::{CallerRequest, refusal_answer, routing_request},
    held_memory::{IDLE_TIME, watch_delivery},
    open_requests::RequestStage,
    relay::StreamSender,
    shell::GatewayShell,
};
use crate::{
    core::{Refusal, RefusalCode},
    http::{caller_disconnected, connect, start_call},
    platform::{
        AttemptHeaders, ResponseKind, build_attempt_headers, classify_response,
        decode_server_notice,
    },
    routing::{
        AnswerProgress, AttemptResult, AttemptSpec, RequestNumber, RouteKind, RoutingEffect,
        RoutingEvent, ServerNotice, join_parts,
    },
};

use answers::lost_after;
use call::{AttemptCall, CallPiece, PendingCall, SilentCalls};

/// Timeout of a connection attempt: many round-trip times.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without a first event after which another server is tried.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Multiple of the route's latency objective after which an idempotent request goes to another
/// server.
const STALL_OBJECTIVE_FACTOR: u32 = 2;
/// Time after which an idempotent request without a latency objective goes to another server.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How much of the response the caller has received.
enum AnswerState {
    /// Nothing yet.
    Waiting(oneshot::Sender<Response>),
    /// The head, and possibly some events.
    Streaming(StreamSender),
    /// Everything, or the caller has disconnected.
    Done,
}

impl AnswerState {
    /// Whether the caller has nothing of its response.
    fn is_waiting(&self) -> bool {
        match self {
            Self::Waiting(_) => true,
            Self::Streaming(_) | Self::Done => false,
        }
    }

    /// Resolves when a caller that has received a part of its response disconnects, and never
    /// otherwise.
    async fn closed(&self) {
        match self {
            Self::Streaming(sender) => sender.disconnected().await,
            Self::Waiting(_) | Self::Done => std::future::pending().await,
        }
    }
}

/// A caller's request in progress, run as a task of its own.
pub(super) struct RequestTask {
    shell: Arc<GatewayShell>,
    number: RequestNumber,
    request: CallerRequest,
    state: AnswerState,
    /// Id of the last event sent to the caller, or of the event after which it resumes.
    last_event: Option<SmolStr>,
    /// A server's error response, sent to the caller if no further attempt succeeds.
    server_error: Option<Response>,
    /// Calls whose servers are silent.
    silent: SilentCalls,
    /// Type of the stream whose head the caller has.
    stream_type: Option<HeaderValue>,
}

/// What happens next to a call in progress.
enum CallStep {
    /// The server sent a piece of its response.
    Piece(CallPiece),
    /// The attempt ended, or its server has been silent for too long.
    Ended(AttemptResult),
    /// Another call, which was set aside, goes on or has failed.
    Silent(Box<AttemptCall>, CallPiece),
}

impl RequestTask {
    pub(super) fn new(
        shell: Arc<GatewayShell>,
        request: CallerRequest,
        answer_sender: oneshot::Sender<Response>,
    ) -> Self {
        let last_event = request.headers.resume_after.clone();
        let state = AnswerState::Waiting(answer_sender);
        let (number, silent) = (request.number, SilentCalls::default());
        Self {
            shell,
            number,
            request,
            state,
            last_event,
            server_error: None,
            silent,
            stream_type: None,
        }
    }

    /// Runs the request to its end. The sender of `answered_rx` sends once the head of the response
    /// goes to the caller, and is dropped without sending if the caller disconnects.
    pub(super) async fn run(mut self, answered_rx: oneshot::Receiver<()>) {
        let number = self.number;
        let mut disconnected = std::pin::pin!(caller_disconnected(answered_rx));
        let wake = self.shell.register_wake(number);
        let request = routing_request(number, &self.request);
        let mut effect = self.shell.dispatch(RoutingEvent::RequestArrived(request));
        let mut has_waited = false;
        loop {
            effect = match effect {
                Some(RoutingEffect::Attempt(_, spec)) => {
                    self.attempt(&spec, disconnected.as_mut()).await
                }
                Some(RoutingEffect::Wait(_, delay)) => {
                    if !std::mem::replace(&mut has_waited, true) {
                        self.log_wait();
                    }
                    self.wait_for_server(number, (delay, &wake), disconnected.as_mut()).await
                }
                Some(
                    RoutingEffect::Refuse(..)
                    | RoutingEffect::Finished(_)
                    | RoutingEffect::Resume(_)
                    | RoutingEffect::AdmissionNoted(_)
                    | RoutingEffect::RetryNoted(_)
                    | RoutingEffect::StateChanged(_)
                    | RoutingEffect::ShareRecords
                    | RoutingEffect::EndAttempt { .. }
                    | RoutingEffect::ProbeServer { .. },
                )
                | None => break,
            };
        }
        match effect {
            Some(RoutingEffect::Refuse(_, refusal)) => self.refuse(&refusal),
            Some(RoutingEffect::Finished(_)) | None => self.forward_server_error(),
            Some(
                RoutingEffect::Attempt(..)
                | RoutingEffect::Wait(..)
                | RoutingEffect::Resume(_)
                | RoutingEffect::AdmissionNoted(_)
                | RoutingEffect::RetryNoted(_)
                | RoutingEffect::StateChanged(_)
                | RoutingEffect::ShareRecords
                | RoutingEffect::EndAttempt { .. }
                | RoutingEffect::ProbeServer { .. },
            ) => {}
        }
        if let AnswerState::Streaming(sender) = &self.state {
            // Dropping the sender breaks the stream off after the events that wait.
            self.let_deliver(sender, IDLE_TIME);
        }
        self.shell.metrics.time("request.duration", self.request.arrived.elapsed());
        self.shell.dispatch(RoutingEvent::RequestEnded(number));
        self.shell.remove_wake(number);
    }

    /// Waits until the time has passed or the reducer ends the wait, then lets the reducer look for a
    /// server again. A call that was set aside and goes on meanwhile ends the wait too. Returns `None`
    /// if the caller disconnects.
    async fn wait_for_server(
        &mut self,
        number: RequestNumber,
        (delay, wake): (Duration, &Notify),
        mut disconnected: Pin<&mut impl Future<Output = ()>>,
    ) -> Option<RoutingEffect> {
        let wait_end = Instant::now() + delay;
        self.request.open.set_stage(RequestStage::Waiting);
        loop {
            let Self { shell, state, silent, last_event, .. } = &mut *self;
            let (call, news) = tokio::select! {
                () = sleep_until(wait_end) => break,
                () = wake.notified() => break,
                () = shell.grace_ended.cancelled() => break,
                () = disconnected.as_mut() => return None,
                () = state.closed() => return None,
                news = silent.next_news(last_event.as_deref()) => news,
            };
            if self.is_usable(&call, &news) {
                self.revive(&call);
                self.request.open.set_stage(RequestStage::Running);
                return self.follow(call, Some(news), disconnected).await;
            }
            if let Some(effect) = self.hear_silent(call, &news) {
                return Some(effect);
            }
        }
        let request = routing_request(number, &self.request);
        self.shell.dispatch(RoutingEvent::WaitEnded(request))
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

    /// Makes an attempt: sends the request and passes the response on. Returns the reducer's next
    /// effect.
    async fn attempt(
        &mut self,
        spec: &AttemptSpec,
        disconnected: Pin<&mut impl Future<Output = ()>>,
    ) -> Option<RoutingEffect> {
        self.log_attempt(spec);
        self.request.open.set_stage(RequestStage::Running);
        let silent_after = stall_timeout(spec).map(|it| it.max(CONNECT_TIMEOUT));
        let call = AttemptCall::new(spec.clone(), self.send_request(spec), silent_after);
        self.follow(call, None, disconnected).await
    }

    /// Passes on the response of a call, whose next piece may be there already, until it ends or its
    /// server falls silent. A call that was set aside and goes on first takes its place.
    async fn follow(
        &mut self,
        mut call: AttemptCall,
        mut piece: Option<CallPiece>,
        mut disconnected: Pin<&mut impl Future<Output = ()>>,
    ) -> Option<RoutingEffect> {
        let shell = self.shell.clone();
        let mut open_attempt = shell.attempts.register((self.number, call.spec.attempt));
        loop {
            let step = match piece.take() {
                Some(piece) => CallStep::Piece(piece),
                None => self.next_step(&mut call, &mut open_attempt, disconnected.as_mut()).await,
            };
            match step {
                CallStep::Piece(piece) => {
                    let deadline = shell.clock.instant(call.spec.deadline);
                    let may_cancel = call.spec.kind != RouteKind::Single;
                    let has_nothing = self.state.is_waiting();
                    let end = tokio::select! {
                        end = timeout_at(deadline, self.pass_on(&mut call, piece)) => {
                            end.unwrap_or(Some(AttemptResult::Abandoned))
                        }
                        () = disconnected.as_mut(), if may_cancel => Some(AttemptResult::Abandoned),
                        () = shell.grace_ended.cancelled(), if has_nothing => {
                            Some(AttemptResult::Abandoned)
                        }
                    };
                    if let Some(result) = end {
                        return self.end_attempt(call, result);
                    }
                }
                CallStep::Ended(result) => return self.end_attempt(call, result),
                CallStep::Silent(other, news) if self.is_usable(&other, &news) => {
                    self.end_attempt(call, AttemptResult::Abandoned);
                    self.revive(&other);
                    (call, piece) = (*other, Some(news));
                    open_attempt = shell.attempts.register((self.number, call.spec.attempt));
                }
                CallStep::Silent(other, news) => {
                    self.hear_silent(*other, &news);
                }
            }
        }
    }

    /// Waits for what happens next to a call.
    async fn next_step(
        &mut self,
        call: &mut AttemptCall,
        open_attempt: &mut OpenAttempt<'_>,
        disconnected: Pin<&mut impl Future<Output = ()>>,
    ) -> CallStep {
        let Self { shell, state, silent, last_event, .. } = self;
        let deadline = shell.clock.instant(call.spec.deadline);
        // A run that may happen only once is not cancelled, since its effects cannot be undone.
        let may_cancel = call.spec.kind != RouteKind::Single;
        let silent_at = call.silent_at;
        let silence = async {
            match silent_at {
                Some(silent_at) => sleep_until(silent_at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = sleep_until(deadline) => CallStep::Ended(AttemptResult::Abandoned),
            () = shell.grace_ended.cancelled(), if state.is_waiting() => {
                CallStep::Ended(AttemptResult::Abandoned)
            }
            () = disconnected, if may_cancel => CallStep::Ended(AttemptResult::Abandoned),
            () = state.closed(), if may_cancel => CallStep::Ended(AttemptResult::Abandoned),
            () = open_attempt.ended() => CallStep::Ended(AttemptResult::Stalled),
            piece = call.next_piece(last_event.as_deref()) => CallStep::Piece(piece),
            (other, news) = silent.next_news(last_event.as_deref()) => {
                CallStep::Silent(Box::new(other), news)
            }
            () = silence => CallStep::Ended(AttemptResult::Stalled),
        }
    }

    /// Passes on one piece of a response. Returns the result once the attempt has ended.
    async fn pass_on(&mut self, call: &mut AttemptCall, piece: CallPiece) -> Option<AttemptResult> {
        match piece {
            CallPiece::Head => self.accept_head(call).await,
            CallPiece::Event(event) => self.relay_event(call, event).await,
            CallPiece::End => {
                self.finish_stream(call);
                Some(AttemptResult::Answered)
            }
            CallPiece::Failed(AttemptResult::Lost) => Some(lost_after(call.held_back)),
            CallPiece::Failed(result) => Some(result),
        }
    }

    /// Checks the head of a response, and passes on the whole response if it is no stream.
    async fn accept_head(&mut self, call: &mut AttemptCall) -> Option<AttemptResult> {
        let kind = self.record_notice(call)?;
        let head = call.head()?;
        let is_stream = call.spec.kind.is_stream() && head.status == StatusCode::OK;
        let continues = self.continues_stream(head);
        match kind {
            ResponseKind::NotRun => Some(AttemptResult::NotRun),
            ResponseKind::WrongServer => Some(AttemptResult::WrongServer),
            ResponseKind::OtherWeights => Some(AttemptResult::OtherWeights),
            ResponseKind::Foreign => Some(AttemptResult::Lost),
            // What is no rest of the stream must not reach a caller that has its beginning.
            ResponseKind::Genuine if !continues => Some(AttemptResult::Lost),
            ResponseKind::Genuine if is_stream => {
                call.expect_news_within(FIRST_EVENT_TIMEOUT);
                None
            }
            ResponseKind::Genuine => Some(self.collect_answer(call).await),
        }
    }

    /// Whether a response with this head goes on with what the caller has: anything if that is nothing,
    /// else a stream of the same type.
    fn continues_stream(&self, head: &Parts) -> bool {
        match &self.state {
            AnswerState::Waiting(_) | AnswerState::Done => true,
            AnswerState::Streaming(_) => {
                head.status == StatusCode::OK
                    && head.headers.get(header::CONTENT_TYPE) == self.stream_type.as_ref()
            }
        }
    }

    /// Whether what a call that was set aside has sent serves the caller.
    fn is_usable(&self, call: &AttemptCall, news: &CallPiece) -> bool {
        match news {
            // The head alone of a stream takes no caller further.
            CallPiece::Head if call.spec.kind.is_stream() => false,
            CallPiece::Head => call.has_usable_head(&self.request.head.headers),
            CallPiece::Event(_) | CallPiece::End => {
                call.head().is_none_or(|it| self.continues_stream(it))
            }
            CallPiece::Failed(_) => false,
        }
    }

    /// Goes back to a call that was set aside. All others are dropped.
    fn revive(&mut self, call: &AttemptCall) {
        self.silent.clear();
        self.shell.metrics.count("attempts.revived");
        log::info!(
            request:% = self.request.request_id, server:% = call.spec.server,
            attempt = call.spec.attempt, progress:% = call.progress,
            elapsed_ms = millis(call.started.elapsed());
            "silent server goes on"
        );
        let (number, attempt) = (self.number, call.spec.attempt);
        self.shell.dispatch(RoutingEvent::AttemptRevived { number, attempt });
    }

    /// Takes note of what a call that was set aside has sent and what is of no use to the caller. Keeps
    /// the call if a stream may follow, else forgets it and reports how it ended. Returns the reducer's
    /// next effect if the request relied on it.
    fn hear_silent(&mut self, mut call: AttemptCall, news: &CallPiece) -> Option<RoutingEffect> {
        if let CallPiece::Head = news {
            self.record_notice(&mut call);
            if call.spec.kind.is_stream() && call.has_usable_head(&self.request.head.headers) {
                self.silent.push(call);
                return None;
            }
        }
        let request = &self.request.head.headers;
        let result = match news {
            CallPiece::Failed(AttemptResult::Lost) => lost_after(call.held_back),
            CallPiece::Failed(result) => *result,
            // What the response says is of no use to the caller.
            CallPiece::Head => call.refusal(request).unwrap_or(AttemptResult::Abandoned),
            CallPiece::Event(_) | CallPiece::End => AttemptResult::Abandoned,
        };
        let (number, attempt, progress) = (self.number, call.spec.attempt, call.progress);
        self.shell.metrics.count(&format!("attempt.set_aside.{result}"));
        self.log_end(&call, result, "attempt that was set aside ended");
        self.shell.dispatch(RoutingEvent::SilentAttemptEnded { number, attempt, result, progress })
    }

    /// Reports the end of an attempt. The call stays open if only its server is silent.
    fn end_attempt(&mut self, call: AttemptCall, result: AttemptResult) -> Option<RoutingEffect> {
        self.shell.metrics.time(&format!("attempt.{result}"), call.started.elapsed());
        self.log_end(&call, result, "attempt ended");
        let (number, progress) = (self.number, call.progress);
        let deadline = self.shell.clock.instant(call.spec.deadline);
        if result == AttemptResult::Stalled {
            self.silent.push(call);
        }
        let effect = self.shell.dispatch(RoutingEvent::AttemptEnded { number, result, progress });
        if result == AttemptResult::Abandoned && Instant::now() >= deadline {
            let code = RefusalCode::DeadlineDuringRun;
            return Some(RoutingEffect::Refuse(number, Refusal::unknown(code)));
        }
        effect
    }

    /// Logs how an attempt ended.
    fn log_end(&self, call: &AttemptCall, result: AttemptResult, message: &str) {
        let AttemptCall { spec, started, progress, first_event_at, server_limit, .. } = call;
        let first_event = first_event_at.map(|it| it - *started);
        let estimate_error = first_event.zip(spec.first_event).map(|(actual, expected)| {
            self.shell.metrics.time("estimate.error", actual.abs_diff(expected));
            actual.as_secs_f64() - expected.as_secs_f64()
        });
        // Only failures are traced to what requests have in common.
        let is_failure = result != AttemptResult::Answered;
        let suspect_parts = if is_failure { spec.shared_parts.as_slice() } else { &[] };
        let content = is_failure.then(|| spec.content.to_string());
        log::info!(
            request:% = self.request.request_id, server:% = spec.server, result:% = result,
            progress:% = progress, elapsed_ms = millis(started.elapsed()),
            last_event:% = self.last_event.as_deref().unwrap_or(""),
            parts:% = join_parts(suspect_parts), content = content.as_deref(),
            server_limit:% = server_limit, first_event_ms = first_event.map(millis),
            estimate_error_s = estimate_error;
            "{message}"
        );
    }

    fn log_attempt(&self, spec: &AttemptSpec) {
        log::info!(
            request:% = self.request.request_id, route:% = spec.route, service:% = spec.service,
            server:% = spec.server, attempt = spec.attempt, load = spec.load,
            directory_age_ms = self.shell.directory_age_ms(),
            catalog:% = self.shell.catalog_version();
            "attempt started"
        );
    }

    /// Records what the server says about itself in the head of its response, whether the caller waits for
    /// this call or not. Returns what the head belongs to, or `None` if it has not arrived.
    fn record_notice(&self, call: &mut AttemptCall) -> Option<ResponseKind> {
        let head = call.head()?;
        let request = &self.request.head.headers;
        let kind = classify_response(head.status, &head.headers, request, &call.spec.server);
        match kind {
            ResponseKind::NotRun | ResponseKind::Genuine => {}
            // Another server's word, or nobody's, says nothing about this one.
            ResponseKind::WrongServer | ResponseKind::OtherWeights | ResponseKind::Foreign => {
                return Some(kind);
            }
        }
        let notice = decode_server_notice(head.status, &head.headers);
        call.server_limit = notice.limit;
        // An answer without a notice may end a limit.
        if notice != ServerNotice::default() || self.shell.read(|it| !it.limits().is_empty()) {
            let (number, attempt) = (self.number, call.spec.attempt);
            self.shell.dispatch(RoutingEvent::ServerNoticed { number, attempt, notice });
        }
        Some(kind)
    }

    /// Connects, sends the request and waits for the head of the response.
    fn send_request(&self, spec: &AttemptSpec) -> PendingCall {
        let failed = |result| (result, AnswerProgress::Nothing);
        let request = self.build_request(spec);
        let (server, address) = (spec.server.clone(), spec.address);
        let request_id = self.request.request_id.clone();
        Box::pin(async move {
            let request = request.map_err(|error| {
                log::error!(error:% = error; "cannot build request to server");
                failed(AttemptResult::NeverSent)
            })?;
            let stream = connect(address, CONNECT_TIMEOUT).await.map_err(|error| {
                log::info!(server:% = server, error:% = error; "cannot connect to server");
                failed(match error.kind() {
                    ErrorKind::ConnectionRefused => AttemptResult::NoListener,
                    _ => AttemptResult::NeverSent,
                })
            })?;
            start_call(stream, request).await.map_err(|error| {
                log::info!(
                    request:% = request_id, server:% = server, error:% = error;
                    "cannot get response from server"
                );
                let progress =
                    if error.has_begun { AnswerProgress::Begun } else { AnswerProgress::Nothing };
                (AttemptResult::Lost, progress)
            })
        })
    }

    /// Builds the request to a server from the caller's request and the attempt's headers.
    fn build_request(&self, spec: &AttemptSpec) -> Result<http::Request<Full<Bytes>>, http::Error> {
        let head = &self.request.head;
        let path = head.uri.path_and_query().cloned();
        let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
        let deadline = self.shell.clock.instant(spec.deadline);
        let time_left = match self.request.headers.time_left {
            Some(time_left) => time_left.saturating_sub(self.request.arrived.elapsed()),
            None => deadline.saturating_duration_since(Instant::now()),
        };
        let attempt = AttemptHeaders {
            server: &spec.server,
            account: spec.account.as_ref(),
            rank: spec.rank,
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

    /// Sends a server's error response to the caller, if an attempt ended with one.
    fn forward_server_error(&mut self) {
        let Some(answer) = self.server_error.take() else { return };
        if let AnswerState::Waiting(answer_sender) =
            std::mem::replace(&mut self.state, AnswerState::Done)
            && answer_sender.send(answer).is_err()
        {
            self.shell.metrics.count("caller.gone");
        }
    }

    /// Lets the caller take the events that wait, unless it takes none for `max_wait`.
    fn let_deliver(&self, sender: &StreamSender, max_wait: Duration) {
        if !sender.is_drained() {
            tokio::spawn(watch_delivery(Arc::downgrade(&self.request.memory), max_wait));
        }
    }

    /// Sends the refusal or a server's earlier error to the caller, or breaks off its stream.
    fn refuse(&mut self, refusal: &Refusal) {
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
        match std::mem::replace(&mut self.state, AnswerState::Done) {
            AnswerState::Waiting(answer_sender) => {
                let own_answer = refusal_answer(refusal, &self.request.head.headers);
                // A server's own error is more specific than the refusal.
                let answer = self.server_error.take().unwrap_or(own_answer);
                if answer_sender.send(answer).is_err() {
                    self.shell.metrics.count("caller.gone");
                }
            }
            AnswerState::Streaming(sender) => self.state = AnswerState::Streaming(sender),
            AnswerState::Done => {}
        }
    }
}

/// Returns the time without the head of a response after which another server is tried, or `None`
/// for a request that may run only once: it must not be repeated, and a slow response does not
/// prove that it failed.
fn stall_timeout(spec: &AttemptSpec) -> Option<Duration> {
    match spec.kind {
        RouteKind::Idempotent => {
            let objectives = spec.latency_objective.map(|it| it * STALL_OBJECTIVE_FACTOR);
            Some(objectives.unwrap_or(DEFAULT_STALL_TIMEOUT))
        }
        RouteKind::ResumableStream => Some(FIRST_EVENT_TIMEOUT),
        RouteKind::Single | RouteKind::SingleStream => None,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
