//! The client for calls to peers. Each peer has one connection, which is
//! replaced as soon as a call on it gets no answer.

use {
    super::{LeaderAnswer, MAX_MESSAGE_BYTES, PeerAnswer, PeerCall, PeerError},
    crate::event::{Event, Inbox},
    coord::{
        control::{Envelope, LeaderReport, Token},
        ids::SystemId,
    },
    jsonrpsee::{
        core::client::{ClientT, Error},
        rpc_params,
        types::error::METHOD_NOT_FOUND_CODE,
        ws_client::{WsClient, WsClientBuilder},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, time::timeout},
};

/// The longest wait for an answer; a call that exceeds it makes its connection
/// suspect.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1200);
/// The longest wait for the answer to the question who leads, which is answered at once.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The least time between two attempts to connect to a peer.
const BACKOFF: Duration = Duration::from_millis(100);
/// How long a connection without calls is kept. Longer than any pause between calls to an
/// instance that is needed; those to instances that are gone have to end some time.
const IDLE_TIME: Duration = Duration::from_secs(30);
/// The most calls queued for one connection, and the most in progress on it.
const MAX_PENDING_CALLS: usize = 1024;

/// A request to a peer.
pub enum Outgoing {
    Call {
        to: SocketAddr,
        token: Option<Token>,
        envelope: Box<Envelope<PeerCall>>,
    },
    Hello {
        to: SocketAddr,
    },
    /// The question who leads.
    FindLeader {
        to: SocketAddr,
    },
}

enum Job {
    Call { token: Option<Token>, envelope: Box<Envelope<PeerCall>> },
    Hello,
    FindLeader,
}

/// The connections to all peers.
pub struct PeerClient {
    secret: Arc<str>,
    inbox: Inbox,
    idle_time: Duration,
    peers: HashMap<SocketAddr, mpsc::Sender<Job>>,
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new(secret: Arc<str>, inbox: Inbox) -> Self {
        Self { secret, inbox, idle_time: IDLE_TIME, peers: HashMap::new() }
    }

    /// Sets how long a connection without calls is kept.
    pub fn keep_idle(self, idle_time: Duration) -> Self {
        Self { idle_time, ..self }
    }

    /// Sends the requests from the core loop until its channel is closed.
    pub async fn run(mut self, mut outgoing: mpsc::UnboundedReceiver<Outgoing>) {
        while let Some(it) = outgoing.recv().await {
            let (to, job) = match it {
                Outgoing::Call { to, token, envelope } => (to, Job::Call { token, envelope }),
                Outgoing::Hello { to } => (to, Job::Hello),
                Outgoing::FindLeader { to } => (to, Job::FindLeader),
            };
            self.enqueue(to, job);
        }
    }

    fn enqueue(&mut self, to: SocketAddr, job: Job) {
        if self.peers.get(&to).is_none_or(mpsc::Sender::is_closed) {
            self.peers.retain(|_, it| !it.is_closed());
            self.peers.insert(to, self.connect(to));
        }
        let sender = &self.peers[&to];
        if let Err(err) = sender.try_send(job) {
            report_unreachable(&self.inbox, to, &err.into_inner());
        }
    }

    fn connect(&self, to: SocketAddr) -> mpsc::Sender<Job> {
        let (sender, jobs) = mpsc::channel(MAX_PENDING_CALLS);
        let connection = Connection {
            to,
            secret: self.secret.clone(),
            inbox: self.inbox.clone(),
            idle_time: self.idle_time,
            client: None,
            retry_at: Instant::now(),
        };
        tokio::spawn(connection.run(jobs));
        sender
    }
}

/// The connection to one peer.
struct Connection {
    to: SocketAddr,
    secret: Arc<str>,
    inbox: Inbox,
    idle_time: Duration,
    client: Option<Arc<WsClient>>,
    retry_at: Instant,
}

impl Connection {
    async fn run(mut self, mut jobs: mpsc::Receiver<Job>) {
        let (suspect, mut suspects) = mpsc::unbounded_channel::<Arc<WsClient>>();
        loop {
            tokio::select! {
                Some(bad) = suspects.recv() => self.drop_client(&bad),
                job = timeout(self.idle_time, jobs.recv()) => match job {
                    Ok(Some(job)) => self.start_call(job, &suspect).await,
                    Ok(None) => return,
                    Err(_) => break,
                },
            }
        }
        jobs.close();
        // Queued since the time was over.
        while let Some(job) = jobs.recv().await {
            self.start_call(job, &suspect).await;
        }
    }

    fn drop_client(&mut self, bad: &Arc<WsClient>) {
        if self.client.as_ref().is_some_and(|it| Arc::ptr_eq(it, bad)) {
            log::debug!("[peers] The connection to {} is dropped after a failed call.", self.to);
            self.client = None;
        }
    }

