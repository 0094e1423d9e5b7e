//! The table of claims.
//!
//! A claim with a stored answer is dropped once its key is older than
//! [`KEY_RETENTION`]. A running claim or one with an unknown outcome is kept
//! until it is settled.

use {
    super::{Claim, ClaimError, ClaimOutcome, ClaimRequest, ClaimState, Settlement},
    crate::{
        ids::{ClaimKey, Fence, Incarnation, Index, NodeId},
        time::{Millis, WallTime},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// How long a key is kept, counted from the time encoded in it.
pub const KEY_RETENTION: Millis = Millis(48 * 3600 * 1000);
/// The maximum by which a key's time may be ahead of the leader's clock.
pub const MAX_CLOCK_SKEW: Millis = Millis(60_000);
/// The maximum number of keys kept.
pub const MAX_CLAIMS: usize = 200_000;

/// The table of claims, ordered by the time encoded in the keys.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Claims {
    rows: BTreeMap<ClaimKey, Claim>,
    /// The latest time of any claim; it never decreases.
    now: WallTime,
}

impl Claims {
    /// Claims a key. The index `at` of the log entry becomes the fencing token.
    ///
    /// # Errors
    /// The key cannot be claimed, and nothing may run under it.
    pub fn claim(&mut self, at: Index, request: &ClaimRequest) -> Result<ClaimOutcome, ClaimError> {
        self.now = self.now.max(request.at);
        self.prune();
        if request.key.time().0 > self.now.0 + MAX_CLOCK_SKEW.0 {
            return Err(ClaimError::Future);
        }
        if request.key.time() < self.oldest_kept() {
            return Err(ClaimError::Expired);
        }
        if let Some(row) = self.rows.get(&request.key) {
            return answer_from(row, request);
        }
        if self.rows.len() >= MAX_CLAIMS {
            return Err(ClaimError::Full);
        }
        let fence = Fence(at.0);
        self.rows.insert(request.key, new_claim(request, fence));
        Ok(ClaimOutcome::Granted { fence })
    }

    /// Settles the claim that was granted with a fencing token. The same
    /// settlement may be repeated, except for one as not run.
    ///
    /// # Errors
    /// There is no such claim, or it was settled differently.
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

    /// Settles a claim with an unknown outcome on behalf of the operator `author`.
    ///
    /// # Errors
    /// The claim's outcome isn't unknown, or the settlement is
    /// [`Settlement::Unknown`].
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

    /// Marks the running claims of one incarnation of an instance as unknown.
    pub fn orphan(&mut self, owner: NodeId, incarnation: Incarnation) {
        self.orphan_where(|it| it.owner == owner && it.incarnation == incarnation);
    }

    /// Marks the running claims of earlier incarnations of an instance as
    /// unknown.
    pub fn orphan_before(&mut self, owner: NodeId, incarnation: Incarnation) {
        self.orphan_where(|it| it.owner == owner && it.incarnation < incarnation);
    }

    /// The claim of a key.
    pub fn get(&self, key: ClaimKey) -> Option<&Claim> {
        self.rows.get(&key)
    }

    /// The claims with an unknown outcome, the oldest key first.
    pub fn unknown(&self) -> impl Iterator<Item = &Claim> {
        self.rows.values().filter(|it| it.state == ClaimState::Unknown)
    }

    /// Whether an incarnation of an instance has running claims.
    pub fn has_running(&self, owner: NodeId, incarnation: Incarnation) -> bool {
        let is_owned = |it: &&Claim| it.owner == owner && it.incarnation == incarnation;
        self.rows.values().filter(is_owned).any(|it| it.state == ClaimState::Running)
    }

    /// The number of claims.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The time of the oldest key that can still be claimed.
    fn oldest_kept(&self) -> WallTime {
        WallTime(self.now.0.saturating_sub(KEY_RETENTION.0))
    }

    /// Drops expired claims with a stored answer.
    fn prune(&mut self) {
        let oldest = self.oldest_kept();
        let old = self.rows.iter().take_while(|(key, _)| key.time() < oldest);
        let settled = old.filter(|(_, it)| matches!(it.state, ClaimState::Ran(_)));
        let expired: Vec<ClaimKey> = settled.map(|(key, _)| *key).collect();
        for key in expired {
            self.rows.remove(&key);
        }
    }

    fn orphan_where(&mut self, is_orphan: impl Fn(&Claim) -> bool) {
        for row in self.rows.values_mut() {
            if row.state == ClaimState::Running && is_orphan(row) {
                row.state = ClaimState::Unknown;
            }
        }
    }
}

/// The outcome of claiming a key that is already claimed.
fn answer_from(row: &Claim, request: &ClaimRequest) -> Result<ClaimOutcome, ClaimError> {
    if row.digest != request.digest {
        return Err(ClaimError::Mismatch);
    }
    Ok(match &row.state {
        ClaimState::Running if row.request == request.request => {
            ClaimOutcome::Granted { fence: row.fence }
        }
        ClaimState::Running => ClaimOutcome::Running,
        ClaimState::Ran(it) => ClaimOutcome::Ran(it.clone()),
        ClaimState::Unknown => ClaimOutcome::Unknown,
    })
}

fn new_claim(request: &ClaimRequest, fence: Fence) -> Claim {
    Claim {
        key: request.key,
        digest: request.digest,
        route: request.route.clone(),
        team: request.team.clone(),
        request: request.request,
        owner: request.owner,
        incarnation: request.incarnation,
        fence,
        at: request.at,
        state: ClaimState::Running,
        resolved: None,
    }
}
