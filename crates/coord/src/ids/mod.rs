//! Newtypes for names, identifiers, numbers and sizes.

mod class;
mod key;
mod name;
mod number;
mod software_version;

pub use {
    class::{Class, ClassError},
    key::{ChangeId, ClaimKey, RequestId, UuidError},
    name::{
        DomainName, EndpointName, InstanceName, MAX_NAME_BYTES, NameError, PoolName, PromptPart,
        RouteName, StageName, TeamName,
    },
    number::{
        AttemptId, Bytes, CatalogDigest, CatalogVersion, Fence, Generation, Incarnation, Index,
        NodeId, Rate, Slots, SystemId, Term, Tokens, Version,
    },
    software_version::{MAX_VERSION_BYTES, SoftwareVersion, SoftwareVersionError},
};
