//! Planned stops: readiness first, then new work, then leases and leadership.

use {
    super::Core,
    crate::relay::Phase,
    coord::{
        raft::Role,
        time::{Millis, Time},
    },
    std::process::ExitCode,
};

/// How long the last bytes to callers may take.
const FLUSH_DELAY: Millis = Millis(200);
/// How long handing over leadership may take.
const TRANSFER_TIMEOUT: Millis = Millis(2000);

/// Where a planned stop stands.
pub struct Stop {
    started_at: Time,
    /// When the last request had ended.
    idle_at: Option<Time>,
    /// Whether the lease was given back.
    pub released: bool,
}

impl Core {
    /// Begins a planned stop.
    pub(super) fn start_stop(&mut self, now: Time) {
        if self.stop.is_none() {
            log::info!(held = self.relayed.held(); "[stop] A planned stop begins.");
            self.relayed.enter(Phase::Leaving);
            self.stop = Some(Stop { started_at: now, idle_at: None, released: false });
        }
    }

    pub(super) fn tick_stop(&mut self, now: Time) {
        let Some(stop) = &self.stop else {
            return;
        };
        let elapsed = now.since(stop.started_at);
        if elapsed >= self.settings.stop_notice {
            self.router.stop_accepting();
            self.relayed.enter(Phase::Closed);
        } else {
            return;
        }
        let timed_out = elapsed >= self.settings.stop_bound;
        let relaying = self.relayed.held() > 0;
        let busy = !self.router.is_idle() || self.has_settlements() || relaying;
        if busy && !timed_out {
            return;
        }
        if busy {
            log::warn!("[stop] The bound has passed with {} requests held.", self.router.len());
        }
        self.finish_stop(now);
    }

    /// Gives the lease back, hands leadership over and ends.
    fn finish_stop(&mut self, now: Time) {
        let stop = self.stop.as_mut().expect("a stop is under way");
        let idle_at = *stop.idle_at.get_or_insert(now);
        if !std::mem::replace(&mut stop.released, true) {
            self.holder.release();
            self.renew(now, true);
        }
        let leads = self.voter.as_ref().is_some_and(|it| it.raft().role() == Role::Leader);
        let sole_voter = self.voter.as_ref().is_some_and(|it| it.raft().config().voters.len() <= 1);
        let timed_out = now.since(idle_at) >= TRANSFER_TIMEOUT;
        if leads && !sole_voter && !timed_out {
            self.voter.as_mut().expect("a leader is a voter").raft_mut().transfer(now);
            return;
        }
        if now.since(idle_at) >= FLUSH_DELAY {
            log::info!("[stop] The stop is complete.");
            self.exit = Some(ExitCode::SUCCESS);
        }
    }
}
