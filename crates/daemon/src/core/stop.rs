//! Graceful shutdown: the instance first reports that it isn't ready, then accepts
//! no new requests, and at last gives up its lease and its leadership.

use {
    super::Core,
    crate::relay::DrainPhase,
    coord::{
        raft::Role,
        time::{Millis, Time},
    },
    std::{
        process::ExitCode,
        time::{Duration, Instant},
    },
};

/// The time for the last bytes to reach callers.
const FLUSH_DELAY: Millis = Millis(200);
/// How long a transfer of leadership may take.
const TRANSFER_TIMEOUT: Millis = Millis(2000);

/// The progress of a graceful shutdown.
pub struct Stop {
    started_at: Time,
    /// When the last request had ended or the time limit was reached.
    idle_at: Option<Time>,
    /// Whether the lease was given up.
    pub released: bool,
}

impl Core {
    /// Starts a graceful shutdown. Further calls change nothing.
    pub(super) fn begin_stop(&mut self, now: Time) {
        if self.stop.is_none() {
            log::info!(held = self.drain.active(); "[stop] A graceful shutdown has started.");
            let bound = Duration::from_millis(self.settings.stop_bound.0);
            self.drain.end_at(Instant::now() + bound);
            self.drain.enter(DrainPhase::Leaving);
            if let Some(it) = self.drain.answer_by() {
                self.router.begin_stop(now, self.time(it));
            }
            self.stop = Some(Stop { started_at: now, idle_at: None, released: false });
        }
    }

    /// Continues a graceful shutdown, if one was started.
    pub(super) fn tick_stop(&mut self, now: Time) {
        let Some(stop) = &self.stop else {
            return;
        };
        let elapsed = now.since(stop.started_at);
        if elapsed >= self.settings.stop_notice {
            self.router.stop_accepting();
            self.drain.enter(DrainPhase::Closed);
        } else {
            return;
        }
        let timed_out = elapsed >= self.settings.stop_bound;
        let first = stop.idle_at.is_none();
        let (relayed, open) = (self.drain.active(), self.drain.open());
        let owed = relayed + open + self.drain.gathered();
        let busy = !self.router.is_idle() || self.has_settlements() || owed > 0;
        if busy && !timed_out {
            // What came meanwhile is answered as well.
            self.stop.as_mut().expect("a stop was started").idle_at = None;
            return;
        }
        if busy && first {
            log::warn!(
                "[stop] The time limit has passed with {} requests unfinished, {relayed} of them \
                 relayed, and {open} connections of callers open.",
                self.router.len() + relayed
            );
        }
        if first {
            let (handed_back, cut_short) = self.drain.handed_back();
            log::info!(
                took_ms = elapsed.0, stages_handed_back = handed_back, in_a_call = cut_short;
                "[stop] Nothing more will be answered."
            );
        }
        self.finish_stop(now, timed_out);
    }

    /// Gives up the lease, transfers leadership and exits.
    fn finish_stop(&mut self, now: Time, timed_out: bool) {
        let stop = self.stop.as_mut().expect("a stop was started");
        let idle_at = *stop.idle_at.get_or_insert(now);
        if !std::mem::replace(&mut stop.released, true) {
            self.holder.release();
            self.renew(now, true);
        }
        let leads = self.voter.as_ref().is_some_and(|it| it.raft().role() == Role::Leader);
        let sole_voter = self.voter.as_ref().is_some_and(|it| it.raft().config().voters.len() <= 1);
        // At the time limit little is left of the grace period.
        let longest = if timed_out { FLUSH_DELAY } else { TRANSFER_TIMEOUT };
        if leads && !sole_voter && now.since(idle_at) < longest {
            self.voter.as_mut().expect("a leader is a voter").raft_mut().transfer(now);
            return;
        }
        if now.since(idle_at) >= FLUSH_DELAY {
            log::info!("[stop] The shutdown is complete.");
            self.exit = Some(ExitCode::SUCCESS);
        }
    }
}
