//! The budget of the process.

use {
    super::{Acceptor, ConfigurationTurns, Descriptors, Room},
    coord::{
        memory::{
            BodyRoom, ConnectionClass, ConnectionLimits, DescriptorPlan, MEMORY_MB_DEFAULT,
            MemoryMb, MemoryPlan, MemoryUse,
        },
        time::Millis,
    },
    metrics::gauge,
    std::{fs, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// How often the metrics of the budget are published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// The longest time in which a client takes nothing of an answer. Longer than lost segments
/// take to come again, shorter than callers wait.
const WRITE_TIMEOUT: Millis = Millis(10_000);
/// Assumed if the system doesn't tell how many descriptors the process may have.
const MAX_FDS_DEFAULT: usize = 1024;

/// The limits of the process.
#[derive(Debug, Clone, Copy, Default)]
pub struct MemorySettings {
    /// Unset: the parts are those of the smallest instance.
    pub limit: Option<MemoryMb>,
    /// Unset: what the system says that it allows the process. A given number counts as it is,
    /// since that may be the bound of files alone.
    pub max_fds: Option<usize>,
}

/// Room for bodies of one kind.
#[derive(Debug, Clone)]
pub struct BodyRooms {
    pub small: Room,
    pub large: Room,
    /// The longest body that counts as small, in bytes.
    pub small_body: usize,
}

/// The parts of the budget.
#[derive(Debug, Clone)]
pub struct Memory {
    pub plan: MemoryPlan,
    pub callers: BodyRooms,
    pub handed: BodyRooms,
    pub answers: BodyRooms,
    pub operators: BodyRooms,
    pub announcements: BodyRooms,
    pub control: BodyRooms,
    pub configurations: ConfigurationTurns,
    pub descriptors: Descriptors,
}

impl Memory {
    /// Shares out the limits of the process.
    pub fn new(settings: MemorySettings, usage: MemoryUse) -> Self {
        let limit = settings.limit.unwrap_or(MEMORY_MB_DEFAULT);
        let usage = MemoryUse { is_limited: settings.limit.is_some(), ..usage };
        let plan = MemoryPlan::new(limit, usage);
        let max_fds = settings.max_fds.unwrap_or_else(allowed_fds);
        let descriptors = DescriptorPlan::new(max_fds, plan.max_connections());
        let descriptors = match usage.relays {
            true => descriptors,
            false => descriptors.without_relay(usage.max_calls),
        };
        log::info!(
            limit_mb = limit.0, parts_mb = plan.sum().0 >> 20, max_fds = max_fds,
            connections = plan.max_connections(), callers_mb = plan.callers.large.0 >> 20,
            answers_mb = plan.answers.large.0 >> 20, control_mb = plan.control.large.0 >> 20;
            "[memory] budget"
        );
        Self {
            plan,
            callers: BodyRooms::new("callers_small", "callers", plan.callers),
            handed: BodyRooms::new("handed_small", "handed", plan.handed),
            answers: BodyRooms::new("answers_small", "answers", plan.answers),
            operators: BodyRooms::new("operators_small", "operators", plan.operators),
            announcements: BodyRooms::new(
                "announcements_small",
                "announcements",
                plan.announcements,
            ),
            control: BodyRooms::new("control_small", "control", plan.control),
            configurations: ConfigurationTurns::default(),
            descriptors: Descriptors::new(descriptors),
        }
    }

    /// Creates the acceptor of a listener for clients, for at most `most` connections.
    pub fn acceptor(
        &self,
        name: &'static str,
        class: ConnectionClass,
        most: usize,
    ) -> Arc<Acceptor> {
        let most = most.min(self.plan.max_connections());
        Acceptor::new(name, class, most, self.descriptors.clone())
    }

    /// Returns the limits of connections, given how long a head may take and a connection may
    /// be idle. Clients that take nothing are bounded in time only; see
    /// [`Self::streaming_limits`].
    pub fn limits(&self, head_timeout: Millis, idle_timeout: Millis) -> ConnectionLimits {
        ConnectionLimits {
            head_timeout,
            idle_timeout,
            write_timeout: WRITE_TIMEOUT,
            held_timeout: WRITE_TIMEOUT,
            max_heads: self.plan.other_heads,
            max_blocked: usize::MAX,
        }
    }

    /// Returns the limits of connections on which streams of endpoints are relayed. Those that
    /// aren't taken have a part of their own.
    pub fn streaming_limits(&self, head_timeout: Millis, idle_timeout: Millis) -> ConnectionLimits {
        let limits = ConnectionLimits {
            max_heads: self.plan.relay_heads,
            max_blocked: self.plan.max_blocked_streams(),
            ..self.limits(head_timeout, idle_timeout)
        };
        match self.answers.small.is_waited_for() || self.answers.large.is_waited_for() {
            true => limits.under_pressure(),
            false => limits,
        }
    }

    /// Publishes the metrics until the process ends.
    pub async fn publish(self) {
        let own = [&self.operators, &self.announcements, &self.control];
        let bodies: Vec<_> =
            [&self.callers, &self.handed, &self.answers].into_iter().chain(own).collect();
        loop {
            for it in &bodies {
                it.small.publish();
                it.large.publish();
            }
            for class in ConnectionClass::ALL {
                let open = self.descriptors.count(class) as f64;
                gauge!("mangobend_connections_open", "kind" => class.name()).set(open);
            }
            sleep(PUBLISH_INTERVAL).await;
        }
    }
}

impl BodyRooms {
    /// Creates the rooms of one kind of bodies, with their names in metrics.
    pub fn new(small: &'static str, large: &'static str, room: BodyRoom) -> Self {
        Self {
            small: Room::new(small, room.small),
            large: Room::new(large, room.large),
            small_body: room.small_body.0 as usize,
        }
    }
}

/// Returns the descriptors that the system allows the process.
fn allowed_fds() -> usize {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|it| it.strip_prefix("Max open files"));
    let soft = line.and_then(|it| it.split_whitespace().next());
    soft.and_then(|it| it.parse().ok()).unwrap_or(MAX_FDS_DEFAULT)
}
