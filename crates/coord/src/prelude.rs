//! Commonly used types, for a glob import.

pub use crate::{
    catalog::Catalog,
    ids::{
        AttemptId, Bytes, CatalogVersion, ChangeId, ClaimKey, Class, DomainName, EndpointName,
        Fence, Generation, Incarnation, Index, InstanceName, NodeId, PoolName, PromptPart, Rate,
        RequestId, RouteName, Slots, SoftwareVersion, StageName, SystemId, TeamName, Term, Tokens,
        Version,
    },
    tables::{Endpoint, EndpointState, Pool, PoolKind, Route, Stage, Tables, Target},
    time::{Millis, Time, WallTime},
};
