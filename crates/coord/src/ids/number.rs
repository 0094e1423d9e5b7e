//! Newtypes for numbers.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr},
};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug,
            Clone,
            Copy,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            Default,
            Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                s.parse().map(Self)
            }
        }
    };
}

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u64);

        impl $name {
            /// Generates a random identifier.
            pub fn generate() -> Self {
                Self(rand::random())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                u64::from_str_radix(s, 16).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIntError;

            fn try_from(s: String) -> Result<Self, Self::Error> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}

hex_type! {
    /// The identity of an instance, generated with its data directory or,
    /// without one, at each start. Written as 16 hexadecimal digits.
    NodeId
}
hex_type! {
    /// The identity of a system, that is of one cluster of instances, created
    /// when it is bootstrapped. Written as 16 hexadecimal digits.
    SystemId
}

number_type! {
    /// The number of an attempt, unique within one run of an instance's process.
    AttemptId(u64)
}
number_type! {
    /// A fencing token. Of two claims, the one with the higher token is newer.
    Fence(u64)
}
number_type! {
    /// The generation of an endpoint, which increases with each start.
    Generation(u64)
}
number_type! {
    /// A size in bytes.
    Bytes(u64)
}
number_type! {
    /// A digest of the content of a catalog.
    CatalogDigest(u64)
}
number_type! {
    /// The version of a catalog, set by its author. The highest takes effect.
    CatalogVersion(u64)
}
number_type! {
    /// A rate in events per 1000 seconds.
    Rate(u64)
}
number_type! {
    /// Counts the starts of an instance.
    Incarnation(u64)
}
number_type! {
    /// A position in the replicated log, starting at 1.
    Index(u64)
}
number_type! {
    /// A number of concurrent requests on an endpoint.
    Slots(u32)
}
number_type! {
    /// A Raft term.
    Term(u64)
}
number_type! {
    /// A number of input or output tokens of a model.
    Tokens(u64)
}
number_type! {
    /// The version of the replicated tables. Each accepted change increments it.
    Version(u64)
}

impl Index {
    /// The position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one, or zero if there is none.
    pub fn prev(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl Term {
    /// The term after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Version {
    /// The version after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
