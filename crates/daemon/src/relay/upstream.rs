//! HTTP/1.1 client connections to endpoints, with reuse of idle ones.

use {
    super::{
        notices::{Notices, SendGuard},
        reach_watch::ReachWatch,
        shared_stream::SharedStream,
    },
    crate::{
        crash_check::{CHECK_TIMEOUT, is_refusal},
        memory::{Descriptor, Descriptors, note_refusal},
        sockets::SocketBounds,
    },
    coord::{
        ids::EndpointName,
        memory::ConnectionClass,
        relay::{AnswerProof, DeliveredHandles},
        tables::Endpoint,
        time::Millis,
    },
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode,
        body::{Bytes, Incoming},
        client::conn::http1::{self, SendRequest},
        header::{CONNECTION, HeaderMap},
    },
    hyper_util::rt::TokioIo,
    snafu::Snafu,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        io,
        net::SocketAddr,
        rc::{Rc, Weak},
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{sleep, timeout},
    },
};

/// Connect timeout: several round trips between failure domains, but shorter
/// than the retransmission of a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle timeout of connections whose endpoint sends no `Keep-Alive` timeout.
const IDLE_TIMEOUT_DEFAULT: Millis = Millis(1000);
/// Subtracted from the endpoint's idle timeout, so that a request isn't sent
/// while the endpoint closes the connection.
const IDLE_MARGIN: Millis = Millis(700);
/// Maximum size of a response head, and of what is read ahead of a body.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 100;
/// Maximum number of idle connections kept per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;

/// When a new connection is tried after an endpoint has ended one: a process that ends closes
/// its connections before or after its listener, and the next one may listen soon.
const RESTART_CHECKS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(10),
    Duration::from_millis(30),
    Duration::from_millis(100),
];

/// The least time between two checks of an endpoint that closes connections between answers. One
/// that does so after each answer would get four more connections for each.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Why there is no response.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection was made, so nothing was sent.
    #[snafu(display("no connection: {source}"))]
    Connect { source: io::Error },
    /// The connection was closed before any byte of the request was sent.
    #[snafu(display("the connection was closed before the request was sent"))]
    Closed,
    /// The connection failed after sending began; the endpoint may have received
    /// the request.
    #[snafu(display("the connection failed: {source}"))]
    Broken { source: hyper::Error },
    /// The endpoint is leaving, asked for a pause or takes no more requests for now, so
    /// nothing was sent.
    #[snafu(display("the endpoint takes no requests now"))]
    Withheld,
    /// This process has no descriptor left for the connection, so nothing was sent. It says
    /// nothing about the endpoint.
    #[snafu(display("no descriptor is left for connections to endpoints"))]
    NoDescriptor,
}

impl SendError {
    /// Whether the endpoint certainly has not received the request.
    pub fn is_unsent(&self) -> bool {
        !matches!(self, Self::Broken { .. })
    }
}

/// A connection to an endpoint or another instance.
pub struct Connection {
    pub sender: SendRequest<Full<Bytes>>,
    stream: SharedStream,
    _task: ConnectionTask,
    /// Whether a request was answered on it before.
    reused: bool,
    /// What was delivered on the endpoint's connections; nothing between instances.
    delivered: Option<SharedHandles>,
    /// Whether the endpoint has said that it closes the connection after its answer.
    closes: Rc<Cell<bool>>,
    _descriptor: Option<Descriptor>,
}

/// The handles that an endpoint has delivered, shared by its connections. An endpoint that starts
/// again loses all connections, so that the handles of its next start are kept apart.
type SharedHandles = Rc<RefCell<DeliveredHandles>>;

struct IdleConnection {
    connection: Connection,
    since: Instant,
    expires: Instant,
}

/// The task that drives a connection; dropping it closes the connection.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection in use for one request. Dropping the lease closes the
/// connection, which makes the endpoint cancel the request.
pub struct Lease {
    connection: Connection,
    endpoint: EndpointName,
    idle_timeout: Option<Millis>,
    upstream: Rc<Upstream>,
    _guard: SendGuard,
}

