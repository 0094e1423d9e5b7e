//! The daemon's settings, from flags and environment variables.

mod error;
mod raw;
#[allow(clippy::module_inception)]
mod settings;
mod spec;

pub use {
    error::SettingsError,
    settings::{Action, LogFormat, SecuredListener, Settings, parse},
};
