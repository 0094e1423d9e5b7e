//! An endpoint that names in its answers how many requests a second it takes.

use {
    crate::{
        ReceivedRequest, Script, ScriptedEndpoint, Step, framed_answer::piece_results,
        signed_response,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// A running endpoint. It serves whatever arrives, above its limit too.
pub struct LimitedEndpoint {
    pub addr: SocketAddr,
    scripted: ScriptedEndpoint,
    limit: Arc<Mutex<Option<String>>>,
}

impl LimitedEndpoint {
    /// Starts an endpoint without a limit on a free loopback port. It answers after
    /// `work`.
    pub fn start(work: Duration) -> Self {
        let limit = Arc::new(Mutex::new(None));
        let named = limit.clone();
        let script: Script = Box::new(move |seen, _| {
            let limit = named.lock().expect("lock poisoned").clone();
            vec![Step::Wait(work), Step::Send(answer(seen, limit))]
        });
        let scripted = ScriptedEndpoint::start(script);
        Self { addr: scripted.addr, scripted, limit }
    }

    /// Sets the value that its answers name from now on; none without one.
    pub fn set_limit(&self, limit: Option<&str>) {
        *self.limit.lock().expect("lock poisoned") = limit.map(ToOwned::to_owned);
    }

    /// When requests have arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.scripted.received().into_iter().map(|it| it.at).collect()
    }

    /// The requests that have arrived.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.scripted.received()
    }
}

fn answer(seen: &ReceivedRequest, limit: Option<String>) -> Vec<u8> {
    let limit = limit.map_or_else(String::new, |it| format!("mangobend-limit: {it}\r\n"));
    let body = match seen.head.starts_with("POST /v1/pieces ") {
        true => piece_results(seen),
        false => "fine".to_owned(),
    };
    let head = format!("{limit}content-length: {}\r\n", body.len());
    signed_response(seen, "200 OK", &head, &body)
}