/// Pool of this instance's connections to all endpoints.
pub struct Upstream {
    idle: RefCell<HashMap<EndpointName, Vec<IdleConnection>>>,
    /// For as long as a connection to the endpoint exists.
    delivered: RefCell<HashMap<EndpointName, Weak<RefCell<DeliveredHandles>>>>,
    /// When each endpoint was last checked for a restart, and whether it is being checked.
    checked: RefCell<HashMap<EndpointName, (Instant, bool)>>,
    notices: Rc<Notices>,
    reach: Rc<ReachWatch>,
    descriptors: Descriptors,
}

impl Upstream {
    /// Creates the pool without connections. It reads the endpoints' notices from
    /// their answers and sends nothing against them.
    pub fn new(notices: Rc<Notices>, reach: Rc<ReachWatch>, descriptors: Descriptors) -> Self {
        let (idle, delivered, checked) = <(RefCell<_>, RefCell<_>, RefCell<_>)>::default();
        Self { idle, delivered, checked, notices, reach, descriptors }
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    /// The connection failed; see [`SendError::is_unsent`] for whether the request
    /// may have been received.
    pub async fn send(
        self: &Rc<Self>,
        endpoint: &Endpoint,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        let _waiting = self.reach.note_sent();
        let sent = self.send_on_any(endpoint, request).await;
        match &sent {
            Ok(_) => self.reach.note_answer(),
            Err(SendError::Withheld | SendError::NoDescriptor) => {}
            Err(_) => self.reach.note_failure(),
        }
        sent
    }

    /// Sends a request on an idle connection, or a new one if there is none.
    async fn send_on_any(
        self: &Rc<Self>,
        endpoint: &Endpoint,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        let mut request = request;
        while let Some(idle) = self.take_idle(&endpoint.name) {
            match self.attempt(endpoint, idle, request).await {
                Err((SendError::Closed, Some(unsent))) => request = unsent,
                result => return result.map_err(|(err, _)| err),
            }
        }
        if !self.notices.may_send(&endpoint.name) {
            return Err(SendError::Withheld);
        }
        let connection = self.connect_to(endpoint).await;
        if let Err(SendError::Connect { source }) = &connection
            && source.kind() == io::ErrorKind::ConnectionRefused
        {
            self.note_refusal(endpoint);
        }
        let delivered = Some(self.delivered_by(&endpoint.name));
        let connection = Connection { delivered, ..connection? };
        let result = self.attempt(endpoint, connection, request).await;
        result.map_err(|(err, _)| err)
    }

    fn delivered_by(&self, name: &EndpointName) -> SharedHandles {
        let mut delivered = self.delivered.borrow_mut();
        let known = delivered.get(name).and_then(Weak::upgrade);
        known.unwrap_or_else(|| {
            let handles = SharedHandles::default();
            delivered.insert(name.clone(), Rc::downgrade(&handles));
            handles
        })
    }

    /// Opens a connection to an endpoint, which is checked for a restart when it ends it.
    async fn connect_to(self: &Rc<Self>, endpoint: &Endpoint) -> Result<Connection, SendError> {
        let closes = Rc::new(Cell::new(false));
        let (upstream, known, expected) = (Rc::downgrade(self), endpoint.clone(), closes.clone());
        let on_end = move |is_broken| {
            if (is_broken || !expected.get())
                && let Some(it) = upstream.upgrade()
            {
                tokio::task::spawn_local(it.check_restart(known, is_broken));
            }
        };
        let connection = self.open(endpoint.addr, SocketBounds::ENDPOINT, on_end).await?;
        Ok(Connection { closes, ..connection })
    }

    /// Tries whether an endpoint that has ended a connection refuses others, as between the end
    /// and the next start of its process.
    async fn check_restart(self: Rc<Self>, endpoint: Endpoint, is_broken: bool) {
        if !self.begin_check(&endpoint.name, is_broken) {
            return;
        }
        for delay in RESTART_CHECKS {
            sleep(delay).await;
            let Some(_descriptor) = self.descriptors.take(ConnectionClass::Endpoints) else {
                break;
            };
            let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(endpoint.addr)).await;
            if connected.is_ok_and(|it| is_refusal(&it)) {
                self.note_refusal(&endpoint);
                break;
            }
        }
        self.checked.borrow_mut().insert(endpoint.name, (Instant::now(), false));
    }

