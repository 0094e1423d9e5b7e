//! Which faults come, when and for how long.

use {
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    standin::Control,
    std::time::Duration,
};

/// Instances with a disk; one of them may be lost at a time.
pub const VOTERS: usize = 3;
/// Instances without a disk.
pub const NON_VOTERS: usize = 2;
pub const DOMAINS: [&str; 3] = ["north", "east", "south"];

/// A fault of instances.
#[derive(Debug, Clone, Copy)]
pub enum InstanceFault {
    Kill(usize),
    /// Killed, and back without its disk.
    Wipe(usize),
    /// All are killed at one time.
    KillAll,
    /// Stopped by a signal and woken up later.
    Freeze(usize),
    /// Asked to stop, and started once it has.
    Stop(usize),
    /// Peers can't reach it, nor it them.
    CutPeers(usize),
    /// What it is sent by peers vanishes.
    DropInbound(usize),
    /// What it sends to peers vanishes.
    DropOutbound(usize),
    /// All its connections to peers go silent; new ones work.
    Blackhole(usize),
    Delay(usize),
}

/// A fault of endpoints or the places around them.
#[derive(Debug, Clone)]
pub enum EndpointFault {
    /// One endpoint of a pool misbehaves.
    Misbehave { pool: &'static str, number: usize, control: Control },
    /// All model endpoints are killed, and back on other ports.
    KillEngines,
    /// An operator takes a failure domain out and brings it back.
    TakeOut(&'static str),
}

/// A fault and the time that it lasts, with the calm before it.
#[derive(Debug, Clone)]
pub struct FaultWindow<T> {
    pub delay: Duration,
    pub duration: Duration,
    pub fault: T,
}

/// Two tracks of faults that run side by side.
#[derive(Debug, Clone)]
pub struct Plan {
    pub instances: Vec<FaultWindow<InstanceFault>>,
    pub endpoints: Vec<FaultWindow<EndpointFault>>,
}

impl Plan {
    /// Draws so many turns of each track.
    pub fn generate(seed: u64, faults: usize) -> Self {
        let rng = &mut StdRng::seed_from_u64(seed);
        let instances = (0..faults).map(|_| draw_window(rng, draw_instance_fault)).collect();
        let endpoints = (0..faults).map(|_| draw_window(rng, draw_endpoint_fault)).collect();
        Self { instances, endpoints }
    }
}

fn draw_window<T>(rng: &mut StdRng, draw: fn(&mut StdRng) -> T) -> FaultWindow<T> {
    let delay = Duration::from_millis(rng.random_range(300..1500));
    let duration = Duration::from_millis(rng.random_range(500..4000));
    FaultWindow { delay, duration, fault: draw(rng) }
}

fn draw_instance_fault(rng: &mut StdRng) -> InstanceFault {
    let any = rng.random_range(0..VOTERS + NON_VOTERS);
    let voter = rng.random_range(0..VOTERS);
    let faults = [
        InstanceFault::Kill(any),
        InstanceFault::Wipe(voter),
        InstanceFault::KillAll,
        InstanceFault::Freeze(any),
        InstanceFault::Stop(any),
        InstanceFault::CutPeers(any),
        InstanceFault::DropInbound(any),
        InstanceFault::DropOutbound(any),
        InstanceFault::Blackhole(any),
        InstanceFault::Delay(any),
    ];
    *faults.choose(rng).expect("there are faults")
}

fn draw_endpoint_fault(rng: &mut StdRng) -> EndpointFault {
    let controls = [
        Control { slow_factor: 10, ..Control::default() },
        Control { fail: true, ..Control::default() },
        Control { unresponsive: true, ..Control::default() },
        Control { drop_answer: true, ..Control::default() },
        Control { wrong_ident: true, ..Control::default() },
        Control { repeat: true, ..Control::default() },
        Control { reorder: true, ..Control::default() },
    ];
    let domain = rng.random_range(0..DOMAINS.len());
    match rng.random_range(0..10) {
        0 => EndpointFault::KillEngines,
        1 => EndpointFault::TakeOut(DOMAINS[domain]),
        _ => EndpointFault::Misbehave {
            pool: ["generate", "encode", "ledger"].choose(rng).expect("there are pools"),
            number: domain,
            control: controls.choose(rng).expect("there are controls").clone(),
        },
    }
}
