//! Identifiers that contain their time of creation (UUID version 7, RFC 9562).

use {
    crate::time::WallTime,
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr},
    uuid::Uuid,
};

/// The text is not a UUID of version 7.
#[derive(Debug, Snafu)]
#[snafu(display("must be a UUID of version 7, not {text:?}"))]
pub struct UuidError {
    text: String,
}

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Uuid);

        impl $name {
            /// Generates a new identifier with the current time.
            pub fn generate() -> Self {
                Self(Uuid::now_v7())
            }

            /// The time of creation, by the clock of the process that generated it.
            pub fn time(self) -> WallTime {
                let (secs, nanos) = self.0.get_timestamp().map_or((0, 0), |it| it.to_unix());
                WallTime(secs * 1000 + u64::from(nanos) / 1_000_000)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = UuidError;

            fn from_str(s: &str) -> Result<Self, Self::Err> {
                match Uuid::try_parse(s) {
                    Ok(id) if id.get_version_num() == 7 => Ok(Self(id)),
                    _ => Err(UuidError { text: s.to_owned() }),
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = UuidError;

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

uuid_type! {
    /// The identifier of an operator's change. A resend reuses it.
    ChangeId
}
uuid_type! {
    /// The idempotency key of a request that runs at most once. All retries of
    /// the same operation by the caller use the same key.
    ClaimKey
}
uuid_type! {
    /// The identifier of an accepted request.
    RequestId
}

impl ClaimKey {
    /// Generates a key with the given time, for callers with their own clock.
    pub fn at(time: WallTime) -> Self {
        let stamp = uuid::Timestamp::from_unix(
            uuid::NoContext,
            time.0 / 1000,
            (time.0 % 1000) as u32 * 1_000_000,
        );
        Self(Uuid::new_v7(stamp))
    }
}
