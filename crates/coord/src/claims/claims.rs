//! The table of claims.
//!
//! A settled claim is dropped once its key is older than the window. One that
//! runs or whose outcome isn't known stays until it is settled.

use {
    super::{Claim, ClaimError, ClaimOutcome, ClaimRequest, ClaimState, Settlement},
    crate::{
        ids::{ClaimKey, Fence, Incarnation, Index, NodeId},
        time::{Millis, WallTime},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// How long a key is kept, counted from the time that it carries.
pub const WINDOW: Millis = Millis(48 * 3600 * 1000);
/// How far a key's time may lie ahead of the leader's clock.
pub const CLOCK_SKEW: Millis = Millis(60_000);
/// The most keys kept at one time.
pub const MAX_CLAIMS: usize = 200_000;

/// The table of claims, ordered by the time that the keys carry.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Claims {
    rows: BTreeMap<ClaimKey, Claim>,
    /// The latest time of any claim; it never goes back.
    now: WallTime,
}

impl Claims {
    /// Claims a key at a position of the log.
    ///
    /// # Errors
    /// The key can't be claimed, and nothing may run under it.
    pub fn claim(&mut self, at: Index, wish: &ClaimRequest) -> Result<ClaimOutcome, ClaimError> {
        self.now = self.now.max(wish.at);
        self.prune();
        if wish.key.time().0 > self.now.0 + CLOCK_SKEW.0 {
            return Err(ClaimError::Future);
        }
        if wish.key.time() < self.oldest() {
            return Err(ClaimError::Expired);
        }
        if let Some(row) = self.rows.get(&wish.key) {
            return answer(row, wish);
        }
        if self.rows.len() >= MAX_CLAIMS {
            return Err(ClaimError::Full);
        }
        let fence = Fence(at.0);
        self.rows.insert(wish.key, row(wish, fence));
        Ok(ClaimOutcome::Granted { fence })
    }

    /// Settles a claim for the one who holds it under the fencing number.
    /// The same settlement may be sent again.
    ///
    /// # Errors
    /// The claim isn't held under that number any more.
    pub fn settle(
        &mut self,
        key: ClaimKey,
        fence: Fence,
        settlement: &Settlement,
    ) -> Result<ClaimOutcome, ClaimError> {
        let row = self.rows.get_mut(&key).filter(|it| it.fence == fence);
        let Some(row) = row else {
            return Err(ClaimError::NotOpen);
        };
        match (&row.state, settlement) {
            (ClaimState::Running, Settlement::NotRun) => {
                self.rows.remove(&key);
            }
            (ClaimState::Running, Settlement::Unknown) => row.state = ClaimState::Unknown,
            (ClaimState::Running | ClaimState::Unknown, Settlement::Ran(it)) => {
                row.state = ClaimState::Ran(it.clone());
            }
            (ClaimState::Unknown, Settlement::Unknown) => {}
            (ClaimState::Ran(old), Settlement::Ran(new)) if old == new => {}
            _ => return Err(ClaimError::NotOpen),
        }
        Ok(ClaimOutcome::Settled)
    }

    /// Settles an unknown claim by hand.
    ///
    /// # Errors
    /// The claim isn't unknown, or the settlement says nothing.
    pub fn resolve(
        &mut self,
        key: ClaimKey,
        settlement: &Settlement,
        author: &str,
    ) -> Result<ClaimOutcome, ClaimError> {
        let row = self.rows.get_mut(&key).filter(|it| it.state == ClaimState::Unknown);
        let Some(row) = row else {
            return Err(ClaimError::NotOpen);
        };
        match settlement {
            Settlement::Ran(it) => {
                row.state = ClaimState::Ran(it.clone());
                row.resolved = Some(author.to_owned());
            }
            Settlement::NotRun => {
                self.rows.remove(&key);
            }
            Settlement::Unknown => return Err(ClaimError::NotOpen),
        }
        Ok(ClaimOutcome::Settled)
    }

    /// Marks what one incarnation of an instance left running as unknown.
    pub fn orphan(&mut self, owner: NodeId, incarnation: Incarnation) {
        self.orphan_where(|it| it.owner == owner && it.incarnation == incarnation);
    }

    /// Marks what earlier incarnations of an instance left running as unknown.
    pub fn orphan_before(&mut self, owner: NodeId, incarnation: Incarnation) {
        self.orphan_where(|it| it.owner == owner && it.incarnation < incarnation);
    }

    /// The claim of a key.
    pub fn get(&self, key: ClaimKey) -> Option<&Claim> {
        self.rows.get(&key)
    }

    /// The claims whose outcome isn't known, the oldest key first.
    pub fn unknown(&self) -> impl Iterator<Item = &Claim> {
        self.rows.values().filter(|it| it.state == ClaimState::Unknown)
    }

    /// Whether an incarnation of an instance has claims that run.
    pub fn has_running(&self, owner: NodeId, incarnation: Incarnation) -> bool {
        let is_its = |it: &&Claim| it.owner == owner && it.incarnation == incarnation;
        self.rows.values().filter(is_its).any(|it| it.state == ClaimState::Running)
    }

    /// The number of kept claims.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn oldest(&self) -> WallTime {
        WallTime(self.now.0.saturating_sub(WINDOW.0))
    }

    fn prune(&mut self) {
        let oldest = self.oldest();
        let old = self.rows.iter().take_while(|(key, _)| key.time() < oldest);
        let settled = old.filter(|(_, it)| matches!(it.state, ClaimState::Ran(_)));
        let gone: Vec<ClaimKey> = settled.map(|(key, _)| *key).collect();
        for key in gone {
            self.rows.remove(&key);
        }
    }

    fn orphan_where(&mut self, is_gone: impl Fn(&Claim) -> bool) {
        for row in self.rows.values_mut() {
            if row.state == ClaimState::Running && is_gone(row) {
                row.state = ClaimState::Unknown;
            }
        }
    }
}

fn answer(row: &Claim, wish: &ClaimRequest) -> Result<ClaimOutcome, ClaimError> {
    if row.digest != wish.digest {
        return Err(ClaimError::Mismatch);
    }
    Ok(match &row.state {
        ClaimState::Running if row.request == wish.request => {
            ClaimOutcome::Granted { fence: row.fence }
        }
        ClaimState::Running => ClaimOutcome::Running,
        ClaimState::Ran(it) => ClaimOutcome::Ran(it.clone()),
        ClaimState::Unknown => ClaimOutcome::Unknown,
    })
}

fn row(wish: &ClaimRequest, fence: Fence) -> Claim {
    Claim {
        key: wish.key,
        digest: wish.digest,
        route: wish.route.clone(),
        team: wish.team.clone(),
        request: wish.request,
        owner: wish.owner,
        incarnation: wish.incarnation,
        fence,
        at: wish.at,
        state: ClaimState::Running,
        resolved: None,
    }
}
