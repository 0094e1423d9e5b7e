//! The replicated state machine.

use {
    super::{
        BoundOrder, Change, ChangeOutcome, Delta, Endpoint, History, Member, OrderOutcome,
        RolloutPhase, SuspectKey, Tables,
    },
    crate::{
        catalog::{Catalog, CatalogDelta},
        claims::{Claim, ClaimError, ClaimOutcome, ClaimRequest, Claims, Settlement},
        ids::{ClaimKey, EndpointName, Fence, Generation, Incarnation, Index, NodeId, PoolName},
        packed::Packed,
        streams::{StreamGroup, StreamHistory},
        time::WallTime,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    Change(Change),
    Endpoint(Endpoint),
    /// Removes an endpoint that hasn't announced itself for a long time.
    DropEndpoint {
        name: EndpointName,
        generation: Generation,
    },
    Join(Member),
    DropMember {
        id: NodeId,
    },
    Claim(ClaimRequest),
    Settle {
        key: ClaimKey,
        fence: Fence,
        settlement: Settlement,
    },
    /// Marks the running claims of a stopped instance as unknown.
    Orphan {
        owner: NodeId,
        incarnation: Incarnation,
    },
    /// Settles an unknown claim on behalf of an operator.
    Resolve {
        key: ClaimKey,
        settlement: Settlement,
        author: String,
        at: WallTime,
    },
    /// Replaces the catalog, unless the current one has the same or a higher
    /// version.
    Catalog {
        catalog: Arc<Catalog>,
        document: Arc<str>,
    },
    /// Refuses requests with a property that crashes endpoints.
    #[serde(rename = "withhold_part")]
    Withhold(SuspectKey),
    #[serde(rename = "release_part")]
    Release(SuspectKey),
    /// Records what streams came from.
    RecordStreams(Vec<StreamGroup>),
    /// Drops what was recorded of streams before the last rotation.
    RotateStreams,
    /// Begins a rollout of a pool to a software version.
    StartRollout(BoundOrder),
    /// Sets the phase of a rollout if it is the pool's latest.
    SetRolloutPhase {
        pool: PoolName,
        number: u64,
        phase: RolloutPhase,
    },
}

/// The most suspects that are withheld at a time.
const MAX_WITHHELD: usize = 256;

/// The outcome of a command, for its proposer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    Change(ChangeOutcome),
    Claim(Result<ClaimOutcome, ClaimError>),
    Joined,
    /// The command changed nothing: the tables hold a later incarnation of the
    /// instance, or a newer or equal row of the endpoint, or none to remove.
    Stale,
    Done,
    Rollout(OrderOutcome),
}

/// The result of applying one command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    pub outcome: Outcome,
    /// The change of the tables, if there is one.
    pub delta: Option<Delta>,
}

/// The whole replicated state. It is deterministic: the same commands give the
/// same state on every instance.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct State {
    pub tables: Tables,
    pub history: History,
    pub claims: Claims,
    /// The source document of the catalog, returned when it is read back.
    #[serde(default)]
    pub document: Option<Arc<str>>,
    /// What recent streams came from.
    #[serde(default)]
    pub streams: StreamHistory,
}

impl State {
    /// Applies one committed command.
    pub fn apply(&mut self, index: Index, command: &Command) -> Applied {
        match command {
            Command::Change(change) => self.apply_change(change),
            Command::Endpoint(it) => self.apply_endpoint(it),
            Command::DropEndpoint { name, generation } => self.drop_endpoint(name, *generation),
            Command::Join(member) => self.apply_join(member),
            Command::DropMember { id } => self.drop_member(*id),
            Command::Claim(request) => {
                without_delta(Outcome::Claim(self.claims.claim(index, request)))
            }
            Command::Settle { key, fence, settlement } => {
                without_delta(Outcome::Claim(self.claims.settle(*key, *fence, settlement)))
            }
            Command::Orphan { owner, incarnation } => {
                self.claims.orphan(*owner, *incarnation);
                without_delta(Outcome::Done)
            }
            Command::Resolve { key, settlement, author, .. } => {
                without_delta(Outcome::Claim(self.claims.resolve(*key, settlement, author)))
            }
            Command::Catalog { catalog, document } => self.apply_catalog(catalog, document),
            Command::Withhold(key) => self.withhold(key),
            Command::Release(key) => self.release(key),
            Command::RecordStreams(records) => {
                self.streams.record(records);
                without_delta(Outcome::Done)
            }
            Command::RotateStreams => {
                self.streams.rotate();
                without_delta(Outcome::Done)
            }
            Command::StartRollout(it) => self.start_rollout(index, it),
            Command::SetRolloutPhase { pool, number, phase } => {
                self.set_rollout_phase(pool, *number, *phase)
            }
        }
    }

