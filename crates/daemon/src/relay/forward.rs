//! Sends a request to endpoints until one responds or no further attempt is
//! allowed.

use {
    super::{
        HeaderNames,
        body_check::BodyCheck,
        crash_watch::AttemptWatch,
        front::{RETRY_AFTER_STOPPING, RETRY_AFTER_WITHHELD},
        hand_over::HandOver,
        progress::Wait,
        record::{RequestRecord, join_parts, log_withheld},
        relay::{Relay, RunTimer},
        request::RelayRequest,
        response::{
            Denial, HoldsRoom, RelayResponse, deny, full_body, stream_body, strip_hop_by_hop,
        },
        rollouts::SendGuard,
        stages::StageResults,
        stream::{RelayBody, StreamGuards},
        upstream::{Lease, SendError},
    },
    crate::memory::{BodyBounds, read_body},
    coord::{
        ids::EndpointName,
        relay::{AttemptOutcome, Attempts, NextAction},
        tables::{Endpoint, Suspect},
        time::Millis,
    },
    hyper::{
        Response, StatusCode,
        body::{Bytes, Incoming},
        header::CONTENT_LENGTH,
        http::response::Parts,
    },
    std::{
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout_at},
};

/// The largest response body that is buffered before it is forwarded; streams
/// are forwarded as they arrive.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// `Retry-After` of requests that met full or failing endpoints: about the time
/// of a few requests.
const RETRY_AFTER: Millis = Millis(300);

/// `Retry-After` of requests on trial at another instance: about the time until the
/// outcome is known.
pub const RETRY_AFTER_TRIAL: Millis = Millis(1000);

