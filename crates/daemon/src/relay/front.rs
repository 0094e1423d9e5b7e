//! HTTP server for callers and for the load balancer's readiness checks.

use {
    super::{
        DrainPhase, PieceError,
        forward::{Forward, RETRY_AFTER_TRIAL},
        hand_over::{HandOver, RETRY_AFTER_CUT},
        hand_over_mark::{HANDED_OVER, is_handed_over},
        progress::Wait,
        record::{RequestRecord, log_withheld},
        relay::Relay,
        request::RelayRequest,
        response::{
            Denial, HoldsRoom, RelayResponse, add_connection_close, add_request_id, deny, full_body,
        },
        stages::{self, StageResults, StagesError},
    },
    crate::{
        chunk_support::ChunkSupport,
        memory::{
            BodyBounds, BodyError, GuardedBody, GuardedStream, Memory, client_addr, read_body,
        },
        sockets::SocketBounds,
    },
    coord::{
        admission::RetryTime,
        memory::{ConnectionClass, ConnectionLimits},
        tables::Suspect,
        time::Millis,
    },
    hyper::{
        Request, Response, StatusCode,
        body::{Bytes, Incoming},
        header::HeaderValue,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    metrics::counter,
    std::{
        cell::OnceCell,
        convert::Infallible,
        net::TcpListener,
        pin::Pin,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
};

/// Added to the catalog's idle timeout, so that the caller closes an idle
/// connection before the server does.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum number of callers' connections, if memory and descriptors allow as many.
const MAX_CONNECTIONS: usize = 2048;
/// Maximum number of the load balancer's connections.
const MAX_READINESS_CONNECTIONS: usize = 64;
/// `Retry-After` of requests whose stages failed or can't finish in time: about
/// two calls of a stage.
const RETRY_AFTER_STAGES: Millis = Millis(500);
/// `Retry-After` of requests that take up a stream whose origin isn't certain: callers
/// may begin anew at once.
const RETRY_AFTER_UNRESUMABLE: Millis = Millis(100);
/// `Retry-After` of an instance that is stopping: others serve at once.
pub const RETRY_AFTER_STOPPING: Millis = Millis(0);
/// `Retry-After` of requests for whose bodies there is no memory: about the time after which
/// stalled bodies give up theirs.
const RETRY_AFTER_NO_MEMORY: Millis = Millis(1000);

/// Serves callers and, if there is a listener for them, readiness checks until
/// the process ends.
pub async fn serve(relay: Rc<Relay>, listener: TcpListener, readiness: Option<TcpListener>) {
    if let Some(it) = readiness {
        let acceptor = relay.memory.acceptor(
            "readiness",
            ConnectionClass::Readiness,
            MAX_READINESS_CONNECTIONS,
        );
        let limits = connection_limits(&relay, Memory::limits);
        let relay = relay.clone();
        tokio::task::spawn_local(acceptor.accept(it, limits, move |stream| {
            tokio::task::spawn_local(serve_readiness(relay.clone(), stream));
        }));
    }
    let limits = connection_limits(&relay, Memory::streaming_limits);
    let acceptor = relay.memory.acceptor("relay", ConnectionClass::Callers, MAX_CONNECTIONS);
    acceptor
        .accept(listener, limits, |stream| {
            tokio::task::spawn_local(serve_caller(relay.clone(), stream));
        })
        .await;
}

/// Returns the limits of a listener's connections by the catalog and the memory budget.
fn connection_limits(
    relay: &Rc<Relay>,
    by_memory: fn(&Memory, Millis, Millis) -> ConnectionLimits,
) -> impl Fn() -> ConnectionLimits + 'static {
    let relay = relay.clone();
    move || {
        let view = relay.view();
        let limits = &view.catalog().limits;
        let idle = limits.idle_timeout + Millis(IDLE_MARGIN.as_millis() as u64);
        by_memory(&relay.memory, limits.head_timeout, idle)
    }
}

async fn serve_readiness(relay: Rc<Relay>, stream: GuardedStream) {
    let guard = stream.guard().clone();
    let watched = guard.clone();
    let service = service_fn(move |_: Request<Incoming>| {
        guard.note_request();
        let status = match relay.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let body = GuardedBody::new(full_body(Bytes::new()), guard.clone());
        let response = Response::builder().status(status).body(body);
        std::future::ready(Ok::<_, Infallible>(response.expect("the response head is valid")))
    });
    let mut server = http1::Builder::new();
    server.max_buf_size(MIN_BUFFER_BYTES);
    let connection = server.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Errors are ignored: a balancer that disconnects checks again.
        _ = connection => {}
        () = watched.closed() => {}
    }
}

