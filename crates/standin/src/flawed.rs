//! An endpoint of a software version that may be bad.

use {
    crate::{ReceivedRequest, Script, ScriptedEndpoint, Step, signed_response},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
};

/// What is wrong with a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// One of so many answers is a failure.
    Fails {
        every: usize,
    },
    /// Each answer takes so many times longer.
    Slow {
        factor: u32,
    },
    /// All answers to requests whose path begins like this are failures.
    FailsOn {
        prefix: &'static str,
    },
}

/// A running endpoint.
pub struct FlawedEndpoint {
    pub addr: SocketAddr,
    scripted: ScriptedEndpoint,
    flaw: Arc<Mutex<Flaw>>,
    failures: Arc<Mutex<Vec<Instant>>>,
}

impl FlawedEndpoint {
    /// Starts an endpoint on a free loopback port. It answers after `work`.
    pub fn start(work: Duration, flaw: Flaw) -> Self {
        let (flaw, failures) = (Arc::new(Mutex::new(flaw)), Arc::new(Mutex::new(Vec::new())));
        let (current, failed) = (flaw.clone(), failures.clone());
        let script: Script = Box::new(move |seen, number| {
            let flaw = *current.lock().expect("lock poisoned");
            let wait = match flaw {
                Flaw::Slow { factor } => work * factor,
                _ => work,
            };
            if !fails(flaw, seen, number) {
                let head = "content-length: 4\r\n";
                return vec![
                    Step::Wait(wait),
                    Step::Send(signed_response(seen, "200 OK", head, "fine")),
                ];
            }
            // The script is asked before the body is read, too.
            if !seen.body.is_empty() {
                failed.lock().expect("lock poisoned").push(Instant::now());
            }
            let head = "content-length: 3\r\n";
            let answer = signed_response(seen, "500 Internal Server Error", head, "bad");
            vec![Step::Wait(wait), Step::Send(answer)]
        });
        let scripted = ScriptedEndpoint::start(script);
        Self { addr: scripted.addr, scripted, flaw, failures }
    }

    /// Changes what is wrong from now on.
    pub fn set_flaw(&self, flaw: Flaw) {
        *self.flaw.lock().expect("lock poisoned") = flaw;
    }

    /// When requests have arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.scripted.received().into_iter().map(|it| it.at).collect()
    }

    /// When requests with a body were failed.
    pub fn failures(&self) -> Vec<Instant> {
        self.failures.lock().expect("lock poisoned").clone()
    }
}

fn fails(flaw: Flaw, seen: &ReceivedRequest, number: usize) -> bool {
    match flaw {
        Flaw::None | Flaw::Slow { .. } => false,
        Flaw::Fails { every } => number.is_multiple_of(every),
        Flaw::FailsOn { prefix } => {
            seen.head.split(' ').nth(1).is_some_and(|it| it.starts_with(prefix))
        }
    }
}
