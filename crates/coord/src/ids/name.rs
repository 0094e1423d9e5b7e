//! Validated names.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr, sync::Arc},
};

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The text is not a valid name.
#[derive(Debug, Snafu)]
#[snafu(display(
    "a name has 1 to {MAX_NAME_BYTES} of the characters a-z, A-Z, 0-9, '-', '_' and '.', not {text:?}"
))]
pub struct NameError {
    text: String,
}

fn check(s: &str) -> Result<Arc<str>, NameError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if s.is_empty() || s.len() > MAX_NAME_BYTES || !s.chars().all(allowed) {
        let text = s.chars().take(MAX_NAME_BYTES).collect();
        return Err(NameError { text });
    }
    Ok(s.into())
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                check(s).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(s: String) -> Result<Self, Self::Error> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type! {
    /// The name of a failure domain.
    DomainName
}
name_type! {
    /// The name of an endpoint, unique within the system.
    EndpointName
}
name_type! {
    /// The name of an instance of the system.
    InstanceName
}
name_type! {
    /// The name of a pool.
    PoolName
}
name_type! {
    /// The id of a part of a prompt, as callers state it.
    PromptPart
}
name_type! {
    /// The name of a route.
    RouteName
}
name_type! {
    /// The name of a stage, unique within its route.
    StageName
}
name_type! {
    /// The name of a team.
    TeamName
}
