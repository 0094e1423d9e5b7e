//! The leader's handling of the load of endpoints.

use {
    super::{RenewRequest, ShareHolder, Voter, renewals::holder_of},
    crate::{
        load::{LoadReply, LoadTable},
        time::{Millis, Time},
    },
};

impl Voter {
    /// Records the load that a renewal reports.
    pub(super) fn record_load(&mut self, now: Time, holder: ShareHolder, request: &RenewRequest) {
        if let Some(load) = &request.load {
            self.load.record(now, holder, load);
        }
    }

    /// Returns what a reply says of the load of endpoints.
    pub(super) fn load_reply(&mut self, now: Time, request: &RenewRequest) -> Option<LoadReply> {
        request.load.as_ref()?;
        let members = self.state.tables.roster.len();
        self.load.reply(now, holder_of(request), members)
    }

    /// Drops the load of instances without a lease.
    pub(super) fn expire_load(&mut self, now: Time) {
        let leases = &self.leases;
        self.load.expire(now, |it| {
            let row = leases.get(it.node);
            row.is_some_and(|row| row.incarnation == it.incarnation && now < row.until)
        });
    }

    /// Clears the load table when this voter starts or stops to lead.
    pub(super) fn reset_load(&mut self, now: Time) {
        self.load = LoadTable::start(now);
        self.load.reload(&self.state.tables);
    }

    /// Returns the mean age of the reports in the summed load, where load is shared and
    /// enough instances have reported.
    pub(super) fn load_age(&self, now: Time) -> Option<Millis> {
        let is_known = self.load.is_on() && self.load.is_known(self.state.tables.roster.len());
        is_known.then(|| self.load.age(now))
    }
}