    /// Whether a check for a restart is to begin: none is under way, and the last one is not too
    /// recent for a connection that was closed between answers.
    fn begin_check(&self, name: &EndpointName, is_broken: bool) -> bool {
        let mut checked = self.checked.borrow_mut();
        let now = Instant::now();
        let is_due = match checked.get(name) {
            Some((_, true)) => false,
            Some((at, false)) => is_broken || now - *at >= RESTART_CHECK_INTERVAL,
            None => true,
        };
        if is_due {
            checked.insert(name.clone(), (now, true));
        }
        is_due
    }

    /// Records that an endpoint refused a connection. What its earlier start delivered says nothing
    /// of the next one.
    fn note_refusal(&self, endpoint: &Endpoint) {
        self.delivered.borrow_mut().remove(&endpoint.name);
        self.notices.note_refusal(endpoint);
    }

    /// Opens a connection to another instance. If there is no descriptor for it, the oldest idle
    /// one is closed.
    ///
    /// # Errors
    /// It can't be made in time, or there is no descriptor.
    pub async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        self.open(addr, SocketBounds::HELPER, |_| ()).await
    }

    async fn open(
        &self,
        addr: SocketAddr,
        bounds: SocketBounds,
        on_end: impl FnOnce(bool) + 'static,
    ) -> Result<Connection, SendError> {
        let descriptor = self.descriptors.take(ConnectionClass::Endpoints).or_else(|| {
            self.close_oldest_idle();
            self.descriptors.take(ConnectionClass::Endpoints)
        });
        let Some(descriptor) = descriptor else {
            note_refusal("endpoints", "no_descriptor", Some(addr));
            return Err(SendError::NoDescriptor);
        };
        let connection = connect(addr, bounds, on_end).await?;
        Ok(Connection { _descriptor: Some(descriptor), ..connection })
    }

    fn close_oldest_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        // Connections are added and taken at the end, so that the first is the oldest.
        let oldest = idle.values_mut().filter(|it| !it.is_empty());
        if let Some(it) = oldest.min_by_key(|it| it[0].since) {
            it.remove(0);
        }
    }

    /// Closes idle connections to endpoints that `keep` rejects.
    pub fn retain(&self, keep: impl Fn(&EndpointName) -> bool) {
        self.idle.borrow_mut().retain(|name, _| keep(name));
        self.delivered.borrow_mut().retain(|_, it| it.strong_count() > 0);
        let now = Instant::now();
        let is_recent = |at: Instant| now - at < RESTART_CHECK_INTERVAL;
        self.checked.borrow_mut().retain(|_, (at, running)| *running || is_recent(*at));
    }

    /// Closes idle connections that are expired or closed by the endpoint.
    pub fn expire(&self, now: Instant) {
        for connections in self.idle.borrow_mut().values_mut() {
            connections.retain(|it| it.expires > now && !it.connection.sender.is_closed());
        }
    }

    #[allow(clippy::type_complexity)]
    async fn attempt(
        self: &Rc<Self>,
        endpoint: &Endpoint,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), (SendError, Option<Request<Full<Bytes>>>)> {
        if connection.sender.ready().await.is_err() {
            return Err((SendError::Closed, Some(request)));
        }
        // What arrived before the request can't be its answer.
        if connection.reused && connection.stream.is_spoiled() {
            log::info!(
                endpoint = endpoint.name.as_str();
                "[relay] idle connection closed: bytes without a request, or its end"
            );
            return Err((SendError::Closed, Some(request)));
        }
        let Some(permit) = self.notices.take_permit(&endpoint.name) else {
            return Err((SendError::Withheld, None));
        };
        let sent = self.notices.now();
        let mut guard = self.notices.begin(endpoint);
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                if self.notices.read(endpoint, sent, &response) {
                    self.idle.borrow_mut().remove(&endpoint.name);
                }
                guard.is_taken = !matches!(
                    response.status(),
                    StatusCode::SERVICE_UNAVAILABLE | StatusCode::MISDIRECTED_REQUEST
                );
                let idle_timeout = idle_timeout(response.headers());
                connection.closes.set(idle_timeout.is_none());
                let upstream = self.clone();
                let endpoint = endpoint.name.clone();
                let lease = Lease { connection, endpoint, idle_timeout, upstream, _guard: guard };
                Ok((response, lease))
            }
            Err(mut err) => match err.take_message() {
                Some(request) => {
                    self.notices.put_back(permit);
                    Err((SendError::Closed, Some(request)))
                }
                None => Err((SendError::Broken { source: err.into_error() }, None)),
            },
        }
    }

    fn take_idle(&self, name: &EndpointName) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(name)?;
        while let Some(it) = connections.pop() {
            if it.expires > now && !it.connection.sender.is_closed() {
                return Some(it.connection);
            }
        }
        None
    }
}

