//! Hands requests to other instances while this one reaches no endpoints.
//!
//! The other instance handles a request as if its caller had sent it there: it counts it,
//! runs its stages and retries it. It never hands it over again.

use {
    super::{
        hand_over_mark::{HANDED_OVER, is_handed_over},
        handed_body::HandedBody,
        progress::Wait,
        record::RequestRecord,
        relay::Relay,
        request::RelayRequest,
        response::{Denial, RelayResponse, add_request_id, deny, handed_body, strip_hop_by_hop},
        upstream::Connection,
    },
    coord::{relay::entry_addrs, time::Millis},
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode,
        body::{Bytes, Incoming},
    },
    rand::seq::SliceRandom,
    std::{net::SocketAddr, rc::Rc},
    tokio::time::timeout_at,
};

/// The most instances that are tried for a request.
const MAX_HELPERS: usize = 3;
/// `Retry-After` while no instance reaches endpoints: about the time between two looks.
pub const RETRY_AFTER_CUT: Millis = Millis(500);

/// A request that this instance can't serve.
pub struct HandOver {
    pub relay: Rc<Relay>,
    pub request: RelayRequest,
    pub body: Bytes,
    pub record: RequestRecord,
    /// Whether an endpoint may have run it before.
    pub may_have_run: bool,
}

impl HandOver {
    /// Hands the request to instances in random order until one answers.
    pub async fn run(mut self) -> RelayResponse {
        let helpers = self.helpers();
        let count = helpers.len();
        for addr in helpers.into_iter().take(MAX_HELPERS) {
            log::info!(
                request = self.request.id.as_str(), helper:% = addr, helpers = count,
                left_ms = self.request.remaining().as_millis() as u64;
                "[relay] handed over"
            );
            self.record.set_may_have_run(self.may_have_run);
            let connected =
                timeout_at(self.request.deadline.into(), self.relay.upstream.connect(addr)).await;
            let Ok(Ok(connection)) = connected else {
                log::info!(helper:% = addr; "[relay] helper not reached");
                continue;
            };
            if self.may_have_run && !self.relay.spend_retry(&self.request.pool) {
                return self.deny(Denial::Unknown);
            }
            self.record.add_send(&addr.to_string(), Wait::Helper);
            match self.send(connection).await {
                Ok((response, connection)) if self.may_go_on(&response) => {
                    drop((response, connection));
                }
                Ok((response, connection)) => return self.respond(response, connection),
                Err(denial) => {
                    self.may_have_run = true;
                    if denial == Denial::TimedOut || !self.request.route.retry.is_retryable() {
                        return self.deny(denial);
                    }
                }
            }
        }
        match self.may_have_run {
            true => self.deny(Denial::Unknown),
            false => self.deny(Denial::NoEndpoint),
        }
    }

    /// Returns the instances that relay requests and have not reported that they reach no
    /// endpoints, in random order, so that none gets all.
    fn helpers(&self) -> Vec<SocketAddr> {
        let view = self.relay.view();
        let entries = entry_addrs(&view.tables);
        let members = view.tables.roster.values();
        let others = members.filter(|it| it.peer != self.relay.peer && entries.contains(&it.peer));
        let able = others.filter(|it| !self.relay.reach.is_peer_cut(it.id));
        let mut helpers: Vec<SocketAddr> = able.filter_map(|it| it.relay).collect();
        helpers.shuffle(&mut rand::rng());
        helpers
    }

    async fn send(
        &self,
        mut connection: Connection,
    ) -> Result<(Response<Incoming>, Connection), Denial> {
        let request = self.outgoing();
        let sent = connection.sender.send_request(request);
        match timeout_at(self.request.deadline.into(), sent).await {
            Err(_) => Err(Denial::TimedOut),
            Ok(Ok(response)) => Ok((response, connection)),
            Ok(Err(err)) => {
                log::info!(
                    request = self.request.id.as_str(), error:% = err;
                    "[relay] helper lost"
                );
                Err(Denial::Unknown)
            }
        }
    }

    fn outgoing(&self) -> Request<Full<Bytes>> {
        let names = &self.relay.dialect.headers;
        self.request.handed_over(names, self.relay.mark.clone(), self.body.clone())
    }

    /// Whether a helper's answer says that it reaches no endpoint either, so that the next
    /// one may be tried.
    fn may_go_on(&self, response: &Response<Incoming>) -> bool {
        let signed = response.headers().contains_key(&self.relay.dialect.headers.signature);
        !signed && !self.may_have_run && is_handed_over(response.headers(), &self.relay.mark)
    }

    fn respond(self, response: Response<Incoming>, connection: Connection) -> RelayResponse {
        let (mut head, body) = response.into_parts();
        let refusals = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
        ];
        if self.may_have_run && refusals.contains(&head.status) {
            return self.deny(Denial::Unknown);
        }
        strip_hop_by_hop(&mut head);
        head.headers.remove(HANDED_OVER);
        self.record.wait_for(Wait::Rest);
        let deadline = self.request.deadline;
        let body = HandedBody::new(body, connection, deadline, self.record);
        Response::from_parts(head, handed_body(body))
    }

    fn deny(mut self, denial: Denial) -> RelayResponse {
        self.record.finish(denial.name());
        let not_run = denial.status() == StatusCode::SERVICE_UNAVAILABLE;
        let mut response = deny(denial, not_run.then_some(RETRY_AFTER_CUT));
        add_request_id(&mut response, &self.request.id, &self.relay.dialect.headers.request);
        response
    }
}
