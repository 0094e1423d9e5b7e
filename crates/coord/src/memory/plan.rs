//! The parts of the budget.

use {
    super::ConnectionClass,
    crate::ids::Bytes,
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// Memory of a process in MiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemoryMb(pub u64);

/// The limit of the smallest instances, taken where none is set.
pub const MEMORY_MB_DEFAULT: MemoryMb = MemoryMb(120);

const MIB: u64 = 1 << 20;
/// What a process without clients holds: about 15 MiB, and about as much again for threads,
/// queued log lines and what the allocator can't give back.
const AT_REST: u64 = 26 * MIB;
/// What the agreed state may take at an instance that can vote.
const AGREED_STATE: u64 = 64 * MIB;
/// The least that is shared out, however small the limit: one body of 4 MiB each way.
const LEAST_ROOM: u64 = 32 * MIB;
/// A configuration of the longest legal length at an instance that takes them. What is made
/// of it, and copies of it that clients read, aren't part of the plan.
const CONFIGURATION: u64 = 17 * MIB;

/// The most that one body takes of the part for small bodies. The longest bodies of ordinary
/// callers have 55 KiB.
const SMALL_BODY: u64 = 64 << 10;
/// What a connection holds on average besides bodies: its state, and the buffer of a head of
/// a few KiB. An idle one holds less.
const PER_CONNECTION: u64 = 13 << 10;
/// What a connection holds whose head is as long as it may be: the head and a buffer twice
/// its size, of which half is touched.
const PER_HEAD: u64 = 24 << 10;
/// Heads under way may take half of the connections' part. Of that, the relay's listener gets
/// this much, as most clients are there; the others share the rest.
const RELAY_HEADS_PERCENT: u64 = 50;
/// The listeners beside the relay's: own callers, operators, endpoints, peers, and the control
/// API or readiness checks.
const OTHER_LISTENERS: u64 = 5;
/// What a connection holds whose client doesn't take a stream: what was read from the
/// endpoint and not yet written.
const PER_BLOCKED_STREAM: u64 = 48 << 10;

/// What a process does, as far as it decides how its memory is shared out.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemoryUse {
    /// Whether it relays requests.
    pub relays: bool,
    /// Whether the limit was set by whom runs it. If not, the agreed state isn't counted.
    pub is_limited: bool,
    /// Whether it keeps the agreed state on disk.
    pub votes: bool,
    /// Whether it takes configurations of 16 MiB.
    pub takes_configurations: bool,
    /// The longest body that the settings allow the product's own callers.
    pub longest_body: Bytes,
    /// The most calls of endpoints at one time for the product's own callers.
    pub max_calls: usize,
}

/// Room for bodies of one kind. Small bodies have a part that large ones can't take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyRoom {
    pub small: Bytes,
    pub large: Bytes,
    /// The longest body that counts as small.
    pub small_body: Bytes,
}

/// The room of each part. The sum is less than the limit of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Bodies of callers' requests.
    pub callers: BodyRoom,
    /// Bodies of requests that other instances hand over.
    pub handed: BodyRoom,
    /// Bodies of answers, until the caller has taken them.
    pub answers: BodyRoom,
    /// Bodies of operators' requests, announcements, and requests to the control API.
    pub operators: BodyRoom,
    pub announcements: BodyRoom,
    pub control: BodyRoom,
    /// Heads and buffers of clients' connections.
    pub connections: Bytes,
    /// Streams whose callers don't take them.
    pub streams: Bytes,
    /// How many heads may be under way at the relay's listener, and at each other one.
    pub relay_heads: usize,
    pub other_heads: usize,
}

impl MemoryPlan {
    /// Shares out the memory of a process. Instances that don't relay keep no part for
    /// answers and requests that are handed over; the product's own callers are served by all.
    pub fn new(limit: MemoryMb, usage: MemoryUse) -> Self {
        let state = if usage.votes && usage.is_limited { AGREED_STATE } else { 0 };
        let configuration = if usage.takes_configurations { CONFIGURATION } else { 0 };
        let taken = AT_REST + state + configuration;
        let room = (limit.0 * MIB).saturating_sub(taken).max(LEAST_ROOM);
        let percent = |it: u64| room * it / 100;
        let body = |small: u64, large: u64| BodyRoom {
            small: Bytes(small),
            large: Bytes(large),
            small_body: Bytes(SMALL_BODY),
        };
        let heads = |connections: u64, percent: u64| {
            (room * connections / 100 / 2 / PER_HEAD * percent / 100) as usize
        };
        match usage.relays {
            true => Self {
                callers: body(percent(10), percent(18).max(usage.longest_body.0)),
                handed: body(percent(3), percent(6).max(4 * MIB)),
                answers: body(percent(6), percent(10).max(4 * MIB)),
                operators: body(percent(1), percent(3).max(4 * MIB)),
                announcements: body(percent(1), percent(3).max(4 * MIB)),
                control: body(percent(1), configuration),
                connections: Bytes(percent(28)),
                streams: Bytes(percent(5)),
                relay_heads: heads(28, RELAY_HEADS_PERCENT),
                other_heads: heads(28, (100 - RELAY_HEADS_PERCENT) / OTHER_LISTENERS),
            },
            false => Self {
                callers: body(percent(8), percent(16).max(4 * MIB).max(usage.longest_body.0)),
                handed: body(0, 0),
                answers: body(0, 0),
                operators: body(percent(2), percent(5).max(4 * MIB)),
                announcements: body(percent(2), percent(5).max(4 * MIB)),
                control: body(percent(2), configuration),
                connections: Bytes(percent(30)),
                streams: Bytes(0),
                relay_heads: 0,
                other_heads: heads(30, 100 / OTHER_LISTENERS),
            },
        }
    }

