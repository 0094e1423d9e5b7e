//! The HTTP server for callers.

use {
    super::{
        body::{AnswerBody, DisconnectGuard, EventBody, json_text},
        reply::{CallerReply, caller_error, into_answer, status_code},
    },
    crate::{
        chunk_support::ChunkSupport,
        event::{Event, Inbox},
        flushed_body::FlushedBody,
        memory::{
            BodyBounds, BodyError, GuardedBody, GuardedStream, Memory, Share, client_addr,
            read_held,
        },
        relay::{DrainPhase, DrainState},
    },
    coord::{
        ids::RequestId,
        memory::ConnectionClass,
        router::{Failure, RETRY_AFTER_STOPPING, Reason, Submission},
        time::Millis,
        wire::{CallerError, CallerRequest},
    },
    http_body_util::{Either, Full},
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        header::{CACHE_CONTROL, CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        net::TcpListener,
        pin::Pin,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::mpsc::{UnboundedReceiver, unbounded_channel},
        time::timeout,
    },
};

/// How long a caller may take to send the headers of a request.
const HEADER_TIMEOUT: Millis = Millis(10_000);
/// How long a caller may take to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest headers of a request.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// `Retry-After` of requests for whose bodies there is no memory: about the time after which
/// stalled bodies give up theirs.
const RETRY_AFTER_FULL: Millis = Millis(1000);

type Answer = Response<AnswerBody>;

/// The dependencies and limits of the callers' listener.
pub struct CallerContext {
    pub inbox: Inbox,
    pub max_body: usize,
    pub max_connections: usize,
    /// The state shown at `/ready`: whether a load balancer may send callers to
    /// this instance.
    pub ready: Arc<AtomicBool>,
    pub memory: Memory,
    pub drain: Arc<DrainState>,
}

/// Why a request wasn't passed on. It has not run.
struct Refusal {
    status: StatusCode,
    failure: Failure,
}

impl Refusal {
    fn bad_request(status: StatusCode, detail: String) -> Self {
        Self { status, failure: Failure::not_run(Reason::BadRequest, detail) }
    }

    fn unavailable(reason: Reason, detail: String, retry_after: Millis) -> Self {
        let failure = Failure::not_run(reason, detail).retry_after(retry_after);
        Self { status: StatusCode::SERVICE_UNAVAILABLE, failure }
    }
}

/// Serves callers until the process ends.
pub async fn serve(listener: TcpListener, context: CallerContext) {
    let class = ConnectionClass::Callers;
    let acceptor = context.memory.acceptor("callers", class, context.max_connections);
    let limits = context.memory.limits(HEADER_TIMEOUT, HEADER_TIMEOUT);
    let context = Arc::new(context);
    let accepted = |stream| {
        tokio::spawn(serve_caller(context.clone(), stream));
    };
    acceptor.accept(listener, || limits, accepted).await;
}

async fn serve_caller(context: Arc<CallerContext>, stream: GuardedStream) {
    if let Err(err) = stream.tcp().set_nodelay(true) {
        log::info!(error:% = err; "[callers] connection lost before its first request");
        return;
    }
    let guard = stream.guard().clone();
    let support = Arc::new(ChunkSupport::default());
    let (noted, watched) = (support.clone(), guard.clone());
    let drain = context.drain.clone();
    let is_used = Arc::new(AtomicBool::new(false));
    let used = is_used.clone();
    let open = OnceLock::new();
    let service = service_fn(move |mut request| {
        used.store(true, Ordering::Relaxed);
        open.get_or_init(|| context.drain.open_connection());
        noted.note(&request);
        guard.begin(&mut request);
        let (context, guard) = (context.clone(), guard.clone());
        async move {
            let mut answer = answer(&context, request).await;
            if context.drain.phase() != DrainPhase::Open {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer.map(|it| GuardedBody::new(it, guard)))
        }
    });
    let mut server = http1::Builder::new();
    server.max_buf_size(MAX_HEADER_BYTES);
    let mut connection = server.serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        it = &mut connection => Some(it.is_err()),
        () = watched.closed() => Some(true),
        () = drain.closed() => None,
    };
    let is_cut = match ended {
        Some(it) => it,
        None => {
            // Before its first request a connection would be closed, though one may be
            // under way.
            if is_used.load(Ordering::Relaxed) {
                Pin::new(&mut connection).graceful_shutdown();
            }
            tokio::select! {
                it = &mut connection => it.is_err(),
                () = watched.closed() => true,
            }
        }
    };
    if is_cut {
        support.close_failed(connection.into_parts().io.into_inner().into_tcp());
    }
}