    async fn start_call(&mut self, job: Job, suspect: &mpsc::UnboundedSender<Arc<WsClient>>) {
        let Some(client) = self.client().await else {
            report_unreachable(&self.inbox, self.to, &job);
            return;
        };
        let (secret, inbox, suspect) = (self.secret.clone(), self.inbox.clone(), suspect.clone());
        let to = self.to;
        tokio::spawn(async move {
            let healthy = match job {
                Job::Call { token, envelope } => {
                    call(&client, &secret, &inbox, token, *envelope).await
                }
                Job::Hello => hello(&client, &secret, &inbox).await,
                Job::FindLeader => find_leader(&client, &secret, &inbox, to).await,
            };
            if !healthy {
                let _ = suspect.send(client);
            }
        });
    }

    async fn client(&mut self) -> Option<Arc<WsClient>> {
        if let Some(it) = self.client.as_ref().filter(|it| it.is_connected()) {
            return Some(it.clone());
        }
        if Instant::now() < self.retry_at {
            return None;
        }
        self.client = None;
        self.retry_at = Instant::now() + BACKOFF;
        let url = format!("ws://{}", self.to);
        let build = WsClientBuilder::default()
            .connection_timeout(CONNECT_TIMEOUT)
            .request_timeout(REQUEST_TIMEOUT)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .max_concurrent_requests(MAX_PENDING_CALLS)
            .set_tcp_no_delay(true)
            .build(url);
        match timeout(CONNECT_TIMEOUT, build).await {
            Ok(Ok(built)) => self.client = Some(Arc::new(built)),
            Ok(Err(err)) => log::debug!("[peers] {} can't be reached: {err}.", self.to),
            Err(_) => log::debug!("[peers] {} can't be reached in {CONNECT_TIMEOUT:?}.", self.to),
        }
        self.client.clone()
    }
}

/// Calls a peer and reports the answer; returns false if the connection is
/// suspect.
async fn call(
    client: &WsClient,
    secret: &str,
    inbox: &Inbox,
    token: Option<Token>,
    envelope: Envelope<PeerCall>,
) -> bool {
    let answer = client.request::<PeerAnswer, _>("call", rpc_params![secret, envelope]).await;
    match answer {
        Ok(answer) => {
            let refused = matches!(answer, PeerAnswer::Refused(_));
            if token.is_some() || refused {
                let token = token.unwrap_or(Token(0));
                inbox.offer(Event::PeerAnswered { token, answer: Ok(Box::new(answer)) });
            }
            true
        }
        Err(err) => {
            log::debug!("[peers] A call failed: {err}.");
            report_failure(inbox, token, PeerError::NoAnswer);
            matches!(err, Error::Call(_))
        }
    }
}

/// Asks a peer which system it belongs to; returns false if the connection is
/// suspect.
async fn hello(client: &WsClient, secret: &str, inbox: &Inbox) -> bool {
    let answer = client.request::<Option<SystemId>, _>("hello", rpc_params![secret]).await;
    if let Err(err) = &answer {
        log::warn!("[peers] A hello request failed: {err}.");
    }
    inbox.offer(Event::HelloAnswered(answer.as_ref().ok().copied().flatten()));
    answer.is_ok()
}

/// Asks a peer who leads; returns false if the connection is suspect.
async fn find_leader(client: &WsClient, secret: &str, inbox: &Inbox, to: SocketAddr) -> bool {
    let asked = client.request::<LeaderReport, _>("leader", rpc_params![secret]);
    let answer = match timeout(QUESTION_TIMEOUT, asked).await {
        Ok(Ok(report)) => LeaderAnswer::Report(report),
        Ok(Err(Error::Call(err))) if err.code() == METHOD_NOT_FOUND_CODE => {
            LeaderAnswer::UnknownQuestion
        }
        Ok(Err(Error::Call(_))) => LeaderAnswer::Failed,
        Ok(Err(_)) | Err(_) => {
            inbox.offer(Event::LeaderAnswered { from: to, answer: LeaderAnswer::Failed });
            return false;
        }
    };
    inbox.offer(Event::LeaderAnswered { from: to, answer });
    true
}

/// Reports that a job wasn't sent. A `hello` request is repeated anyhow.
fn report_unreachable(inbox: &Inbox, to: SocketAddr, job: &Job) {
    match job {
        Job::Call { token, .. } => report_failure(inbox, *token, PeerError::Unreachable),
        Job::Hello => {}
        Job::FindLeader => {
            inbox.offer(Event::LeaderAnswered { from: to, answer: LeaderAnswer::Failed });
        }
    }
}

fn report_failure(inbox: &Inbox, token: Option<Token>, err: PeerError) {
    if let Some(token) = token {
        inbox.offer(Event::PeerAnswered { token, answer: Err(err) });
    }
}
