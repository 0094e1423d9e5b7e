//! Whether a change is in force at all instances in time.

use {
    crate::{Cluster, Daemon, LONG_TIMEOUT, new_change, wait_until},
    coord::{
        ids::Version,
        tables::{ChangeOutcome, Edit, Pool, PoolKind},
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// An accepted change is in force everywhere after this time.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// The time after a loss in which the instances may be out of touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);

impl Daemon {
    /// The version of the tables by which the instance decides; zero if it isn't known.
    pub fn tables_version(&self) -> Version {
        let metrics = self.operator().metrics();
        let value = metrics.lines().find_map(|it| it.strip_prefix("mangobend_tables_version "));
        Version(value.and_then(|it| it.trim().parse().ok()).unwrap_or_default())
    }
}

impl Cluster {
    /// Makes a change after a loss and returns the running instances in which it isn't in
    /// force in time.
    pub fn instances_late_after(&self, loss: Instant) -> Vec<String> {
        let (version, accepted_at) = self.accept_change();
        let due = (accepted_at + APPLY_TIME).max(loss + CONTACT_TIME);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let late = self.daemons().filter(|it| it.tables_version() < version);
        late.map(|it| format!("{} lacks {version}", it.spec.name)).collect()
    }

    /// Makes a change through any instance, and returns its version and when it was accepted.
    fn accept_change(&self) -> (Version, Instant) {
        let pool = Pool { name: "in-force".parse().expect("a name"), kind: PoolKind::Model };
        let change = new_change(None, vec![Edit::PutPool(pool)]);
        let mut accepted = None;
        wait_until("the change is accepted", LONG_TIMEOUT, || {
            accepted = self.daemons().find_map(|it| match it.operator().change(&change) {
                Ok(ChangeOutcome::Accepted { version }) => Some((version, Instant::now())),
                _ => None,
            });
            accepted.is_some()
        });
        accepted.expect("wait_until returned without a version")
    }
}
