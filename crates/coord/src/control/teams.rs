//! The leader's table of teams: the requests in flight over all instances.

use {
    super::{ShareHolder, TeamUse},
    crate::ids::TeamName,
    indexmap::IndexMap,
};

/// The requests in flight by holder and team.
#[derive(Debug, Default)]
pub struct TeamTable {
    rows: IndexMap<ShareHolder, Vec<TeamUse>>,
    totals: IndexMap<TeamName, u32>,
}

impl TeamTable {
    /// Records the requests in flight at a holder.
    pub fn report(&mut self, holder: ShareHolder, teams: &[TeamUse]) {
        self.remove(holder);
        for it in teams {
            *self.totals.entry(it.team.clone()).or_default() += it.in_flight;
        }
        self.rows.insert(holder, teams.to_vec());
    }

    /// Removes a holder.
    pub fn remove(&mut self, holder: ShareHolder) {
        for it in self.rows.swap_remove(&holder).unwrap_or_default() {
            let total = self.totals.entry(it.team.clone()).or_default();
            *total -= it.in_flight;
            if *total == 0 {
                self.totals.swap_remove(&it.team);
            }
        }
    }

    /// Returns the requests in flight of the given teams over all instances.
    pub fn totals(&self, teams: &[TeamUse]) -> Vec<TeamUse> {
        let total = |it: &TeamUse| TeamUse {
            team: it.team.clone(),
            in_flight: self.totals.get(&it.team).copied().unwrap_or(0),
        };
        teams.iter().map(total).collect()
    }
}
