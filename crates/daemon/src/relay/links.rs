//! Calls the gatherers of other instances.

use {
    super::{GatherAsk, GatherReply, Made, PieceError},
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

const CONNECT: Duration = Duration::from_millis(400);
/// The longest that a stage may take; beyond every deadline.
const ANSWER: Duration = Duration::from_secs(60);
/// How often a silent connection is probed.
const PING: Duration = Duration::from_millis(500);
/// How long a connection may stay silent.
const SILENCE: Duration = Duration::from_millis(1500);
/// How long an instance that could not be reached comes last.
const AVOID: Duration = Duration::from_secs(1);

type Client = Rc<OnceCell<Arc<WsClient>>>;

/// Connections to the gatherers of other instances.
pub struct Links {
    secret: Arc<str>,
    clients: RefCell<HashMap<SocketAddr, Client>>,
    avoided: RefCell<HashMap<SocketAddr, Instant>>,
}

/// Cancels an ask at its gatherer when the asker has left.
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
                log::debug!("[relay] A cancellation was not sent: {err}.");
            }
        });
    }
}

impl Links {
    /// No connection yet.
    pub fn new(secret: Arc<str>) -> Self {
        Self { secret, clients: RefCell::default(), avoided: RefCell::default() }
    }

    /// Whether an instance could not be reached lately.
    pub fn is_avoided(&self, holder: SocketAddr) -> bool {
        self.avoided.borrow().get(&holder).is_some_and(|until| *until > Instant::now())
    }

    /// Has an instance gather the pieces of an ask.
    pub async fn ask(&self, to: SocketAddr, ask: GatherAsk) -> GatherReply {
        let Some(client) = self.client(to).await else {
            self.avoid(to);
            return GatherReply::failed(PieceError::Unreachable);
        };
        let mut guard =
            CancelGuard { client: client.clone(), secret: self.secret.clone(), id: Some(ask.id) };
        let answer = client.request::<GatherReply, _>("gather", rpc_params![&*self.secret, &ask]);
        let answer = answer.await;
        guard.id = None;
        answer.unwrap_or_else(|err| {
            log::info!(
                request = ask.request.as_str(), peer:% = to, error:% = err;
                "[relay] gatherer lost"
            );
            self.clients.borrow_mut().remove(&to);
            self.avoid(to);
            GatherReply::failed(PieceError::Unreachable)
        })
    }

    /// Has an instance give results up; false if it can't be reached.
    pub async fn free(&self, to: SocketAddr, shard: &Shard, results: &[Made]) -> bool {
        let Some(client) = self.client(to).await else {
            return false;
        };
        let params = rpc_params![&*self.secret, shard, results];
        let freed = client.request::<(), _>("gather_free", params).await;
        if let Err(err) = &freed {
            log::info!(peer:% = to, results = results.len(), error:% = err; "[relay] results not freed");
        }
        freed.is_ok()
    }

    fn avoid(&self, to: SocketAddr) {
        self.avoided.borrow_mut().insert(to, Instant::now() + AVOID);
    }

    async fn client(&self, to: SocketAddr) -> Option<Arc<WsClient>> {
        let cell = {
            let mut clients = self.clients.borrow_mut();
            let lost = |it: &Client| it.get().is_some_and(|it| !it.is_connected());
            if clients.get(&to).is_some_and(lost) {
                clients.remove(&to);
            }
            clients.entry(to).or_default().clone()
        };
        let client = cell.get_or_try_init(|| connect(to)).await;
        client.ok().cloned()
    }
}

async fn connect(to: SocketAddr) -> Result<Arc<WsClient>, ()> {
    let build = WsClientBuilder::default()
        .connection_timeout(CONNECT)
        .request_timeout(ANSWER)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .enable_ws_ping(PingConfig::new().ping_interval(PING).inactive_limit(SILENCE))
        .set_tcp_no_delay(true)
        .build(format!("ws://{to}"));
    match tokio::time::timeout(CONNECT, build).await {
        Ok(Ok(client)) => Ok(Arc::new(client)),
        Ok(Err(err)) => {
            log::info!(peer:% = to, error:% = err; "[relay] gatherer not reached");
            Err(())
        }
        Err(_) => {
            log::info!(peer:% = to; "[relay] gatherer not reached in time");
            Err(())
        }
    }
}
