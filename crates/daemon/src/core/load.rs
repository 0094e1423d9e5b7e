//! This instance's part in the shared load of endpoints: its reports, and the sums that it
//! gets.

use {
    super::Core,
    coord::{
        load::LoadReply,
        time::{Millis, Time},
    },
    metrics::gauge,
};

/// The least time between two log lines about sums that can't be used.
const LOG_INTERVAL: Millis = Millis(1000);

impl Core {
    /// Applies what a reply says of the load of endpoints.
    pub(super) fn apply_load(&mut self, now: Time, sent_at: Time, reply: Option<&LoadReply>) {
        // The lock is released before anything is logged, as requests are placed under it.
        let (was_on, is_usable, is_on) = {
            let mut load = self.load.lock();
            (load.is_on(), load.apply(now, sent_at, reply), load.is_on())
        };
        if is_on != was_on {
            let state = if is_on { "on" } else { "off" };
            log::info!(state = state; "[load] sharing of endpoints' load");
        }
        if !is_usable && now.since(self.load_logged_at) >= LOG_INTERVAL {
            self.load_logged_at = now;
            log::info!("[load] sums not used: they are of other tables or can't be read");
        }
    }

    /// Sets the gauges of the shared load. Without sums the age isn't a number.
    pub(super) fn update_load_gauges(&self, now: Time) {
        let (age, is_on) = {
            let load = self.load.lock();
            (load.age(now), load.is_on())
        };
        let age = age.map_or(f64::NAN, |it| it.0 as f64 / 1000.0);
        gauge!("mangobend_load_shared").set(f64::from(u8::from(is_on)));
        gauge!("mangobend_load_age_seconds").set(age);
    }
}
