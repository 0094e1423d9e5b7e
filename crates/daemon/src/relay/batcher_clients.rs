//! RPC clients of the batchers on other instances.

use {
    super::{PieceError, StageReply, StageRequest, StoredResult},
    crate::peers::MAX_MESSAGE_BYTES,
    coord::relay::Shard,
    jsonrpsee::{
        core::client::ClientT,
        rpc_params,
        ws_client::{PingConfig, WsClient, WsClientBuilder},
    },
    std::{
        cell::RefCell,
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::OnceCell,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Upper bound of a stage's duration; longer than any deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval of pings on an idle connection.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// How long a connection may be silent before it counts as lost.
const INACTIVITY_LIMIT: Duration = Duration::from_millis(1500);
/// How long an unreachable instance is tried last.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// How long an instance that handed a stage request back is tried last: as long as a graceful
/// shutdown takes.
const STOP_TIME: Duration = Duration::from_secs(8);

type Client = Rc<OnceCell<Arc<WsClient>>>;

/// Connections to the batchers on other instances, opened on demand.
pub struct BatcherClients {
    secret: Arc<str>,
    clients: RefCell<HashMap<SocketAddr, Client>>,
    avoided_until: RefCell<HashMap<SocketAddr, Instant>>,
}

/// Cancels a stage request at its batcher if the submitter is dropped.
struct CancelGuard {
    client: Arc<WsClient>,
    secret: Arc<str>,
    id: Option<u64>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(id) = self.id else {
            return;
        };
        let (client, secret) = (self.client.clone(), self.secret.clone());
        tokio::task::spawn_local(async move {
            if let Err(err) =
                client.request::<(), _>("gather_cancel", rpc_params![&*secret, id]).await
            {
                log::debug!("[relay] cancellation not sent: {err}");
            }
        });
    }
}

impl BatcherClients {
    /// Creates the clients without any connection.
    pub fn new(secret: Arc<str>) -> Self {
        Self { secret, clients: RefCell::default(), avoided_until: RefCell::default() }
    }

    /// Whether an instance was unreachable or handed a stage request back recently.
    pub fn is_avoided(&self, addr: SocketAddr) -> bool {
        self.avoided_until.borrow().get(&addr).is_some_and(|until| *until > Instant::now())
    }

    /// Submits a stage request to the batcher on an instance and waits for the reply. Returns
    /// `None` if it can't be reached.
    pub async fn submit(&self, addr: SocketAddr, request: StageRequest) -> Option<StageReply> {
        let Some(client) = self.client(addr).await else {
            self.avoid(addr, AVOID_TIME);
            return None;
        };
        let mut guard = CancelGuard {
            client: client.clone(),
            secret: self.secret.clone(),
            id: Some(request.id),
        };
        let answer =
            client.request::<StageReply, _>("gather", rpc_params![&*self.secret, &request]);
        let answer = answer.await;
        guard.id = None;
        match answer {
            Ok(reply) => {
                if reply.answer == Err(PieceError::Unreachable) {
                    self.avoid(addr, STOP_TIME);
                }
                Some(reply)
            }
            Err(err) => {
                log::info!(
                    request = request.request_id.as_str(), peer:% = addr, error:% = err;
                    "[relay] request to batcher failed"
                );
                self.clients.borrow_mut().remove(&addr);
                self.avoid(addr, AVOID_TIME);
                None
            }
        }
    }

    /// Asks an instance to release results. Returns false if it can't be reached.
    pub async fn release(&self, addr: SocketAddr, shard: &Shard, results: &[StoredResult]) -> bool {
        let Some(client) = self.client(addr).await else {
            return false;
        };
        let params = rpc_params![&*self.secret, shard, results];
        let freed = client.request::<(), _>("gather_free", params).await;
        if let Err(err) = &freed {
            log::info!(
                peer:% = addr, results = results.len(), error:% = err;
                "[relay] batcher did not release results"
            );
        }
        freed.is_ok()
    }

    fn avoid(&self, addr: SocketAddr, time: Duration) {
        let until = Instant::now() + time;
        let mut avoided = self.avoided_until.borrow_mut();
        let row = avoided.entry(addr).or_insert(until);
        *row = until.max(*row);
    }

    async fn client(&self, addr: SocketAddr) -> Option<Arc<WsClient>> {
        let cell = {
            let mut clients = self.clients.borrow_mut();
            let lost = |it: &Client| it.get().is_some_and(|it| !it.is_connected());
            if clients.get(&addr).is_some_and(lost) {
                clients.remove(&addr);
            }
            clients.entry(addr).or_default().clone()
        };
        let client = cell.get_or_try_init(|| connect(addr)).await;
        client.ok().cloned()
    }
}

async fn connect(addr: SocketAddr) -> Result<Arc<WsClient>, ()> {
    let build = WsClientBuilder::default()
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(RESPONSE_TIMEOUT)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .enable_ws_ping(
            PingConfig::new().ping_interval(PING_INTERVAL).inactive_limit(INACTIVITY_LIMIT),
        )
        .set_tcp_no_delay(true)
        .build(format!("ws://{addr}"));
    match tokio::time::timeout(CONNECT_TIMEOUT, build).await {
        Ok(Ok(client)) => Ok(Arc::new(client)),
        Ok(Err(err)) => {
            log::info!(peer:% = addr, error:% = err; "[relay] connection to batcher failed");
            Err(())
        }
        Err(_) => {
            log::info!(peer:% = addr; "[relay] connection to batcher timed out");
            Err(())
        }
    }
}
