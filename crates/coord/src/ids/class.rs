//! The class of service of a request.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr},
};

/// The urgency of a request, ordered from the most to the least urgent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A user is waiting for the answer.
    Interactive,
    /// The default.
    #[default]
    Standard,
    /// Background work that uses idle capacity.
    Batch,
}

/// The text is not the name of a class.
#[derive(Debug, Snafu)]
#[snafu(display("class must be interactive, standard or batch, not {text:?}"))]
pub struct ClassError {
    text: String,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Interactive, Self::Standard, Self::Batch];

    /// The weight of the class when classes compete for the capacity of a pool.
    pub fn weight(self) -> u32 {
        match self {
            Self::Interactive => 8,
            Self::Standard => 4,
            Self::Batch => 1,
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Interactive => "interactive",
            Self::Standard => "standard",
            Self::Batch => "batch",
        })
    }
}

impl FromStr for Class {
    type Err = ClassError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|it| it.to_string() == s)
            .ok_or_else(|| ClassError { text: s.to_owned() })
    }
}