/// The outcome of one attempt at an endpoint.
enum Reply {
    /// A successful stream whose body is still arriving.
    Stream(Response<Incoming>, BodyCheck, Lease, Box<AttemptWatch>),
    /// A completely read response that can be forwarded.
    Complete(Parts, Bytes),
    /// A server error from an endpoint that ran the request.
    Failed(Parts, Bytes),
    /// The endpoint states that it has not run the request.
    NotRun,
    /// As `NotRun`, because a stage result that it needs is gone.
    InputGone,
    /// The response is invalid or belongs to another request.
    Improper(&'static str),
    /// The connection failed within the body of the response.
    Broken(&'static str),
    /// The connection failed before the response head arrived.
    Lost(SendError),
    /// Nothing was sent, since the endpoint takes no requests now or this process has no
    /// descriptor for a connection. Another is tried.
    Withheld,
    /// The caller's deadline passed.
    TimedOut,
}

/// A request being forwarded, with its body and stage results.
pub struct Forward {
    pub relay: Rc<Relay>,
    pub request: RelayRequest,
    pub body: Bytes,
    /// The request itself, as a suspect.
    pub whole: Suspect,
    pub results: StageResults,
    pub record: RequestRecord,
}

impl Forward {
    /// Forwards the request, with retries, and returns the final response.
    pub async fn run(mut self) -> RelayResponse {
        let mut attempts = Attempts::new(&self.request.route);
        let mut tried: Vec<EndpointName> = Vec::new();
        self.relay.earn_retry(&self.request.pool);
        loop {
            self.record.set_may_have_run(attempts.may_have_run());
            if self.would_be_cut_off(Duration::ZERO) {
                return match attempts.may_have_run() {
                    true => self.deny(Denial::Unknown),
                    false => self.deny_stopping(),
                };
            }
            if self.may_hand_over(&attempts) {
                return self.hand_over(attempts.may_have_run()).await;
            }
            let suspects = self.request.parts.iter().chain([&self.whole]);
            let view = self.relay.view();
            if let Some(it) = view.withheld_for(&self.request.pool, suspects) {
                log_withheld(&self.request.id, &self.request.pool, it);
                return match attempts.may_have_run() {
                    true => self.deny(Denial::Unknown),
                    false => self.deny_withheld(),
                };
            }
            let (pool, whole) = (&self.request.pool, &self.whole);
            if attempts.may_have_run() && self.relay.crashes.is_suspect(pool, whole) {
                return self.deny(Denial::Unknown);
            }
            let Some(endpoint) = self.choose(&tried) else {
                let unknown = attempts.give_up(AttemptOutcome::NotSent) == NextAction::Fail;
                match self.pause_left(&tried) {
                    _ if unknown => return self.deny(Denial::Unknown),
                    None if self.is_limited() => return self.deny_limited(),
                    None => return self.deny(Denial::NoEndpoint),
                    Some(it) if self.can_wait(it) => {
                        self.record.wait_for(Wait::Pause);
                        let drain = &self.relay.drain;
                        tokio::select! {
                            () = sleep(it) => {}
                            () = self.pause_overtaken(&tried, it) => {}
                            // The pause may now end too late.
                            () = drain.begun(), if drain.answer_by().is_none() => {}
                            () = drain.last_call(self.expected_time()) => {}
                        }
                    }
                    Some(it) if self.would_be_cut_off(it) => return self.deny_stopping(),
                    Some(it) => return self.deny_until(it),
                }
                continue;
            };
            let (pool, whole) = (&self.request.pool, &self.whole);
            let (now, view) = (self.relay.now(), self.relay.view());
            if !self.relay.crashes.may_send(now, &view.tables, pool, whole) {
                return self.deny_on_trial();
            }
            let kind = self.send_kind(&tried);
            tried.push(endpoint.name.clone());
            let route = &self.request.route.name;
            let send = self.relay.rollouts.begin(&endpoint, route, kind);
            let send = send.or_else(|| self.relay.rollouts.begin_fallback(&endpoint, route));
            let Some(mut send) = send else {
                // The rollout has gone on since the endpoint was chosen.
                self.relay.crashes.end_trial(&self.request.pool, &self.whole);
                continue;
            };
            attempts.record_send();
            let mut in_flight = self.relay.begin_attempt(&endpoint, send.is_counted());
            let reply = self.send(&endpoint, &mut send).await;
            let (outcome, failure) = match reply {
                Reply::Withheld => {
                    send.cancel();
                    attempts.forget_send();
                    self.relay.crashes.end_trial(&self.request.pool, &self.whole);
                    continue;
                }
                Reply::Stream(response, check, lease, watch) => {
                    in_flight.record_answer();
                    let stream = self.relay.streams.begin(&self.request, &endpoint);
                    let guards = StreamGuards { lease, watch, stream, in_flight, send };
                    return self.stream(response, check, guards);
                }
                Reply::Complete(head, body) => {
                    in_flight.record_answer();
                    return self.respond(head, body, "whole");
                }
                Reply::TimedOut => {
                    send.timed_out();
                    return self.deny(Denial::TimedOut);
                }
                Reply::InputGone if !attempts.may_have_run() => return self.deny(Denial::NotRun),
                Reply::InputGone => return self.deny(Denial::Unknown),
                Reply::Failed(head, body) => {
                    send.failed();
                    (AttemptOutcome::Failed, Some((head, body)))
                }
                Reply::NotRun => (AttemptOutcome::NotRun, None),
                Reply::Improper(why) | Reply::Broken(why) => {
                    if matches!(reply, Reply::Improper(_)) {
                        send.failed();
                    }
                    log::info!(
                        request = self.request.id.as_str(), endpoint = endpoint.name.as_str(),
                        why = why;
                        "[relay] improper answer"
                    );
                    (AttemptOutcome::Unknown, None)
                }
                Reply::Lost(err) => {
                    let outcome = if err.is_unsent() {
                        AttemptOutcome::NotSent
                    } else {
                        AttemptOutcome::Unknown
                    };
                    log::info!(
                        request = self.request.id.as_str(), endpoint = endpoint.name.as_str(),
                        sent = !err.is_unsent(), parts = join_parts(&self.request.parts),
                        digest:% = self.whole,
                        error:% = err;
                        "[relay] attempt lost"
                    );
                    if err.is_unsent() {
                        send.cancel();
                    }
                    (outcome, None)
                }
            };
            drop(in_flight);
            self.record_failure(&endpoint, outcome);
            if matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::NotRun) {
                self.relay.crashes.end_trial(&self.request.pool, &self.whole);
            }
            let mut next = attempts.record_outcome(outcome);
            let counted = outcome != AttemptOutcome::NotSent;
            if next == NextAction::Retry && counted && !self.relay.spend_retry(&self.request.pool) {
                log::info!(request = self.request.id.as_str(); "[relay] retry budget exhausted");
                next = attempts.give_up(outcome);
            }
            match (next, failure) {
                (NextAction::Retry, _) => {}
                (NextAction::Pass, Some((head, body))) => {
                    return self.respond(head, body, "failed");
                }
                (NextAction::Refuse, _) => return self.deny(Denial::NotRun),
                (NextAction::Fail | NextAction::Pass, _) => return self.deny(Denial::Unknown),
            }
        }
    }

    /// Whether another instance is to serve the request, as this one reaches no endpoints.
    fn may_hand_over(&self, attempts: &Attempts) -> bool {
        let repeatable = !attempts.may_have_run() || self.request.route.retry.is_retryable();
        self.relay.reach.is_cut() && !self.request.handed && repeatable
    }

    /// Whether a graceful shutdown would end before the request does if it is sent after a
    /// pause.
    fn would_be_cut_off(&self, pause: Duration) -> bool {
        let drain = &self.relay.drain;
        drain.answer_by().is_some() && !drain.can_answer_in(pause + self.expected_time())
    }

    /// Estimates how long the request takes at an endpoint, to the end of its answer.
    fn expected_time(&self) -> Duration {
        let time = self.relay.expected_whole_time(&self.request, self.body.len());
        Duration::from_millis(time.0)
    }

    async fn hand_over(self, may_have_run: bool) -> RelayResponse {
        self.results.close();
        let Self { relay, request, body, record, .. } = self;
        HandOver { relay, request, body, record, may_have_run }.run().await
    }

    /// Whether the request can run after this time and still meet its deadline.
    fn can_wait(&self, time: Duration) -> bool {
        let run = self.relay.expected_run_time(&self.request.pool, self.body.len());
        let waits = time + Duration::from_millis(run.0) <= self.request.remaining()
            && !self.would_be_cut_off(time);
        log::info!(
            request = self.request.id.as_str(), pool:% = self.request.pool,
            left_ms = self.request.remaining().as_millis() as u64,
            pause_ms = time.as_millis() as u64, waits = waits;
            "[relay] every endpoint asked for a pause"
        );
        waits
    }

    async fn send(&mut self, endpoint: &Endpoint, counted: &mut SendGuard) -> Reply {
        self.record.add_send(endpoint.name.as_str(), Wait::Endpoint);
        let names = &self.relay.dialect.headers;
        let outgoing = self.request.outgoing(
            names,
            endpoint.name.as_str(),
            &self.results.inputs(),
            self.body.clone(),
        );
        let deadline = self.request.deadline.into();
        let watch = self.relay.crashes.attempt(&self.request, &self.whole, endpoint);
        let began = Instant::now();
        let sent = timeout_at(deadline, self.relay.upstream.send(endpoint, outgoing)).await;
        let (response, lease) = match sent {
            Err(_) => return Reply::TimedOut,
            Ok(Err(SendError::Withheld | SendError::NoDescriptor)) => return Reply::Withheld,
            Ok(Err(err)) => {
                if !err.is_unsent() {
                    watch.broke_off(false);
                }
                return Reply::Lost(err);
            }
            Ok(Ok(it)) => it,
        };
        watch.note_heard();
        let is_stream = response.status().is_success() && self.request.route.retry.is_stream();
        let mut check = BodyCheck::new(&response, is_stream);
        self.record.set_framing(check.framing());
        if let Some(reply) = check_head(names, &self.request, &response, lease.is_reused()) {
            return reply;
        }
        self.relay.record_run_time(&self.request.pool, self.body.len(), began.elapsed());
        if !is_stream && !response.status().is_server_error() {
            counted.answered();
        }
        if is_stream {
            return Reply::Stream(response, check, lease, Box::new(watch));
        }
        let (head, body) = response.into_parts();
        let bounds = BodyBounds::of_answer(MAX_BUFFERED_BYTES);
        let read = read_body(&self.relay.memory.answers, body, &bounds);
        match timeout_at(deadline, read).await {
            Err(_) => Reply::TimedOut,
            Ok(Err(err)) => {
                self.record.log_error(&err);
                watch.broke_off(true);
                Reply::Broken("the body can't be read whole")
            }
            Ok(Ok(body)) => {
                watch.close();
                check.push(&body);
                if check.check_end().is_err() {
                    return Reply::Improper("the events of the body ended early");
                }
                lease.release();
                match head.status.is_server_error() {
                    true => Reply::Failed(head, body),
                    false => Reply::Complete(head, body),
                }
            }
        }
    }

    /// Updates the endpoint's failure state after a failed attempt.
    fn record_failure(&self, endpoint: &Endpoint, outcome: AttemptOutcome) {
        let avoided = match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::Unknown => {
                self.relay.placer().failed(self.relay.now(), &endpoint.name)
            }
            AttemptOutcome::Failed | AttemptOutcome::NotRun => Millis(0),
        };
        log::info!(
            request = self.request.id.as_str(), endpoint = endpoint.name.as_str(),
            ended:? = outcome, avoided_ms = avoided.0;
            "[relay] attempt failed"
        );
    }

