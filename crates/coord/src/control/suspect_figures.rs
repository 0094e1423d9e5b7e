//! What the evidence says of a suspect of crashes, for logs.

use {
    crate::{tables::SuspectKey, time::Time},
    std::fmt,
};

/// Why a suspect isn't withheld yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// Too few endpoints have crashed under it, or in too short a time.
    Crashes,
    /// Instances may still report that it was answered, or that an endpoint lives on.
    Reports,
    /// The pool has answered nothing since the first crash.
    PoolAnswers,
    /// Another request was at the same crashes, or no other request has the part.
    Distinction,
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Crashes => "crashes",
            Self::Reports => "reports",
            Self::PoolAnswers => "pool_answers",
            Self::Distinction => "distinction",
        })
    }
}

/// What the evidence says of one suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectFigures {
    pub key: SuspectKey,
    /// The number of crashes of which it is the most likely cause.
    pub likely: usize,
    /// The number of crashes that it was at.
    pub present: usize,
    /// The first of them.
    pub first: Time,
    /// Nothing if it is to be withheld.
    pub waits_for: Option<Wait>,
}
