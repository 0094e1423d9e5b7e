//! The identity of the instance that owns the data folder.

use {
    super::{DiskError, Folder, error::*},
    coord::{
        control::{first_voter, founded_system},
        ids::{Incarnation, NodeId, SystemId},
    },
    serde::{Deserialize, Serialize},
    snafu::ResultExt,
    std::{fs, io::ErrorKind, net::SocketAddr},
};

const FILE_NAME: &str = "identity.json";

/// The identity of an instance. An instance that has lost its data folder gets
/// a new node ID, so it can't vote again under the ID whose votes it has lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub node: NodeId,
    pub incarnation: Incarnation,
    /// The system that the instance belongs to; absent until it joins one.
    pub system: Option<SystemId>,
}

impl Identity {
    /// A new identity with a random node ID and no system.
    pub fn generate() -> Self {
        Self { node: NodeId::generate(), incarnation: Incarnation(1), system: None }
    }

    /// The identity of one of the initial voters of a new system.
    pub fn first_voter(voters: &[SocketAddr], own: SocketAddr) -> Self {
        let system = Some(founded_system(voters));
        Self { node: first_voter(voters, own), incarnation: Incarnation(1), system }
    }

    /// Reads the identity from the folder and increments its incarnation, or
    /// stores `new` if there is none.
    ///
    /// # Errors
    /// The file can't be read, parsed or replaced.
    pub fn load_or_create(folder: &Folder, new: Self) -> Result<Self, DiskError> {
        let path = folder.file(FILE_NAME);
        let identity = match fs::read(&path) {
            Ok(bytes) => {
                let old: Self = serde_json::from_slice(&bytes).map_err(|err| {
                    DiskError::Damaged { path: path.clone(), at: 0, detail: err.to_string() }
                })?;
                Self { incarnation: Incarnation(old.incarnation.0 + 1), ..old }
            }
            Err(err) if err.kind() == ErrorKind::NotFound => new,
            Err(err) => return Err(err).context(ReadSnafu { path }),
        };
        identity.save(folder)?;
        Ok(identity)
    }

    /// Writes the identity to the folder; it is durable on return.
    ///
    /// # Errors
    /// The file can't be replaced.
    pub fn save(&self, folder: &Folder) -> Result<(), DiskError> {
        let bytes = serde_json::to_vec(self).expect("an identity can be serialized as JSON");
        folder.replace(FILE_NAME, &bytes)
    }
}
