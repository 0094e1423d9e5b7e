//! Builds the binaries that the harness starts.

use std::{
    path::{Path, PathBuf},
    process::Command,
    sync::OnceLock,
};

/// The Cargo profile that the binaries are built with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Profile {
    Dev,
    Release,
}

/// Paths of the built binaries.
#[derive(Debug, Clone)]
pub struct Binaries {
    pub daemon: PathBuf,
    pub cli: PathBuf,
    pub stand_in: PathBuf,
}

impl Binaries {
    /// Builds the binaries in the profile of the running program, once per process.
    ///
    /// # Panics
    /// If the build fails.
    pub fn build() -> &'static Self {
        static BUILT: OnceLock<Binaries> = OnceLock::new();
        let profile = if cfg!(debug_assertions) { Profile::Dev } else { Profile::Release };
        BUILT.get_or_init(|| build(profile))
    }
}

fn build(profile: Profile) -> Binaries {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    command.current_dir(&root).args(["build", "--locked", "--quiet"]);
    command.args(["-p", "daemon", "-p", "cli", "-p", "standin"]);
    if profile == Profile::Release {
        command.arg("--release");
    }
    assert!(command.status().expect("cargo can be started").success(), "cargo build failed");
    let name = if profile == Profile::Release { "release" } else { "debug" };
    let target = std::env::var_os("CARGO_TARGET_DIR").map_or(root.join("target"), PathBuf::from);
    let folder = target.join(name);
    Binaries {
        daemon: folder.join("mangobendd"),
        cli: folder.join("mangobend"),
        stand_in: folder.join("standin"),
    }
}