    fn stream(
        self,
        response: Response<Incoming>,
        check: BodyCheck,
        guards: StreamGuards,
    ) -> RelayResponse {
        let (mut head, body) = response.into_parts();
        strip_hop_by_hop(&mut head);
        if check.events().is_some() {
            head.headers.remove(CONTENT_LENGTH);
        }
        self.results.close();
        self.record.wait_for(Wait::Rest);
        let deadline = self.request.deadline;
        let timer = RunTimer::start(&self.relay, &self.request, self.body.len());
        let body = RelayBody::new(body, check, guards, timer, deadline, self.record);
        Response::from_parts(head, stream_body(body))
    }

    fn respond(mut self, mut head: Parts, body: Bytes, outcome: &'static str) -> RelayResponse {
        strip_hop_by_hop(&mut head);
        head.headers.remove(CONTENT_LENGTH);
        self.record.add_bytes(body.len());
        self.record.finish(outcome);
        head.extensions.insert(HoldsRoom);
        Response::from_parts(head, full_body(body))
    }

    fn deny(mut self, denial: Denial) -> RelayResponse {
        self.record.finish(denial.name());
        let not_run = denial.status() == StatusCode::SERVICE_UNAVAILABLE;
        let after = not_run.then(|| self.pause_left(&[]).map_or(RETRY_AFTER, to_millis));
        deny(denial, after)
    }