    /// Returns the sum of all parts.
    pub fn sum(&self) -> Bytes {
        let own = [self.operators, self.announcements, self.control];
        let bodies = [self.callers, self.handed, self.answers].into_iter().chain(own);
        let bodies: u64 = bodies.map(|it| it.small.0 + it.large.0).sum();
        Bytes(bodies + self.connections.0 + self.streams.0)
    }

    /// Returns how many connections of clients there may be at all listeners together.
    pub fn max_connections(&self) -> usize {
        (self.connections.0 / PER_CONNECTION) as usize
    }

    /// Returns how many callers of a relay may leave a stream untaken. Without a part for
    /// streams there is no bound: nothing is relayed then.
    pub fn max_blocked_streams(&self) -> usize {
        if self.streams == Bytes(0) {
            return usize::MAX;
        }
        (self.streams.0 / PER_BLOCKED_STREAM) as usize
    }
}

/// Descriptors that aren't connections: files, listeners, timers.
const OTHER_DESCRIPTORS: usize = 64;
/// The share of the descriptors for connections to other instances, which aren't counted:
/// one sixteenth.
const TO_PEERS_DIVISOR: usize = 16;

/// How the descriptors of a process are shared out. Each kind of connection has a part that
/// the others can't take; the rest is taken by who comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DescriptorPlan {
    total: usize,
    own: [usize; ConnectionClass::COUNT],
    /// The most connections of clients of all kinds, by memory.
    max_clients: usize,
}

/// The part of the clients' connections that callers and peers each keep, however many of the
/// others there are.
const KEPT_CLIENTS_DIVISOR: usize = 8;
/// The same for each of the four other kinds, which together keep as much as callers.
const KEPT_OTHERS_DIVISOR: usize = 32;

impl DescriptorPlan {
    /// Shares out the descriptors of a process that has memory for `max_clients` connections
    /// of clients.
    pub fn new(max_fds: usize, max_clients: usize) -> Self {
        let others = OTHER_DESCRIPTORS + max_fds / TO_PEERS_DIVISOR;
        let total = max_fds.saturating_sub(others).max(ConnectionClass::COUNT);
        let mut own = [0; ConnectionClass::COUNT];
        for class in ConnectionClass::ALL {
            // Callers and endpoints have nearly the same number. Peers are one connection
            // each way for each instance. Of the others, endpoints keep a connection to announce
            // themselves; operators and checks are few.
            let percent = match class {
                ConnectionClass::Callers => 30,
                ConnectionClass::Announcements | ConnectionClass::Control => 3,
                ConnectionClass::Operators | ConnectionClass::Readiness => 1,
                ConnectionClass::Peers => 8,
                ConnectionClass::Endpoints => 25,
            };
            own[class as usize] = (total * percent / 100).max(1);
        }
        Self { total, own, max_clients }
    }

    /// Keeps no more for endpoints than calls at one time may need that aren't relayed: one
    /// connection for each, and one that is kept open for later.
    pub fn without_relay(mut self, max_calls: usize) -> Self {
        let own = &mut self.own[ConnectionClass::Endpoints as usize];
        *own = max_calls.saturating_mul(2).min(*own);
        self
    }

    /// Returns the part of a kind that the others can't take.
    pub fn own(&self, class: ConnectionClass) -> usize {
        self.own[class as usize]
    }

    /// Whether a kind may open one more connection, given how many each has open.
    pub fn has_room(&self, class: ConnectionClass, open: [usize; ConnectionClass::COUNT]) -> bool {
        let all = ConnectionClass::ALL;
        let clients = all.into_iter().filter(|it| it.is_client());
        let kept = |it: ConnectionClass| {
            let divisor = match it {
                ConnectionClass::Callers | ConnectionClass::Peers => KEPT_CLIENTS_DIVISOR,
                _ => KEPT_OTHERS_DIVISOR,
            };
            self.own(it).min(self.max_clients / divisor)
        };
        let has_memory = !class.is_client() || fits(class, open, clients, kept, self.max_clients);
        has_memory && fits(class, open, all.into_iter(), |it| self.own(it), self.total)
    }
}

/// Whether one more connection of a kind leaves the others what each of them keeps.
fn fits(
    class: ConnectionClass,
    open: [usize; ConnectionClass::COUNT],
    all: impl Iterator<Item = ConnectionClass>,
    kept: impl Fn(ConnectionClass) -> usize,
    most: usize,
) -> bool {
    let taken = all.map(|it| match it == class {
        true => open[it as usize],
        false => open[it as usize].max(kept(it)),
    });
    open[class as usize] < kept(class) || taken.sum::<usize>() < most
}

impl fmt::Display for MemoryMb {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for MemoryMb {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        s.parse().map(Self)
    }
}
