//! Watches for endpoints that crash under a request, and for answers to the parts of
//! prompts that are suspected of it.

use {
    super::{record::join_parts, request::RelayRequest},
    crate::event::{Event, Inbox},
    coord::{
        claims::RequestDigest,
        control::CrashReport,
        ids::{PoolName, PromptPart},
        tables::{Endpoint, PartKey},
    },
    indexmap::IndexSet,
    std::{io::ErrorKind, sync::Arc, time::Duration},
    tokio::{net::TcpStream, sync::watch, time::timeout},
};

/// The time between a broken connection and the check of its endpoint, so that the
/// listener of a process that ends is gone too.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// How long the check may take. An endpoint that doesn't answer it hasn't crashed in a
/// way that can be told from a lost link.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Tells the core loop of crashes and answers.
#[derive(Clone)]
pub struct CrashWatch {
    inbox: Inbox,
    suspects: watch::Receiver<Arc<IndexSet<PartKey>>>,
}

impl CrashWatch {
    /// Creates a watch that reports to `inbox` and follows the list of suspects.
    pub fn new(inbox: Inbox, suspects: watch::Receiver<Arc<IndexSet<PartKey>>>) -> Self {
        Self { inbox, suspects }
    }

    /// Starts to watch one attempt of a request.
    pub fn attempt(
        &self,
        request: &RelayRequest,
        digest: RequestDigest,
        endpoint: &Endpoint,
    ) -> AttemptWatch {
        AttemptWatch {
            watch: self.clone(),
            request: request.id.clone(),
            endpoint: endpoint.clone(),
            pool: request.pool.clone(),
            parts: request.parts.clone(),
            digest,
            answered: false,
        }
    }
}

/// Watches one attempt of a request at an endpoint.
pub struct AttemptWatch {
    watch: CrashWatch,
    request: String,
    endpoint: Endpoint,
    pool: PoolName,
    parts: Vec<PromptPart>,
    digest: RequestDigest,
    answered: bool,
}

impl AttemptWatch {
    /// Notes that bytes of the answer have arrived.
    pub fn answered(&mut self) {
        if std::mem::replace(&mut self.answered, true) || self.parts.is_empty() {
            return;
        }
        let suspects = self.watch.suspects.borrow();
        let key = |part: &PromptPart| PartKey { pool: self.pool.clone(), part: part.clone() };
        if !suspects.iter().any(|it| it.pool == self.pool) {
            return;
        }
        // The first part is reported in any case, to show that the pool answers.
        let cleared = self.parts.iter().enumerate().map(|(i, part)| (i, key(part)));
        let cleared = cleared.filter(|(i, it)| *i == 0 || suspects.contains(it));
        self.watch.inbox.offer(Event::PartsAnswered(cleared.map(|(_, it)| it).collect()));
    }

    /// Reports the attempt if its endpoint has crashed under it: its connection ended
    /// before a byte of the answer, and no other can be made. `began` says whether the
    /// head of the answer had arrived.
    pub fn broke_off(self, began: bool) {
        if self.answered {
            return;
        }
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CHECK_DELAY).await;
            if !is_refused(&self.endpoint).await {
                return;
            }
            log::info!(
                request = self.request.as_str(), endpoint = self.endpoint.name.as_str(),
                generation:% = self.endpoint.generation, pool:% = self.pool, began = began,
                parts = join_parts(&self.parts), digest:% = self.digest;
                "[relay] an endpoint crashed under a request"
            );
            if self.parts.is_empty() {
                return;
            }
            self.watch.inbox.offer(Event::EndpointCrashed(CrashReport {
                endpoint: self.endpoint.name,
                generation: self.endpoint.generation,
                pool: self.pool,
                parts: self.parts,
                began,
            }));
        });
    }
}

async fn is_refused(endpoint: &Endpoint) -> bool {
    let refused = |err: &std::io::Error| err.kind() == ErrorKind::ConnectionRefused;
    let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(endpoint.addr)).await;
    matches!(connected, Ok(Err(err)) if refused(&err))
}