async fn serve_caller(relay: Rc<Relay>, stream: GuardedStream) {
    if let Err(err) = SocketBounds::CALLER.apply(stream.tcp()) {
        log::info!(error:% = err; "[relay] connection lost before its first request");
        return;
    }
    let limits = relay.view().catalog().limits.clone();
    let guard = stream.guard().clone();
    // The guard bounds the time of heads and between requests.
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new()).header_read_timeout(None);
    server.max_buf_size((limits.max_head.0 as usize).max(MIN_BUFFER_BYTES));
    let drain = relay.drain.clone();
    let support = Rc::new(ChunkSupport::default());
    let (noted, watched) = (support.clone(), guard.clone());
    let open = Rc::new(OnceCell::new());
    let opened = open.clone();
    let service = service_fn(move |mut request| {
        noted.note(&request);
        guard.begin(&mut request);
        opened.get_or_init(|| relay.drain.open_connection());
        let (relay, guard) = (relay.clone(), guard.clone());
        async move {
            let response = handle(relay, request).await;
            if response.extensions().get::<HoldsRoom>().is_some() {
                guard.note_holding();
            }
            Ok::<_, Infallible>(response.map(|it| GuardedBody::new(it, guard)))
        }
    });
    let mut connection = server.serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        it = &mut connection => Some(it),
        () = watched.closed() => {
            support.close_failed(connection.into_parts().io.into_inner().into_tcp());
            return;
        }
        () = drain.closed(), if drain.phase() < DrainPhase::Closed => None,
    };
    let ended = match ended {
        Some(it) => it,
        None => {
            // Before its first request a connection would be closed, though one may be under way.
            if open.get().is_some() {
                Pin::new(&mut connection).graceful_shutdown();
            }
            tokio::select! {
                it = &mut connection => it,
                () = watched.closed() => {
                    support.close_failed(connection.into_parts().io.into_inner().into_tcp());
                    return;
                }
            }
        }
    };
    // Connection errors are not logged here: each request logs its own outcome.
    if ended.is_err() {
        support.close_failed(connection.into_parts().io.into_inner().into_tcp());
    }
}

/// Minimum size of the server's read buffer.
const MIN_BUFFER_BYTES: usize = 16 << 10;

/// `Retry-After` of withheld requests: longer than callers wait, since they are withheld
/// for minutes.
pub const RETRY_AFTER_WITHHELD: Millis = Millis(60_000);

async fn handle(relay: Rc<Relay>, request: Request<Incoming>) -> RelayResponse {
    let is_handed = is_handed_over(request.headers(), &relay.mark);
    let mut response = relay_request(&relay, request).await;
    if is_handed && response.extensions().get() == Some(&Denial::Stopping) {
        // Another instance may be tried.
        response.headers_mut().insert(HANDED_OVER, relay.mark.clone());
    }
    let is_stalled = response.status() == Denial::Stalled.status();
    if is_stalled || relay.drain.phase() != DrainPhase::Open {
        add_connection_close(&mut response);
    }
    response
}

async fn relay_request(relay: &Rc<Relay>, request: Request<Incoming>) -> RelayResponse {
    let received = Instant::now();
    let guard = relay.drain.track();
    let view = relay.view();
    let (head, body) = request.into_parts();
    let version = view.catalog().version.0;
    let names = &relay.dialect.headers;
    let id = head.headers.get(&names.request).cloned();
    let left = head.headers.get(&names.deadline).cloned();
    let handed = is_handed_over(&head.headers, &relay.mark);
    let client = client_addr(&head.extensions);
    let request = match RelayRequest::parse(&view, names, head, received) {
        Ok(it) if relay.drain.phase() < DrainPhase::Closed => Ok(it),
        Ok(_) => Err(Denial::Stopping),
        Err(denial) => Err(denial),
    };
    let request = match request {
        Ok(it) => it,
        Err(denial) => {
            let denial = qualify(denial, relay);
            let id = id.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("none");
            log::info!(
                request = id, outcome = denial.name(), catalog = version,
                tables_age_ms = relay.clock.age(relay.now()).0;
                "[relay] refused"
            );
            counter!("mangobend_relay_refused_total", "reason" => denial.name()).increment(1);
            let unready = matches!(denial, Denial::NoCatalog | Denial::Outdated);
            let after = unready.then(|| retry_after_start(left)).or_else(|| retry_after(denial));
            return deny(denial, after);
        }
    };
    let mut request = request;
    request.handed = handed;
    request.client = client;
    let progress = relay.requests.begin(&request.id, request.route.name.as_str(), received);
    let record =
        RequestRecord::new(&request, version, relay.series.clone(), progress.clone(), guard);
    let mut serving = Box::pin(serve_request(relay, request, body, record));
    tokio::select! {
        // An answer that is there is delivered.
        biased;
        response = &mut serving => return response,
        () = relay.drain.last_call(Duration::ZERO) => {}
    }
    // Whatever the request waits for, its caller must have an answer before the process ends.
    let denial = progress.stop();
    drop(serving);
    let mut response = deny(denial, retry_after(denial));
    add_request_id(&mut response, progress.request(), &names.request);
    response
}

