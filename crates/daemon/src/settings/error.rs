//! Errors of the settings.

use snafu::Snafu;

/// An error in the command line or environment. It names the setting and, where
/// they apply, its value and the allowed values.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum SettingsError {
    #[snafu(display("{source}; see --help"))]
    Usage { source: lexopt::Error },
    #[snafu(display("there is no setting --{flag}; see --help"))]
    UnknownFlag { flag: String },
    #[snafu(display("--{flag} (or {env}) must be set: {allowed}"))]
    Missing { flag: &'static str, env: String, allowed: &'static str },
    #[snafu(display("--{flag} is {value:?}, allowed is {allowed}: {detail}"))]
    Value { flag: &'static str, value: String, allowed: &'static str, detail: String },
}
