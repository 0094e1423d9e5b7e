//! The HTTP server for the listeners of operators and endpoints.

use {
    super::{CallerWatch, WaitingCaller},
    crate::memory::{
        BodyBounds, BodyError, BodyRooms, GuardedBody, GuardedStream, Memory, Share, client_addr,
        read_held,
    },
    coord::{memory::ConnectionClass, time::Millis},
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::{Bytes, Incoming},
        header::{AUTHORIZATION, CONNECTION, CONTENT_TYPE, RETRY_AFTER},
        http::request::Parts,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread,
        time::Duration,
    },
    subtle::ConstantTimeEq,
    tokio::{sync::Semaphore, task::spawn_blocking, time::timeout},
};

/// The longest request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The longest request headers; those of tools and endpoints have a few hundred
/// bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// How long reading headers may take, and how long a connection may be idle.
const HEAD_TIMEOUT: Millis = Millis(5000);
/// How long reading a body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The most open connections: each endpoint keeps one open between its
/// announcements, and tools use a few.
const MAX_CONNECTIONS: usize = 1024;
/// The most requests handled at one time, each on a thread of its own.
const MAX_HANDLERS: usize = 8;

/// The reply to a request.
pub struct HttpReply {
    pub status: u16,
    pub content_type: &'static str,
    pub body: String,
}

/// Handles a request, given its head and body and a watch on its caller.
pub type Handler = Box<dyn Fn(&Parts, String, CallerWatch) -> HttpReply + Send + Sync>;

/// An HTTP service; `part` names its thread and prefixes its log lines.
pub struct HttpService {
    pub part: &'static str,
    pub class: ConnectionClass,
    /// Room for the bodies of its requests.
    pub rooms: BodyRooms,
    pub handle: Handler,
}

/// A running service and the permits for its handlers.
struct RunningService {
    service: HttpService,
    memory: Memory,
    handlers: Semaphore,
}

impl HttpService {
    /// Serves a listener until the process ends.
    ///
    /// # Panics
    /// If the thread or its runtime can't be started.
    pub fn start(self, listener: TcpListener, memory: Memory) {
        let builder = thread::Builder::new().name(self.part.to_owned());
        let handlers = Semaphore::new(MAX_HANDLERS);
        let running = Arc::new(RunningService { service: self, memory, handlers });
        let started = builder.spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .max_blocking_threads(MAX_HANDLERS)
                .build();
            runtime.expect("the runtime starts").block_on(running.serve(listener))
        });
        started.expect("the listener's thread starts");
    }
}

impl RunningService {
    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let HttpService { part, class, .. } = self.service;
        let acceptor = self.memory.acceptor(part, class, MAX_CONNECTIONS);
        let limits = self.memory.limits(HEAD_TIMEOUT, HEAD_TIMEOUT);
        let accepted = |stream| {
            tokio::spawn(self.clone().serve_one(stream));
        };
        acceptor.accept(listener, || limits, accepted).await;
    }

    async fn serve_one(self: Arc<Self>, stream: GuardedStream) {
        let part = self.service.part;
        if let Err(err) = stream.tcp().set_nodelay(true) {
            log::info!(error:% = err; "[{part}] connection lost before its first request");
            return;
        }
        let guard = stream.guard().clone();
        let watched = guard.clone();
        let service = service_fn(move |mut request| {
            guard.begin(&mut request);
            let (own, guard) = (self.clone(), guard.clone());
            async move {
                let response = respond(own.answer(request).await);
                Ok::<_, Infallible>(response.map(|it| GuardedBody::new(it, guard)))
            }
        });
        let mut server = http1::Builder::new();
        server.max_buf_size(MAX_HEADER_BYTES);
        let connection = server.serve_connection(TokioIo::new(stream), service);
        let ended = tokio::select! {
            it = connection => it,
            () = watched.closed() => return,
        };
        if let Err(err) = ended {
            log::debug!(error:% = err; "[{part}] connection ended");
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> HttpReply {
        let (head, body) = request.into_parts();
        // The handler's own work on the body counts for the room too.
        let (body, _share) =
            match read_text(&self.service.rooms, body, client_addr(&head.extensions)).await {
                Ok(it) => it,
                Err(refusal) => return refusal,
            };
        let Ok(_permit) = self.handlers.try_acquire() else {
            return plain(503, "busy\n");
        };
        let own = self.clone();
        // Dropped with this future if the connection ends.
        let caller = WaitingCaller::default();
        let watch = caller.watch();
        let reply = spawn_blocking(move || (own.service.handle)(&head, body, watch)).await;
        reply.unwrap_or_else(|err| {
            log::error!(error:% = err; "[{}] a request's handler failed", self.service.part);
            plain(500, "the request could not be handled\n")
        })
    }
}

async fn read_text(
    rooms: &BodyRooms,
    body: Incoming,
    from: Option<SocketAddr>,
) -> Result<(String, Option<Share>), HttpReply> {
    let bounds = BodyBounds::of_client(MAX_BODY_BYTES, from);
    match timeout(BODY_TIMEOUT, read_held(rooms, body, &bounds)).await {
        Ok(Ok(it)) => {
            let (bytes, share) = it.into_parts();
            let text = String::from_utf8(bytes);
            text.map(|it| (it, share)).map_err(|_| plain(400, "the body isn't text\n"))
        }
        Ok(Err(BodyError::TooLong { .. })) => Err(plain(413, "the body is too long\n")),
        Ok(Err(BodyError::Broken { .. })) => Err(plain(400, "the body broke off\n")),
        Ok(Err(BodyError::NoRoom)) => Err(plain(503, "there is no memory for the body\n")),
        Ok(Err(BodyError::Stalled)) | Err(_) => Err(plain(408, "the body took too long\n")),
    }
}

fn plain(status: u16, text: &str) -> HttpReply {
    HttpReply { status, content_type: "text/plain", body: text.to_owned() }
}

fn respond(reply: HttpReply) -> Response<Full<Bytes>> {
    let mut response =
        Response::builder().status(reply.status).header(CONTENT_TYPE, reply.content_type);
    if reply.status == 408 {
        response = response.header(CONNECTION, "close");
    }
    if reply.status == 503 {
        response = response.header(RETRY_AFTER, "1");
    }
    response.body(Full::new(reply.body.into())).expect("the response headers are valid")
}

/// Whether a request carries the secret as its bearer token, compared in
/// constant time. An empty secret admits every request.
pub fn is_authorized(head: &Parts, secret: &str) -> bool {
    if secret.is_empty() {
        return true;
    }
    let presented = head.headers.get(AUTHORIZATION).map_or(&[][..], |it| it.as_bytes());
    let presented = presented.strip_prefix(b"Bearer ").unwrap_or(&[]);
    presented.ct_eq(secret.as_bytes()).into()
}
