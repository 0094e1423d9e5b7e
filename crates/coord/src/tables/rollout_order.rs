//! Orders of rollouts, and their effect on the replicated state.

use {
    super::{Applied, Delta, Outcome, Rollout, RolloutPhase, State, Tables, state::without_delta},
    crate::{
        ids::{Index, PoolName, SoftwareVersion},
        time::Millis,
    },
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The longest time that an order may allow: one day. A rollout that takes longer is better
/// ordered again, with a look at its evidence in between.
pub const MAX_ROLLOUT_DURATION: Millis = Millis(86_400_000);
/// How long after the outcome the same order counts as a repeat. Callers that got no
/// acknowledgement resend an order for a few seconds.
pub const ORDER_REPEAT_TIME: Millis = Millis(60_000);
/// The most rollouts kept, of which there is one for each pool.
const MAX_ROLLOUTS: usize = 1000;

/// An operator's order to move the traffic of a pool to a software version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    pub pool: PoolName,
    pub to: SoftwareVersion,
    /// How long after the order the rollout is rolled back unless it is completed.
    pub duration: Millis,
}

/// What a pool's tables say of its rollouts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStanding {
    /// Whether the catalog has the pool.
    pub is_known: bool,
    /// The latest rollout.
    pub last: Option<Rollout>,
    /// Whether its outcome is so old that the same order isn't a repeat any more.
    pub is_old: bool,
}

/// An order that the tables allow, as it is logged. It is bound to the rollout that was the
/// pool's latest while its caller waited, so that a late copy can't undo a later order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundOrder {
    pub order: RolloutOrder,
    /// The number of the rollout that was the latest; 0 for none.
    pub after: u64,
    /// Whether its outcome was so old that the same order isn't a repeat any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub again: bool,
}

/// What becomes of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum OrderOutcome {
    Started {
        number: u64,
    },
    /// It was given before; nothing has changed.
    Repeated {
        number: u64,
    },
    /// Another rollout of the pool is in progress.
    Conflict {
        number: u64,
        to: SoftwareVersion,
    },
    UnknownPool,
    Invalid {
        reason: String,
    },
    /// Another rollout has become the latest since the order was checked.
    Overtaken,
}

impl RolloutOrder {
    /// Checks the order against the rollouts of its pool and binds it to the latest.
    ///
    /// # Errors
    /// It has its outcome already: it is invalid, a repeat or in conflict with another.
    pub fn bind(&self, standing: &RolloutStanding) -> Result<BoundOrder, OrderOutcome> {
        let after = standing.last.as_ref().map_or(0, |it| it.number);
        let bound = BoundOrder { order: self.clone(), after, again: standing.is_old };
        bound.check(standing).map(|()| bound)
    }

    fn is_same(&self, rollout: &Rollout) -> bool {
        self.to == rollout.to && self.duration == rollout.duration
    }
}

impl BoundOrder {
    fn check(&self, standing: &RolloutStanding) -> Result<(), OrderOutcome> {
        let order = &self.order;
        if order.duration == Millis(0) || order.duration > MAX_ROLLOUT_DURATION {
            let reason = format!(
                "a rollout takes more than 0ms and at most {MAX_ROLLOUT_DURATION}, not {}",
                order.duration
            );
            return Err(OrderOutcome::Invalid { reason });
        }
        if !standing.is_known {
            return Err(OrderOutcome::UnknownPool);
        }
        match &standing.last {
            Some(it) if order.is_same(it) => {
                let is_new = !it.phase.is_open() && self.again && self.after == it.number;
                if is_new { Ok(()) } else { Err(OrderOutcome::Repeated { number: it.number }) }
            }
            Some(it) if it.phase.is_open() => {
                Err(OrderOutcome::Conflict { number: it.number, to: it.to.clone() })
            }
            last if last.as_ref().map_or(0, |it| it.number) != self.after => {
                Err(OrderOutcome::Overtaken)
            }
            _ => Ok(()),
        }
    }
}

impl fmt::Display for RolloutOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rollout of {} to {} in {}", self.pool, self.to, self.duration)
    }
}

impl State {
    pub(super) fn start_rollout(&mut self, index: Index, bound: &BoundOrder) -> Applied {
        let standing = self.tables.rollout_standing(&bound.order.pool, false);
        if let Err(outcome) = bound.check(&standing) {
            return without_delta(Outcome::Rollout(outcome));
        }
        let RolloutOrder { pool, to, duration } = bound.order.clone();
        let (number, phase) = (index.0, RolloutPhase::Trial);
        let rollout = Rollout { pool, to, duration, number, phase };
        let outcome = Outcome::Rollout(OrderOutcome::Started { number });
        self.apply_delta(Delta::Rollout(rollout), outcome)
    }

    /// Sets the phase of a pool's latest rollout, unless another has become the latest or
    /// the phase doesn't lead forward.
    pub(super) fn set_rollout_phase(
        &mut self,
        pool: &PoolName,
        number: u64,
        phase: RolloutPhase,
    ) -> Applied {
        let current = self.tables.rollouts.get(pool).filter(|it| it.number == number);
        match current.filter(|it| it.phase.may_become(phase)) {
            Some(it) => {
                let next = Rollout { phase, ..it.clone() };
                self.apply_delta(Delta::Rollout(next), Outcome::Done)
            }
            None => without_delta(Outcome::Stale),
        }
    }
}

impl Tables {
    /// Whether a pool can have a rollout: the catalog has it, so that the relay sends its
    /// requests. The callers' router neither holds back nor counts sends by version, so that
    /// pools that only the pool table has can't be rolled out.
    pub fn has_pool(&self, pool: &PoolName) -> bool {
        self.catalog.services.contains_key(pool)
    }

    /// Returns what there is to know of a pool's rollouts. `is_old` is whether the outcome of
    /// the latest is older than [`ORDER_REPEAT_TIME`].
    pub fn rollout_standing(&self, pool: &PoolName, is_old: bool) -> RolloutStanding {
        let last = self.rollouts.get(pool).cloned();
        RolloutStanding { is_known: self.has_pool(pool), last, is_old }
    }

    /// Replaces the latest rollout of a pool. Beyond the number of rollouts kept, the oldest
    /// with an outcome is dropped.
    pub(super) fn set_rollout(&mut self, rollout: Rollout) {
        self.rollouts.insert(rollout.pool.clone(), rollout);
        if self.rollouts.len() > MAX_ROLLOUTS {
            let mut ended = self.rollouts.values().filter(|it| !it.phase.is_open());
            if let Some(oldest) = ended.by_ref().min_by_key(|it| it.number) {
                let pool = oldest.pool.clone();
                self.rollouts.shift_remove(&pool);
            }
        }
    }
}
