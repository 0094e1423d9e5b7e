//! An endpoint of a software version that streams events, and can break off.

use {
    crate::{ReceivedRequest, Script, ScriptedEndpoint, Step, signed_response},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// The header by which a request asks the endpoint to reset its stream after so many
/// events.
pub const BREAK_HEADER: &str = "x-break-after";
/// The number of events in a whole stream.
pub const STREAM_EVENTS: u64 = 6;

/// A running endpoint. Each event carries its number and the version.
pub struct VersionedEndpoint {
    pub addr: SocketAddr,
    scripted: ScriptedEndpoint,
    version: Arc<Mutex<String>>,
}

impl VersionedEndpoint {
    /// Starts an endpoint on a free loopback port, with `pause` between its events.
    pub fn start(version: &str, pause: Duration) -> Self {
        let version = Arc::new(Mutex::new(version.to_owned()));
        let named = version.clone();
        let script: Script = Box::new(move |seen, _| {
            let version = named.lock().expect("lock poisoned").clone();
            stream(seen, &version, pause)
        });
        let scripted = ScriptedEndpoint::start(script);
        Self { addr: scripted.addr, scripted, version }
    }

    /// Answers as another version from now on.
    pub fn set_version(&self, version: &str) {
        version.clone_into(&mut self.version.lock().expect("lock poisoned"));
    }

    /// The requests that have arrived.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.scripted.received()
    }
}

/// The steps that stream the events after the last one that the caller has.
fn stream(seen: &ReceivedRequest, version: &str, pause: Duration) -> Vec<Step> {
    let number = |name| seen.header(name).and_then(|it| it.parse::<u64>().ok());
    let first = number("last-event-id").unwrap_or(0) + 1;
    let last = number(BREAK_HEADER).map_or(STREAM_EVENTS, |it| first + it - 1);
    let headers = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let mut steps = vec![Step::Send(signed_response(seen, "200 OK", headers, ""))];
    for id in first..=last.min(STREAM_EVENTS) {
        let event = format!("id: {id}\ndata: {version}\n\n");
        steps.push(Step::Send(format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()));
        steps.push(Step::Wait(pause));
    }
    steps.push(match last < STREAM_EVENTS {
        true => Step::Reset,
        false => Step::Send(b"0\r\n\r\n".to_vec()),
    });
    steps
}
