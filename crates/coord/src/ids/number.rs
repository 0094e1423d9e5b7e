//! Numbers with a meaning.

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
            /// Makes a new random identifier.
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
    /// The identity of one instance, made with its data folder or, without
    /// one, at each start. Written as 16 hexadecimal digits.
    NodeId
}
hex_type! {
    /// The identity of one system, made by the act that founds it. Written as
    /// 16 hexadecimal digits.
    SystemId
}

number_type! {
    /// The number of an attempt, unique within one run of an instance.
    AttemptId(u64)
}
number_type! {
    /// A fencing number: of two orders, the one with the higher number is newer.
    Fence(u64)
}
number_type! {
    /// The generation of an endpoint; each start of it has a higher one.
    Generation(u64)
}
number_type! {
    /// A size in bytes.
    Bytes(u64)
}
number_type! {
    /// The number of a catalog, given by its author; the highest takes effect.
    CatalogVersion(u64)
}
number_type! {
    /// A rate in events per thousand seconds.
    Rate(u64)
}
number_type! {
    /// Counts the starts of one instance.
    Incarnation(u64)
}
number_type! {
    /// A position in the replicated log; the first entry has 1.
    Index(u64)
}
number_type! {
    /// A number of requests that an endpoint bears at one time.
    Slots(u32)
}
number_type! {
    /// A term of leadership.
    Term(u64)
}
number_type! {
    /// A number of generated or read tokens.
    Tokens(u64)
}
number_type! {
    /// The number of the agreed tables; each accepted change raises it by one.
    Version(u64)
}

impl Index {
    /// The position after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The position before this one, or zero.
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
