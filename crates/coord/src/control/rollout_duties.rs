//! The leader's work on rollouts: it keeps a control for each that is open, proposes its
//! phases, and passes reports and grants between controls and renewals.

use {
    super::{ShareHolder, Voter, renewals::holder_of},
    crate::{
        ids::{Index, NodeId, PoolName, Term},
        rollouts::{
            RolloutBounds, RolloutControl, RolloutFigures, RolloutGrant, RolloutReason,
            RolloutReport, RolloutStart, RolloutTotals, RolloutView,
        },
        tables::{Command, Delta, ORDER_REPEAT_TIME, Rollout, RolloutPhase, RolloutStanding},
        time::{Millis, Time},
    },
    indexmap::{IndexMap, IndexSet},
};

/// How long a proposal of a phase may take before it is made again.
const PROPOSAL_RETRY: Millis = Millis(1000);
/// The time between two looks at a rollout while the tables don't change: that between two
/// rounds of grants. Each takes a pass over all endpoints and routes.
const VIEW_INTERVAL: Millis = Millis(100);
/// The interval of the events that sum up grants.
const GRANTS_INTERVAL: Millis = Millis(1000);

/// What the embedder logs of rollouts.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutEvent {
    /// This voter leads a rollout from now on.
    Started { rollout: Rollout, bounds: RolloutBounds },
    /// What was granted since the last event.
    Grants { pool: PoolName, number: u64, sends: u64, replies: u64, totals: RolloutTotals },
    /// A phase was proposed.
    Phase {
        pool: PoolName,
        number: u64,
        phase: RolloutPhase,
        reason: RolloutReason,
        totals: RolloutTotals,
        figures: Vec<RolloutFigures>,
    },
}

#[derive(Debug)]
struct Row {
    number: u64,
    control: RolloutControl,
    /// The phase that was last proposed and isn't applied yet, and when.
    proposed: Option<(Time, RolloutPhase)>,
    /// When the rollout was last looked at, and the index applied then.
    viewed: Option<(Time, Index)>,
    sends: u64,
    replies: u64,
    /// When the grants were last summed up.
    summed_at: Time,
}

/// When a voter applied the latest order of a pool and its outcome.
#[derive(Debug, Clone, Copy)]
struct Times {
    number: u64,
    ordered: Time,
    /// The term in which the order was proposed; `None` if only a snapshot told of it.
    term: Option<Term>,
    ended: Option<Time>,
}

/// The open rollouts as this leader sees them, and what every voter remembers of them.
#[derive(Debug, Default)]
pub struct RolloutDuties {
    bounds: RolloutBounds,
    rows: IndexMap<PoolName, Row>,
    times: IndexMap<PoolName, Times>,
    /// The index of the last change of a rollout.
    last: Index,
    /// The runs of instances that have renewed with this leader, and from when their leases
    /// are certain to have ended.
    instances: IndexMap<ShareHolder, Time>,
    /// The instances that haven't renewed with this leader, also those that the roster has
    /// lost since: a request may run for longer than the roster keeps a lost instance.
    unheard: IndexSet<NodeId>,
    grants: IndexMap<ShareHolder, Vec<RolloutGrant>>,
    events: Vec<RolloutEvent>,
}

impl RolloutDuties {
    /// Takes in a change of the tables, as every voter applies it.
    pub fn note(&mut self, now: Time, index: Index, term: Term, delta: &Delta) {
        let Delta::Rollout(it) = delta else {
            return;
        };
        self.last = index;
        let fresh = Times { number: it.number, ordered: now, term: Some(term), ended: None };
        let times = self.times.entry(it.pool.clone()).or_insert(fresh);
        if times.number != it.number {
            *times = fresh;
        }
        if !it.phase.is_open() {
            times.ended = Some(now);
        }
    }

    /// Returns the index of the last change of a rollout that this voter has applied.
    pub fn last(&self) -> Index {
        self.last
    }

    /// Records what an instance reports.
    pub fn record(&mut self, now: Time, from: ShareHolder, reports: &[RolloutReport]) {
        for it in reports {
            let row = self.rows.get_mut(&it.pool).filter(|row| row.number == it.number);
            if let Some(row) = row {
                row.control.record(now, from, it);
            }
        }
    }

    /// Whether there are grants for an instance.
    pub fn has_grants(&self, holder: ShareHolder) -> bool {
        self.grants.contains_key(&holder)
    }

