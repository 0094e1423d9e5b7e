//! Orders of rollouts, and what is logged of them.

use {
    super::{
        Core,
        proposals::{Origin, Proposal},
    },
    crate::operators::{OperatorAnswer, OperatorCall, OperatorRequest},
    coord::{
        control::{RolloutEvent, Voter},
        rollouts::RolloutFigures,
        tables::{Command, Outcome, RolloutStanding, Tables},
        time::{Millis, Time},
    },
};

/// The most routes whose figures are logged for one decision.
const MAX_FIGURES: usize = 16;

impl Core {
    /// Proposes an order whose caller still waits, bound to the rollout that was the pool's
    /// latest while it did. An order that has its outcome already is answered at once.
    pub(super) fn order_rollout(
        &mut self,
        now: Time,
        call: Box<OperatorCall>,
        deadline: Time,
        standing: &RolloutStanding,
    ) {
        let OperatorRequest::StartRollout(order) = &call.request else {
            unreachable!("only orders of rollouts ask for a pool's rollouts");
        };
        match order.bind(standing) {
            Ok(bound) => {
                log::info!(
                    pool:% = order.pool, to = order.to.as_str(), duration_ms = order.duration.0,
                    after = bound.after;
                    "[operators] rollout proposed"
                );
                let origin = Origin::Operator { call, deadline };
                self.propose(now, Proposal::new(origin, Command::StartRollout(bound), deadline));
            }
            Err(outcome) => {
                log::info!(request:% = call.request, outcome:? = outcome; "[operators] rollout not started");
                (call.respond)(OperatorAnswer::Outcome(Outcome::Rollout(outcome)));
            }
        }
    }

    /// Takes rollouts into the gate before the next renewal reports that they are applied.
    pub(super) fn reload_rollouts(&self, now: Time, tables: &Tables) {
        let old = self.tables.borrow().clone();
        for it in tables.rollouts.values() {
            if old.rollouts.get(&it.pool) != Some(it) {
                log::info!(
                    pool:% = it.pool, number = it.number, to = it.to.as_str(), phase:% = it.phase;
                    "[rollout] in force here"
                );
            }
        }
        self.rollouts.reload(now, tables);
    }

    /// Logs what this leader has decided of rollouts.
    pub(super) fn report_rollouts(&mut self) {
        let events = self.voter.as_mut().map(Voter::take_rollout_events).unwrap_or_default();
        events.iter().for_each(log_event);
    }
}

fn log_event(event: &RolloutEvent) {
    match event {
        RolloutEvent::Started { rollout, bounds } => log::info!(
            pool:% = rollout.pool, number = rollout.number, to = rollout.to.as_str(),
            duration_ms = rollout.duration.0, phase:% = rollout.phase, share = bounds.share,
            slack = bounds.slack, rollback_ms = bounds.rollback.0;
            "[rollout] started"
        ),
        RolloutEvent::Grants { pool, number, sends, replies, totals } => log::info!(
            pool:% = pool, number = number, granted = sends, replies = replies,
            requests = totals.requests, sends = totals.sends;
            "[rollout] grants"
        ),
        RolloutEvent::Phase { pool, number, phase, reason, totals, figures } => {
            log::info!(
                pool:% = pool, number = number, phase:% = phase, reason:% = reason,
                requests = totals.requests, sends = totals.sends;
                "[rollout] phase"
            );
            figures.iter().take(MAX_FIGURES).for_each(|it| log_figures(*number, it));
        }
    }
}

/// Logs what a decision is based on, for one route.
fn log_figures(number: u64, it: &RolloutFigures) {
    let millis = |it: Option<Millis>| it.map_or(-1, |it| it.0 as i64);
    log::info!(
        number = number, route:% = it.route, old_answers = it.old_answers,
        old_failures = it.old_failures, old_median_ms = millis(it.old_median),
        new_answers = it.new_answers, new_failures = it.new_failures,
        new_median_ms = millis(it.new_median);
        "[rollout] figures"
    );
}
