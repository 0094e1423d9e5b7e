//! The first voters of a system that is founded by several instances at once.
//!
//! Each of them starts from the same first entry, with identities worked out
//! from the same list of addresses. So there is one log however many of them
//! are up, and a majority of them must be, before anything is agreed on.

use {
    crate::{
        ids::{NodeId, SystemId},
        raft::Config,
        relay::rank,
    },
    std::net::SocketAddr,
};

/// The system that a list of first voters founds.
pub fn founded_system(voters: &[SocketAddr]) -> SystemId {
    SystemId(rank(list(voters).as_bytes(), b"system"))
}

/// The identity of a first voter.
pub fn first_voter(voters: &[SocketAddr], addr: SocketAddr) -> NodeId {
    NodeId(rank(list(voters).as_bytes(), addr.to_string().as_bytes()))
}

/// The first set of voters.
pub fn first_voters(voters: &[SocketAddr]) -> Config {
    let rows = voters.iter().map(|it| (first_voter(voters, *it), *it));
    Config { voters: rows.collect(), ..Config::default() }
}

fn list(voters: &[SocketAddr]) -> String {
    let mut texts: Vec<String> = voters.iter().map(ToString::to_string).collect();
    texts.sort();
    texts.join(",")
}