    /// Takes the grants for an instance.
    pub fn take_grants(&mut self, holder: ShareHolder) -> Vec<RolloutGrant> {
        self.grants.swap_remove(&holder).unwrap_or_default()
    }

    /// Drops the grants that have not been taken. They count as spent all the same.
    pub fn clear_grants(&mut self) {
        self.grants.clear();
    }

    /// Forgets what only a leader knows.
    pub fn reset(&mut self) {
        self.rows.clear();
        self.instances.clear();
        self.unheard.clear();
        self.grants.clear();
    }

    /// Drops and creates controls, so that there is one for each open rollout.
    fn update_rows(&mut self, now: Time, term: Term, rollouts: &IndexMap<PoolName, Rollout>) {
        self.rows.retain(|pool, row| {
            rollouts.get(pool).is_some_and(|it| it.number == row.number && it.phase.is_open())
        });
        for (pool, it) in rollouts.iter().filter(|(_, it)| it.phase.is_open()) {
            if self.rows.contains_key(pool) {
                continue;
            }
            let times = self.times.get(pool).filter(|times| times.number == it.number);
            let start = match times {
                Some(it) if it.term == Some(term) => RolloutStart::Fresh,
                Some(it) => RolloutStart::Inherited(it.ordered),
                None => RolloutStart::Inherited(now),
            };
            let row = Row {
                number: it.number,
                control: RolloutControl::new(now, start, term, it, self.bounds),
                proposed: None,
                viewed: None,
                sends: 0,
                replies: 0,
                summed_at: now,
            };
            self.rows.insert(pool.clone(), row);
            let started = RolloutEvent::Started { rollout: it.clone(), bounds: self.bounds };
            self.events.push(started);
        }
    }

    /// Whether to look at a rollout now, by the tables at this index.
    fn is_due(&mut self, now: Time, pool: &PoolName, applied: Index) -> bool {
        let Some(row) = self.rows.get_mut(pool) else {
            return false;
        };
        let is_due =
            |(at, index): (Time, Index)| index != applied || now.since(at) >= VIEW_INTERVAL;
        let is_due = row.viewed.is_none_or(is_due);
        if is_due {
            row.viewed = Some((now, applied));
        }
        is_due
    }

    /// Returns the command that sets the next phase of a rollout, if that is due.
    fn next_phase(&mut self, now: Time, pool: &PoolName, view: &RolloutView) -> Option<Command> {
        let row = self.rows.get_mut(pool)?;
        // Always called, since it samples rates and scores answers as time passes.
        let decided = row.control.decide(now, view);
        row.proposed = row.proposed.filter(|(_, phase)| view.phase.may_become(*phase));
        let (phase, reason) = decided?;
        if let Some((at, proposed)) = row.proposed {
            // A rollback doesn't wait for another phase that is being accepted.
            let is_urgent = phase == RolloutPhase::RolledBack && proposed != phase;
            if !is_urgent && now.since(at) < PROPOSAL_RETRY {
                return None;
            }
        }
        row.proposed = Some((now, phase));
        let number = row.number;
        self.events.push(RolloutEvent::Phase {
            pool: pool.clone(),
            number,
            phase,
            reason,
            totals: row.control.totals(),
            figures: row.control.figures(),
        });
        Some(Command::SetRolloutPhase { pool: pool.clone(), number, phase })
    }

    /// Grants sends of a rollout to instances that can be answered at once.
    fn grant(
        &mut self,
        now: Time,
        pool: &PoolName,
        view: &RolloutView,
        ready: &IndexSet<ShareHolder>,
    ) {
        let Some(row) = self.rows.get_mut(pool) else {
            return;
        };
        // The version was found bad: sends until the rollback is applied would go to it.
        // Reports are acknowledged all the same.
        let is_rollback = row.proposed.is_some_and(|it| it.1 == RolloutPhase::RolledBack);
        let closed =
            is_rollback.then(|| RolloutView { phase: RolloutPhase::RolledBack, ..view.clone() });
        for (holder, it) in row.control.grant(now, closed.as_ref().unwrap_or(view), ready) {
            row.sends += u64::from(it.sends);
            row.replies += 1;
            self.grants.entry(holder).or_default().push(it);
        }
        if row.sends > 0 && now.since(row.summed_at) >= GRANTS_INTERVAL {
            row.summed_at = now;
            self.events.push(RolloutEvent::Grants {
                pool: pool.clone(),
                number: row.number,
                sends: std::mem::take(&mut row.sends),
                replies: std::mem::take(&mut row.replies),
                totals: row.control.totals(),
            });
        }
    }
}

