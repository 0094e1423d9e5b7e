//! The random plan of faults.

use {
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    standin::Control,
    std::time::Duration,
};

/// Instances with a data folder; five tolerate the loss of two.
pub const VOTERS: usize = 5;
/// Instances without a data folder.
pub const NON_VOTERS: usize = 2;
/// The replacements for good with which each plan begins.
const REPLACEMENTS: usize = 3;
pub const DOMAINS: [&str; 3] = ["north", "east", "south"];

/// A fault of one or all instances, which are given by index.
#[derive(Debug, Clone, Copy)]
pub enum InstanceFault {
    /// Killed, and restarted later.
    Kill(usize),
    /// Killed, and restarted later without its data.
    Wipe(usize),
    /// All are killed at once and restarted.
    KillAll,
    /// Suspended with SIGSTOP and resumed later.
    Freeze(usize),
    /// Stopped with SIGTERM and restarted once it has exited.
    Stop(usize),
    /// The connections between it and its peers are closed, new ones too.
    CutPeers(usize),
    /// Bytes that peers send to it are discarded.
    DropInbound(usize),
    /// Bytes that it sends to peers are discarded.
    DropOutbound(usize),
    /// Bytes on the open connections from its peers are discarded; new ones work.
    Blackhole(usize),
    /// Bytes between it and its peers are delayed.
    Delay(usize),
    /// Taken away for good; another one with an empty disk comes later at another address.
    Replace(usize),
    /// The same of the leader.
    ReplaceLeader,
    /// The same of the leader and the voter after it.
    ReplacePair,
}

/// A fault of endpoints, or a failure domain out of service.
#[derive(Debug, Clone)]
pub enum EndpointFault {
    /// One endpoint of a pool misbehaves.
    Misbehave { pool: &'static str, number: usize, control: Control },
    /// All model endpoints are killed once replacements run on new ports.
    KillEngines,
    /// An operator takes a failure domain out of service and brings it back.
    TakeOut(&'static str),
}

/// A fault, its duration and the delay before it.
#[derive(Debug, Clone)]
pub struct FaultWindow<T> {
    pub delay: Duration,
    pub duration: Duration,
    pub fault: T,
}

/// The faults of instances and of endpoints. Each list is injected in order; the two run
/// side by side.
#[derive(Debug, Clone)]
pub struct Plan {
    pub instances: Vec<FaultWindow<InstanceFault>>,
    pub endpoints: Vec<FaultWindow<EndpointFault>>,
}

impl InstanceFault {
    /// Whether it may end the process of an instance without a stop.
    pub fn may_kill(self, instance: usize) -> bool {
        match self {
            Self::Kill(it) | Self::Wipe(it) | Self::Replace(it) => it == instance,
            Self::KillAll | Self::ReplaceLeader | Self::ReplacePair => true,
            Self::Freeze(_)
            | Self::Stop(_)
            | Self::CutPeers(_)
            | Self::DropInbound(_)
            | Self::DropOutbound(_)
            | Self::Blackhole(_)
            | Self::Delay(_) => false,
        }
    }
}

impl Plan {
    /// Draws `faults` faults for each list.
    pub fn generate(seed: u64, faults: usize) -> Self {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut instances: Vec<_> =
            (0..faults).map(|_| draw_window(rng, draw_instance_fault)).collect();
        // Faults of a system grow with the instances that it has lost for good.
        let ageing = (0..REPLACEMENTS).map(|_| draw_window(rng, draw_replacement));
        instances.splice(0..0, ageing);
        let endpoints = (0..faults).map(|_| draw_window(rng, draw_endpoint_fault)).collect();
        // Each plan stops the instances that gather the stages of all.
        let gatherers = VOTERS..VOTERS + NON_VOTERS;
        instances.extend(gatherers.map(|it| draw_window(rng, |_| InstanceFault::Stop(it))));
        Self { instances, endpoints }
    }
}

fn draw_window<T>(rng: &mut StdRng, draw: impl FnOnce(&mut StdRng) -> T) -> FaultWindow<T> {
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
        InstanceFault::Replace(voter),
        InstanceFault::ReplaceLeader,
        InstanceFault::ReplacePair,
    ];
    *faults.choose(rng).expect("there are faults")
}

fn draw_replacement(rng: &mut StdRng) -> InstanceFault {
    match rng.random() {
        true => InstanceFault::ReplacePair,
        false => InstanceFault::ReplaceLeader,
    }
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
