//! The version of an endpoint's software.

use {
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{fmt, str::FromStr, sync::Arc},
};

/// The maximum length of a version, in bytes.
pub const MAX_VERSION_BYTES: usize = 128;

/// The text is empty or too long.
#[derive(Debug, Snafu)]
#[snafu(display("a software version has 1 to {MAX_VERSION_BYTES} bytes, not {length}"))]
pub struct SoftwareVersionError {
    length: usize,
}

/// The version of an endpoint's software, as it announces it. Versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// The version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = SoftwareVersionError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        match s.len() {
            1..=MAX_VERSION_BYTES => Ok(Self(s.into())),
            length => Err(SoftwareVersionError { length }),
        }
    }
}

impl TryFrom<String> for SoftwareVersion {
    type Error = SoftwareVersionError;

    fn try_from(s: String) -> Result<Self, Self::Error> {
        s.parse()
    }
}

impl From<SoftwareVersion> for String {
    fn from(it: SoftwareVersion) -> Self {
        it.0.as_ref().to_owned()
    }
}