impl Voter {
    /// Sets the bounds of rollouts that this voter leads.
    pub fn set_rollout_bounds(&mut self, bounds: RolloutBounds) {
        self.rollouts.bounds = bounds;
    }

    /// Returns what there is to know of a pool's rollouts.
    pub fn rollout_standing(&mut self, now: Time, pool: &PoolName) -> RolloutStanding {
        let tables = &self.state.tables;
        let Some(last) = tables.rollouts.get(pool).filter(|it| !it.phase.is_open()) else {
            return tables.rollout_standing(pool, false);
        };
        let fresh = Times { number: last.number, ordered: now, term: None, ended: Some(now) };
        let times = self.rollouts.times.entry(pool.clone()).or_insert(fresh);
        if times.number != last.number {
            // An outcome that only a snapshot told.
            *times = fresh;
        }
        let ended = *times.ended.get_or_insert(now);
        tables.rollout_standing(pool, now.since(ended) >= ORDER_REPEAT_TIME)
    }

    /// Takes what there is to log of rollouts.
    pub fn take_rollout_events(&mut self) -> Vec<RolloutEvent> {
        std::mem::take(&mut self.rollouts.events)
    }

    /// Proposes the phases that are due and grants sends to instances whose renewals wait
    /// for a reply.
    pub(super) fn drive_rollouts(&mut self, now: Time) {
        if self.state.tables.rollouts.is_empty() {
            return;
        }
        self.rollouts.update_rows(now, self.raft.term(), &self.state.tables.rollouts);
        if self.rollouts.rows.is_empty() {
            self.rollouts.instances.clear();
            self.rollouts.unheard.clear();
            return;
        }
        self.rollouts.unheard.extend(self.state.tables.roster.keys());
        self.rollouts.unheard.retain(|id| self.leases.get(*id).is_none());
        for (id, row) in self.leases.rows() {
            let holder = ShareHolder { node: *id, incarnation: row.incarnation };
            self.rollouts.instances.insert(holder, row.until);
        }
        let has_lease = self.raft.lease().is_some_and(|it| it > now);
        let readers = self.renewals.values().filter(|it| it.request.reads_rollouts);
        let ready: IndexSet<ShareHolder> = readers.map(|it| holder_of(&it.request)).collect();
        for pool in self.rollouts.rows.keys().cloned().collect::<Vec<_>>() {
            if !self.rollouts.is_due(now, &pool, self.applied) {
                continue;
            }
            let Some(view) = self.rollout_view(&pool) else {
                continue;
            };
            if let Some(command) = self.rollouts.next_phase(now, &pool, &view) {
                // Fails only if this voter no longer leads; the next leader decides anew.
                let _ = self.raft.propose(command);
            } else if has_lease {
                self.rollouts.grant(now, &pool, &view, &ready);
            }
        }
    }

    fn rollout_view(&self, pool: &PoolName) -> Option<RolloutView> {
        let tables = &self.state.tables;
        let endpoints = tables.endpoints.values().filter(|it| it.pool == *pool);
        let unheard = self.rollouts.unheard.first();
        Some(RolloutView {
            phase: tables.rollouts.get(pool)?.phase,
            exists: tables.has_pool(pool),
            endpoints: endpoints.filter(|it| tables.is_in_service(it)).cloned().collect(),
            instances: self.rollouts.instances.clone(),
            unheard_until: unheard.map(|id| self.leases.end(*id)),
            longest_timeout: self.longest_timeout(pool),
        })
    }

    /// Returns how long a request may run at a pool: the longest timeout of a route that
    /// leads there.
    fn longest_timeout(&self, pool: &PoolName) -> Millis {
        let tables = &self.state.tables;
        let routes = tables.catalog.routes.iter().filter(|route| {
            route.split.iter().any(|it| it.pool == *pool)
                || route.stages.iter().any(|it| it.pool == *pool)
        });
        let relayed = routes.map(|it| it.timeout).max().unwrap_or_default();
        let own = tables.pools.contains_key(pool).then(|| self.drain_time());
        relayed.max(own.unwrap_or_default())
    }
}