impl Lease {
    /// Whether another request was answered on the connection before.
    pub fn is_reused(&self) -> bool {
        self.connection.reused
    }

    /// Closes the connection, which makes the endpoint cancel a request that still runs there.
    pub fn close(self) {}

    /// Returns what the handles in an answer to a call of pieces prove about it. From then on
    /// they count as delivered.
    pub fn check_handles<'a>(&self, handles: impl IntoIterator<Item = &'a str>) -> AnswerProof {
        let reused = self.connection.reused;
        match &self.connection.delivered {
            Some(it) => it.borrow_mut().check(reused, handles),
            None => DeliveredHandles::default().check(reused, handles),
        }
    }

    /// Returns the connection to the pool after a complete response, unless the
    /// endpoint closes it.
    pub fn release(self) {
        let Self { connection, endpoint, idle_timeout, upstream, _guard } = self;
        let leaving = upstream.notices.table().is_leaving(&endpoint);
        let Some(idle_timeout) =
            idle_timeout.filter(|_| !connection.sender.is_closed() && !leaving)
        else {
            return;
        };
        let since = Instant::now();
        let expires = since + Duration::from_millis(idle_timeout.0);
        let mut idle = upstream.idle.borrow_mut();
        let connections = idle.entry(endpoint).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            let connection = Connection { reused: true, ..connection };
            connections.push(IdleConnection { connection, since, expires });
        }
    }
}

/// Opens a connection. `on_end` is called if the other side ends it, with whether that was
/// within an exchange.
///
/// # Errors
/// It can't be made in time.
async fn connect(
    addr: SocketAddr,
    bounds: SocketBounds,
    on_end: impl FnOnce(bool) + 'static,
) -> Result<Connection, SendError> {
    let failed = |source| SendError::Connect { source };
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(it) => it.map_err(failed)?,
        Err(_) => return Err(failed(io::ErrorKind::TimedOut.into())),
    };
    bounds.apply(&stream).map_err(failed)?;
    let mut client = http1::Builder::new();
    client.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
    let stream = SharedStream::new(stream);
    let handshake = client.handshake(TokioIo::new(stream.clone())).await;
    let (sender, connection) = handshake.map_err(|err| failed(io::Error::other(err)))?;
    let handle = tokio::task::spawn_local(async move {
        // The sender of the request gets the error too.
        on_end(connection.await.is_err());
    });
    let task = ConnectionTask(handle.abort_handle());
    Ok(Connection {
        sender,
        stream,
        _task: task,
        reused: false,
        delivered: None,
        closes: Rc::default(),
        _descriptor: None,
    })
}

/// Returns how long the connection may stay idle after this response; `None`
/// if it must not be reused.
fn idle_timeout(headers: &HeaderMap) -> Option<Millis> {
    let connection = headers.get(CONNECTION).and_then(|it| it.to_str().ok()).unwrap_or_default();
    if connection.split(',').any(|it| it.trim().eq_ignore_ascii_case("close")) {
        return None;
    }
    let stated = headers.get("keep-alive").and_then(|it| it.to_str().ok()).and_then(|text| {
        text.split(',').find_map(|it| it.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    match stated {
        Some(seconds) => (seconds * 1000).checked_sub(IDLE_MARGIN.0).map(Millis),
        None => Some(IDLE_TIMEOUT_DEFAULT),
    }
}