    fn deny_stopping(mut self) -> RelayResponse {
        self.record.finish(Denial::Stopping.name());
        deny(Denial::Stopping, Some(RETRY_AFTER_STOPPING))
    }

    fn deny_withheld(mut self) -> RelayResponse {
        self.record.finish(Denial::Withheld.name());
        deny(Denial::Withheld, Some(RETRY_AFTER_WITHHELD))
    }

    /// Refuses the request until about the pool's next send, spread so that not all come
    /// back for the same one.
    fn deny_limited(mut self) -> RelayResponse {
        let gap = Millis(1_000_000 / self.pool_limit().0.max(1)).max(RETRY_AFTER);
        let wait = gap + Millis(rand::random_range(0..=gap.0));
        self.record.finish(Denial::Limited.name());
        deny(Denial::Limited, Some(wait))
    }

    fn deny_on_trial(mut self) -> RelayResponse {
        self.record.finish(Denial::Withheld.name());
        deny(Denial::Withheld, Some(RETRY_AFTER_TRIAL))
    }

    fn deny_until(mut self, time: Duration) -> RelayResponse {
        self.record.finish(Denial::Paused.name());
        deny(Denial::Paused, Some(to_millis(time)))
    }
}

fn to_millis(time: Duration) -> Millis {
    Millis(time.as_millis() as u64)
}

/// Returns the reply for a response that its head alone shows can't be
/// forwarded.
fn check_head(
    names: &HeaderNames,
    request: &RelayRequest,
    response: &Response<Incoming>,
    reused: bool,
) -> Option<Reply> {
    let headers = response.headers();
    let status = response.status();
    let echo = headers.get(&names.request);
    if echo.is_some_and(|it| it.as_bytes() != request.id.as_bytes()) {
        return Some(Reply::Improper("the response belongs to another request"));
    }
    if reused && echo.is_none() {
        // It may be an old answer, written once more.
        return Some(Reply::Improper("the request id is missing on a reused connection"));
    }
    if headers.contains_key(&names.not_run) && status == StatusCode::CONFLICT {
        return Some(Reply::InputGone);
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Some(Reply::NotRun);
    }
    let signed = headers.contains_key(&names.signature);
    if status.is_success() && (!signed || echo.is_none()) {
        return Some(Reply::Improper("the signature or the request id is missing"));
    }
    // To the caller, these statuses would mean that the request has not run,
    // which the endpoint has not stated.
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let improper =
        not_run_statuses.contains(&status) || status.is_informational() || status.is_redirection();
    improper.then_some(Reply::Improper("the status may not be forwarded"))
}