/// Serves a request that is allowed, here or at another instance.
async fn serve_request(
    relay: &Rc<Relay>,
    mut request: RelayRequest,
    body: Incoming,
    mut record: RequestRecord,
) -> RelayResponse {
    if relay.reach.is_cut() {
        return serve_elsewhere(relay, request, body, record).await;
    }
    let name = &relay.dialect.headers.request;
    if request.resumption.is_some() {
        record.wait_for(Wait::Origin);
    }
    if let Err(denial) = bind_stream(relay, &mut request).await {
        record.finish(denial.name());
        let mut response = deny(denial, Some(RETRY_AFTER_UNRESUMABLE));
        add_request_id(&mut response, &request.id, name);
        return response;
    }
    record.set_pool(&request.pool);
    let mut response = match prepare(relay, &request, body, &record).await {
        Ok((body, whole, results)) => {
            let relay = relay.clone();
            return Forward { relay, request, body, whole, results, record }.run().await;
        }
        Err((denial, after)) => {
            record.finish(denial.name());
            deny(denial, after)
        }
    };
    add_request_id(&mut response, &request.id, name);
    response
}

/// Returns the denial of a request that the tables don't allow. Callers don't come back after
/// one that is final, so that it takes tables that are known to be current.
fn qualify(denial: Denial, relay: &Relay) -> Denial {
    match denial {
        Denial::NoRoute | Denial::NoKey if !relay.clock.is_current(relay.now()) => Denial::Outdated,
        _ => denial,
    }
}

/// Returns after which time a request may come back that was refused for lack of a catalog,
/// or of a current one.
/// `left` is the caller's time as its header states it.
fn retry_after_start(left: Option<HeaderValue>) -> Millis {
    let left = left.and_then(|it| it.to_str().ok()?.trim().parse().ok());
    RetryTime::NO_CATALOG.within(left.map(Millis), rand::random())
}

/// Returns after which time a request that was refused before it was passed on may come back.
fn retry_after(denial: Denial) -> Option<Millis> {
    match denial {
        Denial::Stopping => Some(RETRY_AFTER_STOPPING),
        Denial::Withheld => Some(RETRY_AFTER_WITHHELD),
        Denial::NoMemory => Some(RETRY_AFTER_NO_MEMORY),
        _ => None,
    }
}

/// Restricts a request that takes up a stream to what the stream came from.
///
/// # Errors
/// That isn't certain, or the route doesn't lead there any more.
async fn bind_stream(relay: &Relay, request: &mut RelayRequest) -> Result<(), Denial> {
    let Some(resumption) = &request.resumption else {
        return Ok(());
    };
    let origin = relay.streams.find(request).await;
    log::info!(
        request = request.id.as_str(), last_event = resumption.last_event.as_str(),
        resumes = resumption.first_attempt.as_deref().unwrap_or("none"),
        origin = origin.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string);
        "[relay] stream taken up"
    );
    match origin.is_some_and(|it| request.bind(it)) {
        true => Ok(()),
        false => Err(Denial::Unresumable),
    }
}

/// Hands a request to another instance, or refuses one that was handed over.
async fn serve_elsewhere(
    relay: &Rc<Relay>,
    request: RelayRequest,
    body: Incoming,
    mut record: RequestRecord,
) -> RelayResponse {
    let name = &relay.dialect.headers.request;
    if request.handed {
        record.finish(Denial::NoEndpoint.name());
        let mut response = deny(Denial::NoEndpoint, Some(RETRY_AFTER_CUT));
        add_request_id(&mut response, &request.id, name);
        response.headers_mut().insert(HANDED_OVER, relay.mark.clone());
        return response;
    }
    match read_request(relay, &request, body).await {
        Ok(body) => {
            let relay = relay.clone();
            HandOver { relay, request, body, record, may_have_run: false }.run().await
        }
        Err(denial) => {
            record.finish(denial.name());
            let mut response = deny(denial, retry_after(denial));
            add_request_id(&mut response, &request.id, name);
            response
        }
    }
}

