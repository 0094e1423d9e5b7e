//! Who the data folder belongs to.

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

/// The identity of an instance. A folder that was lost gets a new one, so its
/// voter never votes under its old name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub node: NodeId,
    pub incarnation: Incarnation,
    /// The system that the instance belongs to, once it does.
    pub system: Option<SystemId>,
}

impl Identity {
    /// An identity that lasts as long as the process.
    pub fn generate() -> Self {
        Self { node: NodeId::generate(), incarnation: Incarnation(1), system: None }
    }

    /// The identity of a first voter of a system that is being founded.
    pub fn first_voter(voters: &[SocketAddr], own: SocketAddr) -> Self {
        let system = Some(founded_system(voters));
        Self { node: first_voter(voters, own), incarnation: Incarnation(1), system }
    }

    /// Reads the folder's identity and counts this start, or takes `new`.
    ///
    /// # Errors
    /// The file can't be read, understood or replaced.
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

    /// Makes the identity durable.
    ///
    /// # Errors
    /// The file can't be replaced.
    pub fn save(&self, folder: &Folder) -> Result<(), DiskError> {
        let bytes = serde_json::to_vec(self).expect("an identity can be written as JSON");
        folder.replace(FILE_NAME, &bytes)
    }
}
