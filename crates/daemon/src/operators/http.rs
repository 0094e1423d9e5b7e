//! The HTTP server for the listeners of operators and endpoints.

use {
    super::{CallerWatch, WaitingCaller},
    crate::accept::accept,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        Request, Response,
        body::{Bytes, Incoming},
        header::{AUTHORIZATION, CONTENT_TYPE},
        http::request::Parts,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, net::TcpListener, sync::Arc, thread, time::Duration},
    subtle::ConstantTimeEq,
    tokio::{net::TcpStream, sync::Semaphore, task::spawn_blocking, time::timeout},
};

/// The longest request body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The longest request headers; those of tools and endpoints have a few hundred
/// bytes.
const MAX_HEADER_BYTES: usize = 64 * 1024;
/// How long reading headers or a body may take, and how long a connection may
/// be idle.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
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
    pub handle: Handler,
}

/// A running service and the permits for its handlers.
struct RunningService {
    service: HttpService,
    handlers: Semaphore,
}

impl HttpService {
    /// Serves a listener until the process ends.
    ///
    /// # Panics
    /// If the thread or its runtime can't be started.
    pub fn start(self, listener: TcpListener) {
        let builder = thread::Builder::new().name(self.part.to_owned());
        let running =
            Arc::new(RunningService { service: self, handlers: Semaphore::new(MAX_HANDLERS) });
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
        let part = self.service.part;
        accept(listener, part, MAX_CONNECTIONS, |stream, permit| {
            let own = self.clone();
            tokio::spawn(async move {
                own.serve_one(stream).await;
                drop(permit);
            });
        })
        .await;
    }

    async fn serve_one(self: Arc<Self>, stream: TcpStream) {
        let part = self.service.part;
        if let Err(err) = stream.set_nodelay(true) {
            log::info!(error:% = err; "[{part}] connection lost before its first request");
            return;
        }
        let service = service_fn(move |request| {
            let own = self.clone();
            async move { Ok::<_, Infallible>(respond(own.answer(request).await)) }
        });
        let mut server = http1::Builder::new();
        server
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES);
        if let Err(err) = server.serve_connection(TokioIo::new(stream), service).await {
            log::debug!(error:% = err; "[{part}] connection ended");
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> HttpReply {
        let (head, body) = request.into_parts();
        let body = match read_body(body).await {
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

async fn read_body(body: Incoming) -> Result<String, HttpReply> {
    let collected = timeout(READ_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    match collected {
        Ok(Ok(it)) => {
            String::from_utf8(it.to_bytes().into()).map_err(|_| plain(400, "the body isn't text\n"))
        }
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(plain(413, "the body is too long\n")),
        Ok(Err(_)) => Err(plain(400, "the body broke off\n")),
        Err(_) => Err(plain(408, "the body took too long\n")),
    }
}

fn plain(status: u16, text: &str) -> HttpReply {
    HttpReply { status, content_type: "text/plain", body: text.to_owned() }
}

fn respond(reply: HttpReply) -> Response<Full<Bytes>> {
    let response =
        Response::builder().status(reply.status).header(CONTENT_TYPE, reply.content_type);
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