    /// The retained claim of a key, if any.
    pub fn claim(&self, key: ClaimKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    fn apply_change(&mut self, change: &Change) -> Applied {
        if let Some(outcome) = self.history.recorded_outcome(change) {
            return without_delta(Outcome::Change(outcome));
        }
        if self.history.may_be_pruned(change) {
            let version = self.tables.version;
            return without_delta(Outcome::Change(ChangeOutcome::Expired { version }));
        }
        let (outcome, delta) = self.evaluate(change);
        self.history.record(change, outcome.clone());
        Applied { outcome: Outcome::Change(outcome), delta }
    }

    fn evaluate(&mut self, change: &Change) -> (ChangeOutcome, Option<Delta>) {
        let version = self.tables.version;
        if change.base.is_some_and(|it| it != version) {
            return (ChangeOutcome::Conflict { version }, None);
        }
        match self.tables.edit(&change.edits) {
            Ok(version) => {
                let delta = Delta::Edits { version, edits: change.edits.clone() };
                (ChangeOutcome::Accepted { version }, Some(delta))
            }
            Err(err) => (ChangeOutcome::Invalid { reason: err.to_string() }, None),
        }
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint) -> Applied {
        let old = self.tables.endpoints.get(&endpoint.name);
        if old.is_some_and(|it| !endpoint.supersedes(it)) {
            return without_delta(Outcome::Stale);
        }
        if let Some(old) = old {
            self.streams.note_endpoint(old, endpoint);
        }
        self.apply_delta(Delta::Endpoint(endpoint.clone()), Outcome::Done)
    }

    fn drop_endpoint(&mut self, name: &EndpointName, generation: Generation) -> Applied {
        match self.tables.endpoints.get(name) {
            Some(it) if it.generation == generation => {
                self.apply_delta(Delta::DropEndpoint(name.clone()), Outcome::Done)
            }
            _ => without_delta(Outcome::Stale),
        }
    }

    fn apply_join(&mut self, member: &Member) -> Applied {
        let old = self.tables.roster.get(&member.id);
        if old.is_some_and(|it| it.incarnation > member.incarnation) {
            return without_delta(Outcome::Stale);
        }
        if old == Some(member) {
            return without_delta(Outcome::Joined);
        }
        self.claims.orphan_before(member.id, member.incarnation);
        self.apply_delta(Delta::Member(member.clone()), Outcome::Joined)
    }

    fn drop_member(&mut self, id: NodeId) -> Applied {
        self.claims.orphan_before(id, Incarnation(u64::MAX));
        self.apply_delta(Delta::DropMember(id), Outcome::Done)
    }

    fn apply_catalog(&mut self, catalog: &Arc<Catalog>, document: &Arc<str>) -> Applied {
        if catalog.version <= self.tables.catalog.version {
            return without_delta(Outcome::Done);
        }
        self.document = Some(document.clone());
        let mut new = Catalog::clone(catalog);
        new.sort();
        self.streams.note_catalog(&self.tables.catalog, &new);
        let delta = CatalogDelta::between(&self.tables.catalog, &new);
        self.tables.catalog = Arc::new(new);
        Applied { outcome: Outcome::Done, delta: Some(Delta::CatalogEdit(Packed::new(&delta))) }
    }

    fn withhold(&mut self, key: &SuspectKey) -> Applied {
        let withheld = &self.tables.withheld;
        match withheld.contains(key) || withheld.len() >= MAX_WITHHELD {
            true => without_delta(Outcome::Stale),
            false => self.apply_delta(Delta::Withhold(key.clone()), Outcome::Done),
        }
    }

    fn release(&mut self, key: &SuspectKey) -> Applied {
        match self.tables.withheld.contains(key) {
            true => self.apply_delta(Delta::Release(key.clone()), Outcome::Done),
            false => without_delta(Outcome::Stale),
        }
    }

    pub(super) fn apply_delta(&mut self, delta: Delta, outcome: Outcome) -> Applied {
        self.tables.apply(&delta).expect("only deltas of the catalog can fail");
        Applied { outcome, delta: Some(delta) }
    }
}

pub(super) fn without_delta(outcome: Outcome) -> Applied {
    Applied { outcome, delta: None }
}
