//! When the switch of a rollout begins, so that a version that turns bad during it stays
//! within its bound.

use {super::RolloutBounds, crate::time::Millis};

/// What the switch takes beside the time until old requests have ended, if renewals may be
/// lost. The phase reaches instances within half a second, their reports come half a second
/// later, and each phase has to be accepted. A lost renewal costs a second.
const USUAL_DELAY: Millis = Millis(2200);
/// The same if all messages arrive: the phase is accepted and reaches instances within
/// 200 ms, their reports come within 200 ms, and the outcome is accepted.
const LEAST_DELAY: Millis = Millis(600);
/// The time that is left for the switch at least, as far as the bound allows.
const MIN_SWITCH: Millis = Millis(2500);
/// How much longer than the longest recent run old requests may take.
const RUN_FACTOR: f64 = 1.25;
/// By how much the requests during the switch may exceed the expected ones.
const RATE_EXCESS: f64 = 1.2;
/// The part of the slack that the switch may use. The rest is for counts that are out of date.
const SLACK_PART: f64 = 0.9;
/// The part of the slack that trials may use also where the switch needs it: without
/// evidence there is no switch.
const TRIAL_PART: f64 = 0.8;

/// What the leader knows when it decides on the time of the switch.
#[derive(Debug, Clone, Copy)]
pub(super) struct SwitchPlan {
    pub bounds: RolloutBounds,
    pub duration: Millis,
    pub left: Millis,
    /// The longest recent run at the old version.
    pub run: Millis,
    /// The requests of the pool in a second.
    pub rate: f64,
    pub requests: u64,
    /// The sends to the new version so far, at most.
    pub sends: u64,
}

impl SwitchPlan {
    /// The time from the switch to the deadline if the bound allows it. It suffices also if a
    /// renewal is lost.
    fn usual(&self) -> Millis {
        let run = self.run.0 as f64 * RUN_FACTOR;
        let needed = USUAL_DELAY + Millis(run as u64);
        needed.max(MIN_SWITCH).min(Millis(self.duration.0 / 2))
    }

    /// The time that the switch takes if all instances answer.
    fn least(&self) -> Millis {
        (LEAST_DELAY + self.run).min(Millis(self.duration.0 / 2))
    }

    /// Whether the switch is due: there is no more time left than it usually takes, and all requests
    /// until the deadline can go to the new version within its bound. Where they never can, as there
    /// are many requests or long runs, it begins when there is just time for it: no good version
    /// would be completed by the deadline otherwise.
    pub fn is_due(&self) -> bool {
        self.left <= self.usual() && (self.is_affordable() || self.left <= self.least())
    }

    /// How long before the deadline the switch is expected to begin.
    pub fn time(&self) -> Millis {
        if self.is_affordable() { self.usual() } else { self.least() }
    }

    /// Whether all requests until the deadline can go to the new version within its bound. Unless
    /// there are more requests than assumed, no version exceeds it then, whenever it turns bad.
    fn is_affordable(&self) -> bool {
        let requests = self.rate * RATE_EXCESS * self.left.0 as f64 / 1000.0;
        let sends = self.sends as f64 + requests * (1.0 - self.bounds.share);
        sends
            <= self.bounds.share * self.requests as f64 + f64::from(self.bounds.slack) * SLACK_PART
    }

    /// The sends that trials may make until the switch, so that it can begin early enough.
    pub fn trial_limit(&self) -> f64 {
        let seconds = |it: Millis| it.0 as f64 / 1000.0;
        let requests = self.requests as f64 + self.rate * seconds(self.left);
        let slack = f64::from(self.bounds.slack);
        let switch = self.rate * seconds(self.least());
        (self.bounds.share * requests + slack * SLACK_PART - switch).max(slack * TRIAL_PART)
    }
}