/// Reads the body within its bound, the budget and the request's deadline. Bodies of requests
/// that another instance hands over have a part of the budget of their own.
///
/// # Errors
/// That fails, or this instance has closed to new requests meanwhile.
async fn read_request(
    relay: &Relay,
    request: &RelayRequest,
    body: Incoming,
) -> Result<Bytes, Denial> {
    let longest = relay.view().catalog().limits.max_body.0 as usize;
    let bounds = BodyBounds::of_client(longest, request.client);
    let rooms = if request.handed { &relay.memory.handed } else { &relay.memory.callers };
    match timeout_at(request.deadline.into(), read_body(rooms, body, &bounds)).await {
        Ok(Ok(_)) if relay.drain.phase() == DrainPhase::Closed => Err(Denial::Stopping),
        Ok(Ok(it)) => Ok(it),
        // The instance that hands it over has read it: it fits elsewhere.
        Ok(Err(BodyError::TooLong { longest: it })) if request.handed && it < longest => {
            Err(Denial::NoMemory)
        }
        Ok(Err(BodyError::TooLong { .. })) => Err(Denial::TooLarge),
        Ok(Err(BodyError::Stalled)) => Err(Denial::Stalled),
        Ok(Err(BodyError::NoRoom)) => Err(Denial::NoMemory),
        Ok(Err(BodyError::Broken { .. })) => Err(Denial::Malformed),
        Err(_) => Err(Denial::TooLate),
    }
}

/// Reads the body and runs the stages, a second time if a result was lost and there is time.
///
/// # Errors
/// The request can't be passed on; it has not run.
async fn prepare(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    body: Incoming,
    record: &RequestRecord,
) -> Result<(Bytes, Suspect, StageResults), (Denial, Option<Millis>)> {
    record.wait_for(Wait::Body);
    let body = read_request(relay, request, body).await.map_err(|it| (it, retry_after(it)))?;
    let whole = Suspect::Request(request.digest(&body));
    let view = relay.view();
    let pools = request.route.stages.iter().map(|it| &it.pool).chain([&request.pool]);
    if let Some(pool) = pools.into_iter().find(|it| view.withheld_for(it, [&whole]).is_some()) {
        log_withheld(&request.id, pool, &whole);
        return Err((Denial::Withheld, Some(RETRY_AFTER_WITHHELD)));
    }
    let mut stage_pools = request.route.stages.iter().map(|it| &it.pool);
    let may_send = |it| relay.crashes.may_send(relay.now(), &view.tables, it, &whole);
    if !stage_pools.all(may_send) {
        return Err((Denial::Withheld, Some(RETRY_AFTER_TRIAL)));
    }
    record.wait_for(Wait::Stages);
    let results = run_stages(relay, request, &whole, body.len()).await;
    results.map(|it| (body, whole, it)).map_err(deny_stages)
}

/// Runs the stages, a second time if a result was lost and there is time.
async fn run_stages(
    relay: &Rc<Relay>,
    request: &RelayRequest,
    whole: &Suspect,
    size: usize,
) -> Result<StageResults, StagesError> {
    match stages::run(relay, request, whole, size).await {
        Err(StagesError::Failed(PieceError::Gone)) => {
            match stages::may_restart(relay, request, size) {
                true => stages::run(relay, request, whole, size).await,
                false => Err(StagesError::Failed(PieceError::Late)),
            }
        }
        result => result,
    }
}

/// Returns the denial of a request whose stages have no results, and after which time it may come
/// back.
fn deny_stages(err: StagesError) -> (Denial, Option<Millis>) {
    match err {
        StagesError::Stopping => (Denial::Stopping, Some(RETRY_AFTER_STOPPING)),
        StagesError::Failed(PieceError::Late | PieceError::Gone) => {
            (Denial::TooLate, Some(RETRY_AFTER_STAGES))
        }
        StagesError::Failed(_) => (Denial::NoEndpoint, Some(RETRY_AFTER_STAGES)),
    }
}
