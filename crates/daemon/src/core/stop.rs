//! Planned stops: readiness first, then new work, then leases and leadership.

use {
    super::Core,
    crate::relay::DrainPhase,
    coord::{
        raft::Role,
        time::{Millis, Time},
    },
    std::process::ExitCode,
};

/// How long the last bytes to callers may take.
const LINGER: Millis = Millis(200);
/// How long handing over leadership may take.
const HAND_OVER: Millis = Millis(2000);

/// Where a planned stop stands.
pub struct Stop {
    began: Time,
    /// When the last request had ended.
    idle: Option<Time>,
    /// Whether the lease was given back.
    pub released: bool,
}

impl Core {
    /// Begins a planned stop.
    pub(super) fn begin_stop(&mut self, now: Time) {
        if self.stop.is_none() {
            log::info!(held = self.drain.active(); "[stop] A planned stop begins.");
            self.drain.enter(DrainPhase::Leaving);
            self.stop = Some(Stop { began: now, idle: None, released: false });
        }
    }

    pub(super) fn tick_stop(&mut self, now: Time) {
        let Some(stop) = &self.stop else {
            return;
        };
        let passed = now.since(stop.began);
        if passed >= self.settings.stop_notice {
            self.router.stop_accepting();
            self.drain.enter(DrainPhase::Closed);
        } else {
            return;
        }
        let bound = passed >= self.settings.stop_bound;
        let relaying = self.drain.active() > 0;
        let busy = !self.router.is_idle() || self.has_settlements() || relaying;
        if busy && !bound {
            return;
        }
        if busy {
            log::warn!("[stop] The bound has passed with {} requests held.", self.router.len());
        }
        self.leave(now);
    }

    /// Gives the lease back, hands leadership over and ends.
    fn leave(&mut self, now: Time) {
        let stop = self.stop.as_mut().expect("a stop is under way");
        let idle = *stop.idle.get_or_insert(now);
        if !std::mem::replace(&mut stop.released, true) {
            self.holder.release();
            self.renew(now, true);
        }
        let leads = self.voter.as_ref().is_some_and(|it| it.raft().role() == Role::Leader);
        let alone = self.voter.as_ref().is_some_and(|it| it.raft().config().voters.len() <= 1);
        let given_up = now.since(idle) >= HAND_OVER;
        if leads && !alone && !given_up {
            self.voter.as_mut().expect("a leader is a voter").raft_mut().transfer(now);
            return;
        }
        if now.since(idle) >= LINGER {
            log::info!("[stop] The stop is complete.");
            self.exit = Some(ExitCode::SUCCESS);
        }
    }
}
