//! The errors of the tool and their exit codes.

use {
    coord::{ids::Version, tables::ChangeOutcome},
    snafu::Snafu,
    std::io,
};

/// An error of the tool.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CliError {
    #[snafu(display("{source}; see --help"))]
    Usage { source: lexopt::Error },
    #[snafu(display("{detail}; see --help"))]
    Arguments { detail: String },
    #[snafu(display("{path} can't be read: {source}"))]
    Input { path: String, source: io::Error },
    #[snafu(display("the input can't be understood: {source}"))]
    Parse { source: serde_json::Error },
    #[snafu(display("{url} can't be reached: {source}"))]
    Unreachable { url: String, source: Box<ureq::Error> },
    #[snafu(display("the instance refused ({status}): {detail}"))]
    Refused { status: u16, detail: String },
    #[snafu(display("it isn't known whether this took effect: {detail}"))]
    OutcomeUnknown { detail: String },
    #[snafu(display("another change came first; the tables have number {version} now"))]
    Conflict { version: Version },
    #[snafu(display("the change wasn't accepted: {outcome:?}"))]
    NotAccepted { outcome: ChangeOutcome },
    #[snafu(display("number {version} isn't in force everywhere after {seconds} s"))]
    NotInForce { version: Version, seconds: u64 },
}

impl CliError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::Arguments { .. } => 2,
            Self::Input { .. } | Self::Parse { .. } => 3,
            Self::Unreachable { .. } => 4,
            Self::Refused { .. } | Self::NotAccepted { .. } => 5,
            Self::Conflict { .. } => 6,
            Self::OutcomeUnknown { .. } => 7,
            Self::NotInForce { .. } => 8,
        }
    }
}