async fn answer(context: &CallerContext, request: Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/requests") => submit(context, request).await,
        (&Method::GET, "/live") => plain(StatusCode::OK, "live\n"),
        (&Method::GET, "/ready") => match context.ready.load(Ordering::Relaxed) {
            true => plain(StatusCode::OK, "ready\n"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        _ => plain(StatusCode::NOT_FOUND, "not found\n"),
    }
}

async fn submit(context: &CallerContext, request: Request<Incoming>) -> Answer {
    // The input that is made of the body takes its room until the answer is known.
    let read = tokio::select! {
        it = read_request(context, request) => it,
        () = refuses_new(&context.drain) => Err(Refusal::unavailable(
            Reason::Stopping,
            "this instance is about to stop".to_owned(),
            RETRY_AFTER_STOPPING,
        )),
    };
    let (parsed, share) = match read {
        Ok(it) => it,
        Err(it) => return refuse(it),
    };
    let id = RequestId::generate();
    let stream = parsed.stream;
    let submission = Submission {
        id,
        route: parsed.route,
        team: parsed.team,
        class: parsed.class,
        deadline: Millis(parsed.deadline_ms),
        key: parsed.key,
        input: parsed.input.into(),
        stream,
    };
    let (reply, replies) = unbounded_channel();
    let mut guard = DisconnectGuard::new(id, context.inbox.clone());
    if !context.inbox.offer(Event::Submit { submission, reply }) {
        guard.finish();
        let failure = Failure::not_run(Reason::Overload, "too many events wait");
        return error_response(StatusCode::TOO_MANY_REQUESTS, &caller_error(Some(id), failure));
    }
    match stream {
        true => stream_answer(id, replies, guard.with_share(share)).await,
        false => whole_answer(id, replies, guard.with_share(share)).await,
    }
}

/// Waits until requests whose bodies aren't read yet are refused.
async fn refuses_new(drain: &DrainState) {
    tokio::select! {
        () = drain.closed() => {}
        () = drain.last_call(Duration::ZERO) => {}
    }
}

/// Refuses a request whose body wasn't read.
fn refuse(refusal: Refusal) -> Answer {
    let Refusal { status, failure } = refusal;
    let mut answer = error_response(status, &caller_error(None, failure));
    if status == StatusCode::REQUEST_TIMEOUT {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

async fn read_request(
    context: &CallerContext,
    request: Request<Incoming>,
) -> Result<(CallerRequest, Option<Share>), Refusal> {
    let bounds = BodyBounds::of_client(context.max_body, client_addr(request.extensions()));
    let read = read_held(&context.memory.callers, request.into_body(), &bounds);
    let body = match timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(it)) => it,
        Ok(Err(err)) => {
            let detail = err.to_string();
            return Err(match err {
                BodyError::TooLong { .. } => {
                    Refusal::bad_request(StatusCode::PAYLOAD_TOO_LARGE, detail)
                }
                BodyError::Broken { .. } => Refusal::bad_request(StatusCode::BAD_REQUEST, detail),
                BodyError::Stalled => Refusal::bad_request(StatusCode::REQUEST_TIMEOUT, detail),
                BodyError::NoRoom => {
                    Refusal::unavailable(Reason::Overload, detail, RETRY_AFTER_FULL)
                }
            });
        }
        Err(_) => {
            let detail = "the body took too long".to_owned();
            return Err(Refusal::bad_request(StatusCode::REQUEST_TIMEOUT, detail));
        }
    };
    let request = serde_json::from_slice(body.as_ref()).map_err(|err| {
        let detail = format!("the body can't be understood: {err}");
        Refusal::bad_request(StatusCode::BAD_REQUEST, detail)
    })?;
    Ok((request, body.into_parts().1))
}

async fn whole_answer(
    id: RequestId,
    mut replies: UnboundedReceiver<CallerReply>,
    mut guard: DisconnectGuard,
) -> Answer {
    while let Some(reply) = replies.recv().await {
        if let CallerReply::Finish(finish) = reply {
            guard.finish();
            return match into_answer(id, *finish) {
                Ok(it) => json(StatusCode::OK, &it),
                Err(it) => error_response(status_code(&it), &it),
            };
        }
    }
    core_ended(id)
}

/// Streams the answer, or returns an error response if the request fails before
/// its first piece.
async fn stream_answer(
    id: RequestId,
    mut replies: UnboundedReceiver<CallerReply>,
    mut guard: DisconnectGuard,
) -> Answer {
    let first = match replies.recv().await {
        Some(CallerReply::Finish(finish)) if finish.result.is_err() => {
            guard.finish();
            let err = into_answer(id, *finish).expect_err("the request failed");
            return error_response(status_code(&err), &err);
        }
        Some(it) => it,
        None => return core_ended(id),
    };
    let body = EventBody::new(id, first, replies, guard);
    let answer = Response::builder()
        .header(CONTENT_TYPE, "text/event-stream")
        .header(CACHE_CONTROL, "no-store")
        .body(Either::Right(FlushedBody::new(body)));
    answer.expect("the response headers are valid")
}

/// The error response when the core loop has ended: it isn't known whether the
/// request ran.
fn core_ended(id: RequestId) -> Answer {
    let outcome = coord::router::Outcome::Unknown;
    let failure = Failure {
        outcome,
        reason: Reason::Stopping,
        detail: "the instance ended".to_owned(),
        retry_after: None,
    };
    error_response(StatusCode::BAD_GATEWAY, &caller_error(Some(id), failure))
}

fn error_response(status: StatusCode, err: &CallerError) -> Answer {
    let mut answer = json(status, err);
    if let Some(after) = err.retry_after_ms {
        answer.headers_mut().insert(RETRY_AFTER, after.div_ceil(1000).into());
    }
    answer
}

fn json(status: StatusCode, value: &impl serde::Serialize) -> Answer {
    let body = Either::Left(Full::new((json_text(value) + "\n").into()));
    let answer = Response::builder().status(status).header(CONTENT_TYPE, "application/json");
    answer.body(body).expect("the response headers are valid")
}

fn plain(status: StatusCode, text: &'static str) -> Answer {
    let body = Either::Left(Full::new(text.into()));
    Response::builder().status(status).body(body).expect("the response headers are valid")
}
