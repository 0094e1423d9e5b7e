//! Plain HTTP for listeners that only operators and endpoints reach.

use {
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

/// The longest body, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// The longest head, in bytes; heads of tools and endpoints have a few hundred.
const MAX_HEAD: usize = 64 * 1024;
/// How long a head or a body may take, and a connection be silent.
const READ_TIME: Duration = Duration::from_secs(5);
/// Connections at one time: endpoints keep one open each between
/// announcements, and tools a few.
const MAX_CONNECTIONS: usize = 1024;
/// Requests handled at one time.
const THREADS: usize = 8;

/// The answer to a request.
pub struct Handled {
    pub status: u16,
    pub kind: &'static str,
    pub body: String,
}

/// Answers a request with its body.
pub type Handler = Box<dyn Fn(&Parts, String) -> Handled + Send + Sync>;

/// A service over HTTP.
pub struct HttpService {
    pub part: &'static str,
    pub handle: Handler,
}

/// A service that runs, with what it has left of its bounds.
struct Running {
    service: HttpService,
    threads: Semaphore,
}

impl HttpService {
    /// Serves a listener until the process ends.
    ///
    /// # Panics
    /// If the thread or its runtime can't be started.
    pub fn start(self, listener: TcpListener) {
        let builder = thread::Builder::new().name(self.part.to_owned());
        let running = Arc::new(Running { service: self, threads: Semaphore::new(THREADS) });
        let started = builder.spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .max_blocking_threads(THREADS)
                .build();
            runtime.expect("the runtime starts").block_on(running.serve(listener))
        });
        started.expect("the listener's thread starts");
    }
}

impl Running {
    async fn serve(self: Arc<Self>, listener: TcpListener) {
        let part = self.service.part;
        accept(listener, part, MAX_CONNECTIONS, |stream, place| {
            let own = self.clone();
            tokio::spawn(async move {
                own.serve_one(stream).await;
                drop(place);
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
        server.timer(TokioTimer::new()).header_read_timeout(READ_TIME).max_buf_size(MAX_HEAD);
        if let Err(err) = server.serve_connection(TokioIo::new(stream), service).await {
            log::debug!(error:% = err; "[{part}] connection ended");
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Handled {
        let (head, body) = request.into_parts();
        let body = match read(body).await {
            Ok(it) => it,
            Err(refusal) => return refusal,
        };
        let Ok(_thread) = self.threads.try_acquire() else {
            return plain(503, "busy\n");
        };
        let own = self.clone();
        let handled = spawn_blocking(move || (own.service.handle)(&head, body)).await;
        handled.unwrap_or_else(|err| {
            log::error!(error:% = err; "[{}] a request's handler failed", self.service.part);
            plain(500, "the request could not be handled\n")
        })
    }
}

async fn read(body: Incoming) -> Result<String, Handled> {
    let collected = timeout(READ_TIME, Limited::new(body, MAX_BODY).collect()).await;
    match collected {
        Ok(Ok(it)) => {
            String::from_utf8(it.to_bytes().into()).map_err(|_| plain(400, "the body isn't text\n"))
        }
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(plain(413, "the body is too long\n")),
        Ok(Err(_)) => Err(plain(400, "the body broke off\n")),
        Err(_) => Err(plain(408, "the body took too long\n")),
    }
}

fn plain(status: u16, text: &str) -> Handled {
    Handled { status, kind: "text/plain", body: text.to_owned() }
}

fn respond(handled: Handled) -> Response<Full<Bytes>> {
    let response = Response::builder().status(handled.status).header(CONTENT_TYPE, handled.kind);
    response.body(Full::new(handled.body.into())).expect("the answer's head is valid")
}

/// Whether a request shows the secret, compared in constant time.
pub fn is_allowed(head: &Parts, secret: &str) -> bool {
    if secret.is_empty() {
        return true;
    }
    let shown = head.headers.get(AUTHORIZATION).map_or(&[][..], |it| it.as_bytes());
    let shown = shown.strip_prefix(b"Bearer ").unwrap_or(&[]);
    shown.ct_eq(secret.as_bytes()).into()
}
