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
    },
    coord::{
        ids::RequestId,
        router::{Failure, Reason, Submission},
        time::Millis,
        wire::{CallerError, CallerRequest},
    },
    http_body_util::{BodyExt, Either, Full, Limited},
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        net::TcpListener,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{
            Semaphore,
            mpsc::{UnboundedReceiver, unbounded_channel},
        },
        time::timeout,
    },
};

/// How long a caller may take to send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a caller may take to send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest headers of a request.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// The pause after an error of `accept`, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

type Answer = Response<AnswerBody>;

/// The dependencies and limits of the callers' listener.
pub struct CallerContext {
    pub inbox: Inbox,
    pub max_body: usize,
    pub max_connections: usize,
    /// The state shown at `/ready`: whether a load balancer may send callers to
    /// this instance.
    pub ready: Arc<AtomicBool>,
}

/// Serves callers until the process ends.
pub async fn serve(listener: TcpListener, context: CallerContext) {
    let listener = tokio::net::TcpListener::from_std(listener);
    let listener = listener.expect("the listener is non-blocking");
    let permits = Arc::new(Semaphore::new(context.max_connections));
    let context = Arc::new(context);
    loop {
        let permit = permits.clone().acquire_owned().await.expect("the semaphore stays open");
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("[callers] A connection could not be accepted: {err}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let context = context.clone();
        tokio::spawn(async move {
            let support = Arc::new(ChunkSupport::default());
            let noted = support.clone();
            let service = service_fn(move |it| {
                noted.note(&it);
                answer(context.clone(), it)
            });
            let mut server = http1::Builder::new();
            server
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(MAX_HEADER_BYTES);
            let mut connection = server.serve_connection(TokioIo::new(stream), service);
            if (&mut connection).await.is_err() {
                support.close_failed(connection.into_parts().io.into_inner());
            }
            drop(permit);
        });
    }
}

async fn answer(
    context: Arc<CallerContext>,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    Ok(match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/requests") => submit(&context, request).await,
        (&Method::GET, "/live") => plain(StatusCode::OK, "live\n"),
        (&Method::GET, "/ready") => match context.ready.load(Ordering::Relaxed) {
            true => plain(StatusCode::OK, "ready\n"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        _ => plain(StatusCode::NOT_FOUND, "not found\n"),
    })
}

async fn submit(context: &CallerContext, request: Request<Incoming>) -> Answer {
    let parsed = match read_request(context, request).await {
        Ok(it) => it,
        Err((status, detail)) => {
            let failure = Failure::not_run(Reason::BadRequest, detail);
            return error_response(status, &caller_error(None, failure));
        }
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
        true => stream_answer(id, replies, guard).await,
        false => whole_answer(id, replies, guard).await,
    }
}

async fn read_request(
    context: &CallerContext,
    request: Request<Incoming>,
) -> Result<CallerRequest, (StatusCode, String)> {
    let limited = Limited::new(request.into_body(), context.max_body).collect();
    let body = match timeout(BODY_TIMEOUT, limited).await {
        Ok(Ok(it)) => it.to_bytes(),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
            let detail = format!("the body is longer than {} bytes", context.max_body);
            return Err((StatusCode::PAYLOAD_TOO_LARGE, detail));
        }
        Ok(Err(err)) => return Err((StatusCode::BAD_REQUEST, err.to_string())),
        Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body took too long".to_owned())),
    };
    let request = serde_json::from_slice(&body);
    request.map_err(|err| (StatusCode::BAD_REQUEST, format!("the body can't be understood: {err}")))
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
                Err(it) => error_response(status_code(it.reason), &it),
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
            return error_response(status_code(err.reason), &err);
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
        let seconds = after.div_ceil(1000).max(1);
        answer.headers_mut().insert(RETRY_AFTER, seconds.into());
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
